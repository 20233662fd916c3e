import type {Incarnation} from './notice_table.js';
import {
  computeOverlap,
  formatLayerRange,
  hasAllLayers,
  type Deadline,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {
  createBreaker,
  createEndpointHealth,
  type Breaker,
  type EndpointHealth,
  type ReportedPace,
} from '@zinniaspindle/decisions';
import type {EndpointEntry} from '../ports/index.js';

/** An order that an endpoint may still be carrying out. */
export interface PendingRange {
  readonly range: LayerRange;
  readonly bornAt: Instant;
  /** The order counts as no longer in progress from this instant. */
  readonly until: Deadline;
}

/** State that an endpoint itself reported, to this VM or to a peer. */
export interface EndpointFacts {
  readonly id: string;
  readonly bornAt: Instant;
  readonly orderCount: number;
  readonly held: LayerRange | undefined;
}

/** This VM's view of one endpoint. */
export interface EndpointState {
  entry: EndpointEntry;
  bornAt: Instant;
  /** The latest start that its entry or a report to this VM has shown at its address. */
  addressBornAt: Instant;
  /** Orders that the endpoint has accepted since its start, as far as known. */
  orderCount: number;
  /** The start of which a report or an order has shown that number. */
  countedFor: Instant | undefined;
  held: LayerRange | undefined;
  /** When this VM last learned that an order had started. */
  orderedAt: Instant;
  /** When the endpoint last reported what it holds. */
  reportedAt: Instant;
  /** The pace that its last report stated, at the report's arrival. */
  pace: ReportedPace | undefined;
  /** The order in progress. */
  pending: PendingRange | undefined;
  /** It reported that it carries out an order, and gets no other until then. */
  busyUntil: Deadline;
  /** The endpoint gets no new requests before this instant. */
  suspectUntil: Deadline;
  /** It broke connections without an answer; new ones are checked until then. */
  resettingUntil: Deadline;
  /** The failure detector's state. */
  readonly health: EndpointHealth;
  /** When the entry is removed; set if the removal is deferred while the store recovers. */
  removeAt: Deadline | undefined;
  /** Requests of this VM in progress at the endpoint. */
  running: number;
  /** Circuit breaker for plain requests. */
  readonly breaker: Breaker;
}

/** Creates the state of an endpoint that was just listed. */
export function createEndpointState(entry: EndpointEntry): EndpointState {
  return {
    entry,
    bornAt: entry.bornAt,
    addressBornAt: entry.bornAt,
    orderCount: 0,
    countedFor: undefined,
    held: entry.held,
    orderedAt: -Infinity,
    reportedAt: -Infinity,
    pace: undefined,
    pending: undefined,
    busyUntil: -Infinity,
    suspectUntil: 0,
    resettingUntil: -Infinity,
    health: createEndpointHealth(),
    removeAt: undefined,
    running: 0,
    breaker: createBreaker(),
  };
}

/** Formats the layers that an endpoint holds. */
export function formatHeld(held: LayerRange | undefined): string {
  return held === undefined ? 'none' : formatLayerRange(held);
}

/** Tells whether two ranges are equal. */
export function isSameRange(
  a: LayerRange | undefined,
  b: LayerRange | undefined,
): boolean {
  return a?.first === b?.first && a?.end === b?.end;
}

/** Tells whether the number of an endpoint's orders has been shown. */
export function isCounted({countedFor, bornAt}: EndpointState): boolean {
  return countedFor === bornAt;
}

/**
 * A range loads for up to 3.5 s; an endpoint that loads for longer, because many
 * do so at once, reports that it is busy.
 */
export const pendingOrderMilliseconds = 8000;
/** A busy endpoint reports again within this time. */
const busyMilliseconds = 500;

/**
 * Applies what a report says of the order in progress; returns whether that is over.
 */
export function applyProgress(
  state: EndpointState,
  isBusy: boolean,
  orderCount: number,
  now: Instant,
): boolean {
  const {pending} = state;
  if (isBusy) {
    state.busyUntil = now + busyMilliseconds;
    const until = now + pendingOrderMilliseconds;
    if (pending !== undefined) state.pending = {...pending, until};
    return false;
  }
  if (orderCount < state.orderCount) return false;
  state.busyUntil = -Infinity;
  state.pending = undefined;
  return pending !== undefined;
}

/** Computes the layers that are held and kept by the order in progress. */
export function computeServedLayers(
  {held}: EndpointState,
  pending: PendingRange | undefined,
): LayerRange | undefined {
  if (held === undefined || pending === undefined) return held;
  return computeOverlap(held, pending.range);
}

/** Reports lag behind the endpoint's state by some hundred milliseconds. */
const reportLagMilliseconds = 800;

/**
 * Tells whether facts are older than the known state. Between two orders the
 * layers of an endpoint only increase, as they are loaded.
 */
export function isStale(
  state: EndpointState,
  facts: EndpointFacts,
  now: Instant,
): boolean {
  const isRecent = now - state.orderedAt < reportLagMilliseconds;
  if (facts.orderCount < state.orderCount) return isRecent;
  if (facts.orderCount > state.orderCount) return false;
  return !hasAllLayers(facts.held, state.held);
}

/**
 * Tells whether requests may be sent to an endpoint itself, as to the first of a
 * path.
 */
export function canBeFirst({held}: EndpointState): boolean {
  return held === undefined || held.first === 0;
}

/** Gets what identifies the incarnation of an endpoint. */
export function getIncarnation({entry, bornAt}: EndpointState): Incarnation {
  return {id: entry.id, bornAt};
}

/** Time after a connection that broke unanswered in which new ones are checked. */
const resettingMilliseconds = 5000;

/** Records that an endpoint broke a connection before it answered. */
export function recordReset(state: EndpointState, now: Instant): void {
  state.resettingUntil = now + resettingMilliseconds;
}
