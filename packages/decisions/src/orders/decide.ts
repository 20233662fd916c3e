import {
  isPast,
  PlacementEvent,
  type Instant,
  type CodedError,
  type Random,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {HeldLease} from '../leases/messages.js';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import {
  OrderInputKind,
  type OrderCommand,
  type OrderInput,
} from './messages.js';
import {applyState, planRetry, sendReads} from './reconcile.js';
import {
  findShard,
  OrderPhase,
  type OrderedEndpoint,
  type OrdersState,
  type OrdersTurn,
} from './state.js';

type WantedChange = Extract<OrderInput, {kind: OrderInputKind.WantedChanged}>;

type Exchange = Pick<OrderedEndpoint, 'endpoint' | 'exchange'>;

/**
 * Reconciles the endpoints of owned shards with their wanted state: reads their
 * state, sends orders and reads the result. Replies that match no pending
 * exchange are ignored.
 */
export function decideOrders(
  state: OrdersState,
  input: OrderInput,
  now: Instant,
  random: Random,
): Result<Step<OrdersState, OrderCommand>, CodedError<never>> {
  const turn: OrdersTurn = startTurn(state, now, random);
  applyInput(turn, input);
  return Result.ok(toStep(turn));
}

function applyInput(turn: OrdersTurn, input: OrderInput): void {
  switch (input.kind) {
    case OrderInputKind.LeaseHeld:
      applyLease(turn, input.lease);
      return;
    case OrderInputKind.LeaseLost:
      dropLease(turn, input.resource);
      return;
    case OrderInputKind.OrderAccepted:
      applyAccepted(turn, input);
      return;
    case OrderInputKind.OrderFailed:
      applyOrderFailure(turn, input, input.reason);
      return;
    case OrderInputKind.OrderRefused:
      applyRefused(turn, input, input.reason);
      return;
    case OrderInputKind.ReadFailed:
      applyReadFailure(turn, input, input.reason);
      return;
    case OrderInputKind.StateRead: {
      const endpoint = findExchange(turn, input, OrderPhase.Reading);
      if (endpoint) applyState(turn, endpoint, input.response);
      return;
    }
    case OrderInputKind.Tick:
      expireReplies(turn);
      sendReads(turn);
      return;
    case OrderInputKind.WantedChanged:
      applyWanted(turn, input);
      return;
  }
}

/** Reads the endpoints of a newly owned shard at once; a renewal keeps the schedule. */
function applyLease(turn: OrdersTurn, lease: HeldLease): void {
  const {leases, endpoints} = turn.state;
  const renewed = leases.has(lease.resource);
  leases.set(lease.resource, lease);
  if (renewed) return;
  for (const endpoint of endpoints.values()) {
    if (endpoint.shard === lease.resource) endpoint.readAt = turn.now;
  }
}

function dropLease(turn: OrdersTurn, resource: string): void {
  turn.state.leases.delete(resource);
  for (const endpoint of turn.state.endpoints.values()) {
    if (endpoint.shard !== resource) continue;
    endpoint.isLoading = false;
    endpoint.settled = false;
  }
}

function applyWanted(turn: OrdersTurn, change: WantedChange): void {
  const {endpoints, options} = turn.state;
  const {endpoint, wanted, checksFencing} = change;
  if (!wanted) {
    endpoints.delete(endpoint);
    return;
  }
  const known = endpoints.get(endpoint);
  if (known) {
    known.wanted = wanted;
    known.checksFencing = checksFencing;
    known.readAt = turn.now;
    return;
  }
  endpoints.set(endpoint, {
    endpoint,
    shard: findShard(endpoint, options.shardCount),
    wanted,
    checksFencing,
    phase: OrderPhase.Idle,
    readAt: turn.now,
    replyBy: 0,
    exchange: 0,
    failures: 0,
    isLoading: false,
    settled: false,
  });
}

function applyAccepted(turn: OrdersTurn, exchange: Exchange): void {
  const endpoint = findExchange(turn, exchange, OrderPhase.Ordering);
  if (!endpoint) return;
  delete endpoint.pendingOrder;
  endpoint.phase = OrderPhase.Idle;
  endpoint.failures = 0;
  endpoint.readAt = turn.now;
}

function applyRefused(
  turn: OrdersTurn,
  exchange: Exchange,
  reason: string,
): void {
  const endpoint = findExchange(turn, exchange, OrderPhase.Ordering);
  if (!endpoint) return;
  delete endpoint.pendingOrder;
  endpoint.isLoading = false;
  planRetry(turn, endpoint);
  turn.logEvents.push({
    event: PlacementEvent.OrderRefused,
    fields: {endpoint: endpoint.endpoint, reason},
  });
}

/** Keeps an unanswered order until it can no longer take effect. */
function applyOrderFailure(
  turn: OrdersTurn,
  exchange: Exchange,
  reason: string,
): void {
  const endpoint = findExchange(turn, exchange, OrderPhase.Ordering);
  if (!endpoint) return;
  if (endpoint.pendingOrder) endpoint.unansweredOrder = endpoint.pendingOrder;
  delete endpoint.pendingOrder;
  applyFailure(turn, endpoint, reason);
}

function applyReadFailure(
  turn: OrdersTurn,
  exchange: Exchange,
  reason: string,
): void {
  const endpoint = findExchange(turn, exchange, OrderPhase.Reading);
  if (endpoint) applyFailure(turn, endpoint, reason);
}

function applyFailure(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  reason: string,
): void {
  planRetry(turn, endpoint);
  turn.logEvents.push({
    event: PlacementEvent.OrderFailed,
    fields: {endpoint: endpoint.endpoint, reason},
  });
}

function expireReplies(turn: OrdersTurn): void {
  for (const endpoint of turn.state.endpoints.values()) {
    if (!isPast(endpoint.replyBy, turn.now)) continue;
    applyOrderFailure(turn, endpoint, 'no answer in time');
    applyReadFailure(turn, endpoint, 'no answer in time');
  }
}

/** Finds the endpoint that waits for a reply; undefined for a late reply. */
function findExchange(
  turn: OrdersTurn,
  exchange: Exchange,
  phase: OrderPhase,
): OrderedEndpoint | undefined {
  const endpoint = turn.state.endpoints.get(exchange.endpoint);
  if (endpoint?.exchange !== exchange.exchange) return undefined;
  return endpoint.phase === phase ? endpoint : undefined;
}
