import type {Instant, LayerRange} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {EndpointError} from './errors.js';

/** What an endpoint says of itself in the store's list. */
export interface EndpointEntry {
  /** New with most starts of the endpoint. */
  readonly id: string;
  readonly service: string;
  /** As host:port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** When the endpoint started; a new value means that it knows nothing of before. */
  readonly bornAt: Instant;
  /** Name of its accelerator kind; undefined for plain services. */
  readonly kind: string | undefined;
  readonly held: LayerRange | undefined;
}

/** What an endpoint answers when it is asked directly. */
export interface EndpointReport {
  readonly bornAt: Instant;
  /** Orders accepted since its start. */
  readonly orderCount: number;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  readonly held: LayerRange | undefined;
  /** Share of the memory for requests that is in use, 0 to 1. */
  readonly memoryFill: number;
}

/** An order to hold a range of layers, and nothing else. */
export interface RangeOrder {
  readonly address: string;
  readonly endpointId: string;
  readonly range: LayerRange;
  /** Whether requests on layers that are given up are cut off. */
  readonly cutsRequests: boolean;
  /** Rises with each owner of orders; an endpoint refuses lower ones. */
  readonly fencingToken: number;
  /** The order is refused unless the endpoint accepted this many before. */
  readonly expectedOrderCount: number;
}

/** What became of an order. */
export enum OrderOutcome {
  /** It has begun. */
  Begun = 'begun',
  /** The endpoint holds the range already; it did not count the order. */
  Holds = 'holds',
  /** The endpoint's state differs from what was expected. */
  Conflict = 'conflict',
  /** A newer owner has given orders. */
  Fenced = 'fenced',
  /** Another endpoint has the address. */
  Misdirected = 'misdirected',
  /** The endpoint cannot take it. */
  Refused = 'refused',
}

/** Direct calls to endpoints. */
export interface EndpointCalls {
  fetchReport(address: string): Promise<Result<EndpointReport, EndpointError>>;
  sendOrder(order: RangeOrder): Promise<Result<OrderOutcome, EndpointError>>;
}
