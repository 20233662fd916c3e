import type {
  Deadline,
  EndpointId,
  EngineState,
  Instant,
} from '@zinniaspindle/shared';
import type {HeldLease} from '../leases/messages.js';
import {formatShard} from '../leases/options.js';
import {hashText} from '../hashing/rendezvous.js';
import type {Turn} from '../turn.js';
import type {OrderCommand} from './messages.js';
import {OrderGuard, type OrdersOptions} from './options.js';

/** The exchange in progress with an endpoint. */
export enum OrderPhase {
  Idle = 'idle',
  Ordering = 'ordering',
  Reading = 'reading',
}

/** An order that may still reach its endpoint. */
export interface OutstandingOrder {
  readonly wanted: EngineState;
  readonly endsAt: Deadline;
}

/** An endpoint and the reconciliation of its state. */
export interface OrderedEndpoint {
  readonly endpoint: EndpointId;
  readonly shard: string;
  wanted: EngineState;
  checksFencing: boolean;
  phase: OrderPhase;
  /** When the state is read next, while idle. */
  readAt: Instant;
  /** When the pending read or order times out. */
  replyBy: Deadline;
  /** Consecutive failures; determines the backoff. */
  failures: number;
  /** Whether it is loading weights because of an order of this VM. */
  isLoading: boolean;
  /** Whether it was last seen in its wanted state. */
  settled: boolean;
  /** Number of the last read or order; identifies late replies. */
  exchange: number;
  /** The order in progress. */
  pendingOrder?: OutstandingOrder;
  /** The last order that got no answer. */
  unansweredOrder?: OutstandingOrder;
}

/** The state of the order state machine. */
export interface OrdersState {
  readonly options: OrdersOptions;
  /** The leases that this VM holds, by shard. */
  readonly leases: Map<string, HeldLease>;
  readonly endpoints: Map<EndpointId, OrderedEndpoint>;
}

/** One turn of the order state machine. */
export type OrdersTurn = Turn<OrdersState, OrderCommand>;

/** Creates the state of a VM that owns no shard. */
export function createOrdersState(options: OrdersOptions): OrdersState {
  return {options, leases: new Map(), endpoints: new Map()};
}

/** Computes the shard of an endpoint by its hash; all VMs agree on it. */
export function findShard(endpoint: EndpointId, shardCount: number): string {
  return formatShard(hashText(endpoint) % shardCount);
}

/** Tells whether a guard is enabled; only tests disable guards. */
export function isOrderGuarded(state: OrdersState, guard: OrderGuard): boolean {
  return !state.options.guardsOff?.has(guard);
}

/** Finds the valid lease that covers an endpoint's shard. */
export function findValidLease(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
): HeldLease | undefined {
  const lease = turn.state.leases.get(endpoint.shard);
  if (!lease) return undefined;
  const guarded = isOrderGuarded(turn.state, OrderGuard.ValidLease);
  return guarded && turn.now >= lease.expiresAt ? undefined : lease;
}

/** Tells whether two engine states are equal. */
export function isSameState(
  a: EngineState | undefined,
  b: EngineState | undefined,
): boolean {
  if (!a || !b) return a === b;
  return isSameLoad(a, b) && a.role === b.role;
}

/** Tells whether two engine states need the same weights. */
export function isSameLoad(a: EngineState, b: EngineState): boolean {
  return (
    a.model === b.model &&
    a.layers.first === b.layers.first &&
    a.layers.end === b.layers.end
  );
}
