import type {ProcessClaims} from '@zinniaspindle/decisions';
import type {Instant, LayerRange} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {EndpointError} from './errors.js';
import type {ReportKeeper} from '../links/kept_connections.js';
import type {OpenConnection} from '../links/open_connection.js';
import type {HandleNotice} from './exchange.js';

/**
 * Most layers of a model, and the highest layer that an endpoint can hold. Work
 * space of plans and paths grows with the number of layers.
 */
export const maxLayers = 1024;

/** An endpoint's own record in the store. */
export interface EndpointEntry {
  /** Changes with most restarts of the endpoint. */
  readonly id: string;
  readonly service: string;
  /** As host:port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** When the endpoint started; a new value means that it lost its state. */
  readonly bornAt: Instant;
  /** Name of its accelerator kind; undefined for services without a model. */
  readonly kind: string | undefined;
  /** Names of its models; undefined if they are not stated. */
  readonly models?: readonly string[] | undefined;
  readonly held: LayerRange | undefined;
}

/** An endpoint's answer to a direct status query. */
export interface EndpointReport extends Pick<
  ProcessClaims,
  'endpointId' | 'kind' | 'models'
> {
  readonly bornAt: Instant;
  /** Number of orders accepted since its start. */
  readonly orderCount: number;
  /** Whether the endpoint is executing an order. */
  readonly isBusy: boolean;
  readonly held: LayerRange | undefined;
  /** Used share of the memory for requests, 0 to 1. */
  readonly memoryFill: number;
  /** How many times slower than usual it runs, from 1; undefined if not stated. */
  readonly pace?: number | undefined;
}

/** An order to hold exactly one range of layers. */
export interface RangeOrder {
  readonly address: string;
  readonly endpointId: string;
  readonly range: LayerRange;
  /**
   * Whether requests that use dropped layers are aborted; else they finish
   * first.
   */
  readonly cutsRequests: boolean;
  /** Increases with each new owner of orders; endpoints refuse lower tokens. */
  readonly fencingToken: number;
  /** The endpoint refuses the order unless its `orderCount` is equal. */
  readonly expectedOrderCount: number;
}

/** The endpoint that a call is meant for, and the address that its entry names. */
export interface CallTarget {
  readonly id: string;
  /** As host:port. */
  readonly address: string;
}

/** The outcome of an order. */
export enum OrderOutcome {
  /** The endpoint has started to execute it. */
  Started = 'begun',
  /** The endpoint holds the range already and does not count the order. */
  AlreadyHeld = 'holds',
  /** The endpoint's state differs from what was expected. */
  Conflict = 'conflict',
  /** A newer owner has sent orders. */
  Fenced = 'fenced',
  /** It was meant for another endpoint. */
  Misdirected = 'misdirected',
  /** The endpoint cannot execute it. */
  Refused = 'refused',
}

/** An endpoint's answer to an order. */
export interface OrderReply {
  readonly outcome: OrderOutcome;
  /** What it states about the process that gave it. */
  readonly claims: ProcessClaims;
}

/**
 * Direct calls from the gateway to endpoints, over connections that are opened
 * by the function given or, without one, to the address. Each names the endpoint
 * that it is meant for.
 */
export interface EndpointCalls {
  /**
   * Fetches a report. With a keeper, it goes over a kept connection first, if
   * there is one; what fails on that is repeated at once on a new connection, and
   * only the result of the latter counts.
   */
  fetchReport(
    target: CallTarget,
    handleNotice: HandleNotice,
    openConnection?: OpenConnection,
    keeper?: ReportKeeper,
  ): Promise<Result<EndpointReport, EndpointError>>;
  sendOrder(
    order: RangeOrder,
    handleNotice: HandleNotice,
    openConnection?: OpenConnection,
  ): Promise<Result<OrderReply, EndpointError>>;
}
