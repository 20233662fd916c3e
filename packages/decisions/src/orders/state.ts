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

/** What is under way at an endpoint. */
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

/** One endpoint and what is wanted of it. */
export interface OrderedEndpoint {
  readonly endpoint: EndpointId;
  readonly shard: string;
  wanted: EngineState;
  checksFencing: boolean;
  phase: OrderPhase;
  /** When to read the state next, while idle. */
  readAt: Instant;
  /** When a read or order without answer has failed. */
  replyBy: Deadline;
  /** Failures in a row. */
  failures: number;
  /** Whether an order of this VM makes it load from the weight store. */
  isLoading: boolean;
  settled: boolean;
  /** Numbers reads and orders, so that late replies are told apart. */
  exchange: number;
  /** The order under way. */
  pendingOrder?: OutstandingOrder;
  /** The last order that got no answer. */
  unansweredOrder?: OutstandingOrder;
}

/** The state of the orders machine. */
export interface OrdersState {
  readonly options: OrdersOptions;
  /** The leases that this VM holds, by shard. */
  readonly leases: Map<string, HeldLease>;
  readonly endpoints: Map<EndpointId, OrderedEndpoint>;
}

/** One turn of the orders machine. */
export type OrdersTurn = Turn<OrdersState, OrderCommand>;

/** Creates the state of a VM that owns no shard. */
export function createOrdersState(options: OrdersOptions): OrdersState {
  return {options, leases: new Map(), endpoints: new Map()};
}

/** Finds the shard of an endpoint; the same at every VM. */
export function findShard(endpoint: EndpointId, shardCount: number): string {
  return formatShard(hashText(endpoint) % shardCount);
}

/** Tells whether a guard is in force; tests switch guards off. */
export function isOrderGuarded(state: OrdersState, guard: OrderGuard): boolean {
  return !state.options.guardsOff?.has(guard);
}

/** Finds the lease under which an endpoint may be ordered now. */
export function findValidLease(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
): HeldLease | undefined {
  const lease = turn.state.leases.get(endpoint.shard);
  if (!lease) return undefined;
  const guarded = isOrderGuarded(turn.state, OrderGuard.ValidLease);
  return guarded && turn.now >= lease.expiresAt ? undefined : lease;
}

/** Tells whether two engine states are the same. */
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
