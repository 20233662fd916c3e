import {
  isPast,
  PlacementEvent,
  type EngineStateResponse,
} from '@zinniaspindle/shared';
import type {HeldLease} from '../leases/messages.js';
import {OrderCommandKind} from './messages.js';
import {OrderGuard} from './options.js';
import {
  findValidLease,
  isOrderGuarded,
  isSameLoad,
  isSameState,
  OrderPhase,
  type OrderedEndpoint,
  type OrdersTurn,
} from './state.js';

/** Compares an endpoint's state with the wanted one and sends an order if they differ. */
export function applyState(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  response: EngineStateResponse,
): void {
  endpoint.phase = OrderPhase.Idle;
  endpoint.failures = 0;
  const {pollMilliseconds} = turn.state.options;
  endpoint.readAt = turn.now + addJitter(turn, pollMilliseconds);
  const {held, loading} = response;
  // A state that is being loaded will replace the held one.
  if (!isSameState(loading ?? held, endpoint.wanted)) {
    applyRepair(turn, endpoint, response);
    return;
  }
  if (loading === undefined) acceptSettled(turn, endpoint);
}

/** Schedules a retry after a failure, with exponential backoff. */
export function planRetry(turn: OrdersTurn, endpoint: OrderedEndpoint): void {
  const {pollMilliseconds, maxBackoffMilliseconds} = turn.state.options;
  const backoff = pollMilliseconds * 2 ** endpoint.failures;
  const delay = Math.min(backoff, maxBackoffMilliseconds);
  endpoint.phase = OrderPhase.Idle;
  endpoint.failures += 1;
  endpoint.readAt = turn.now + addJitter(turn, delay);
}

/** Adds a random jitter of up to 50%, so that reads of endpoints don't synchronise. */
export function addJitter(turn: OrdersTurn, milliseconds: number): number {
  return milliseconds * (1 + turn.random() / 2);
}

function acceptSettled(turn: OrdersTurn, endpoint: OrderedEndpoint): void {
  const {settledPollMilliseconds} = turn.state.options;
  endpoint.readAt = turn.now + addJitter(turn, settledPollMilliseconds);
  endpoint.isLoading = false;
  if (endpoint.settled) return;
  endpoint.settled = true;
  turn.logEvents.push({
    event: PlacementEvent.EndpointConverged,
    fields: {
      endpoint: endpoint.endpoint,
      wanted: formatState(endpoint),
    },
  });
}

function applyRepair(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  response: EngineStateResponse,
): void {
  endpoint.settled = false;
  const lease = findValidLease(turn, endpoint);
  if (!lease) return;
  const needsLoad =
    response.held === undefined || !isSameLoad(response.held, endpoint.wanted);
  const obstacle =
    describeEarlierOrders(turn, endpoint, lease) ??
    describeLoadLimit(turn, endpoint, needsLoad);
  if (obstacle === undefined) {
    sendOrder(turn, endpoint, lease, needsLoad);
    return;
  }
  turn.logEvents.push({
    event: PlacementEvent.OrderDeferred,
    fields: {endpoint: endpoint.endpoint, reason: obstacle},
  });
}

/** Describes an earlier order that could still take effect after a new one, if any. */
function describeEarlierOrders(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  lease: HeldLease,
): string | undefined {
  if (!isOrderGuarded(turn.state, OrderGuard.WaitOut)) return undefined;
  const {maxSkewMilliseconds} = turn.state.options;
  const earlierOrdersEndAt = lease.earlierOrdersEndAt + maxSkewMilliseconds;
  if (!endpoint.checksFencing && turn.now < earlierOrdersEndAt) {
    return `orders of the previous lease holder may take effect until ${earlierOrdersEndAt}`;
  }
  const open = endpoint.unansweredOrder;
  if (!open || isSameState(open.wanted, endpoint.wanted)) return undefined;
  const endsAt = open.endsAt + maxSkewMilliseconds;
  if (turn.now >= endsAt) return undefined;
  return `an unanswered order may take effect until ${endsAt}`;
}

function describeLoadLimit(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  needsLoad: boolean,
): string | undefined {
  if (!needsLoad || endpoint.isLoading) return undefined;
  let loads = 0;
  for (const other of turn.state.endpoints.values()) {
    if (other.isLoading) loads += 1;
  }
  if (loads < turn.state.options.maxLoads) return undefined;
  return `load limit reached, ${loads} loads in progress`;
}

function sendOrder(
  turn: OrdersTurn,
  endpoint: OrderedEndpoint,
  lease: HeldLease,
  needsLoad: boolean,
): void {
  const {orderMilliseconds, replyMilliseconds} = turn.state.options;
  const {wanted} = endpoint;
  const orderEndsAt = turn.now + orderMilliseconds;
  const bounded = isOrderGuarded(turn.state, OrderGuard.ValidLease);
  const deadline = bounded
    ? Math.min(orderEndsAt, lease.expiresAt)
    : orderEndsAt;
  const fenced = isOrderGuarded(turn.state, OrderGuard.Fencing);
  const fencing = fenced ? lease.fencing : Number.MAX_SAFE_INTEGER;
  endpoint.phase = OrderPhase.Ordering;
  endpoint.replyBy = turn.now + replyMilliseconds;
  endpoint.exchange += 1;
  endpoint.pendingOrder = {wanted, endsAt: deadline};
  endpoint.isLoading = needsLoad;
  turn.commands.push({
    kind: OrderCommandKind.SendOrder,
    endpoint: endpoint.endpoint,
    exchange: endpoint.exchange,
    order: {wanted, fencing, deadline},
  });
  turn.logEvents.push({
    event: PlacementEvent.OrderSent,
    fields: {
      endpoint: endpoint.endpoint,
      wanted: formatState(endpoint),
      fencing,
      reason: needsLoad ? 'holds other weights' : 'has another role',
    },
  });
}

/** Reads the endpoints that are due, within the limit on requests in flight. */
export function sendReads(turn: OrdersTurn): void {
  const {maxInFlight, replyMilliseconds} = turn.state.options;
  let free = maxInFlight - countInFlight(turn);
  for (const endpoint of turn.state.endpoints.values()) {
    if (free <= 0) return;
    if (endpoint.phase !== OrderPhase.Idle) continue;
    if (!isPast(endpoint.readAt, turn.now)) continue;
    if (!findValidLease(turn, endpoint)) continue;
    free -= 1;
    endpoint.phase = OrderPhase.Reading;
    endpoint.exchange += 1;
    endpoint.replyBy = turn.now + replyMilliseconds;
    turn.commands.push({
      kind: OrderCommandKind.ReadState,
      endpoint: endpoint.endpoint,
      exchange: endpoint.exchange,
      expiresAt: endpoint.replyBy,
    });
  }
}

function countInFlight(turn: OrdersTurn): number {
  let count = 0;
  for (const endpoint of turn.state.endpoints.values()) {
    if (endpoint.phase !== OrderPhase.Idle) count += 1;
  }
  return count;
}

function formatState(endpoint: OrderedEndpoint): string {
  const {model, layers, role} = endpoint.wanted;
  return `${model} [${layers.first}, ${layers.end}) as ${role}`;
}
