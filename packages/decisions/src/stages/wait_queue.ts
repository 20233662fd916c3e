import type {Deadline, Instant} from '@zinniaspindle/shared';
import {compareRanks, type RequestRank} from '../ranks/request_rank.js';

/** A request that waits for a place on a path. */
export interface Waiter extends RequestRank {
  /** A stream that was cut and goes on; its caller has had part of the answer. */
  readonly isResumed: boolean;
  readonly receivedAt: Instant;
  /** Until this instant it can still be answered in time. */
  readonly waitUntil: Deadline;
  /**
   * Until this instant it may wait on behind all others, since a late answer
   * comes sooner than one to a caller that is sent away; undefined if not.
   */
  readonly lateUntil?: Deadline | undefined;
  /** Whether it waits on although it can no longer be answered in time. */
  isLate?: boolean;
}

/** The requests of one service that wait at a VM, and how fast they get places. */
export interface WaitQueue<Item extends Waiter> {
  /** In the order in which they get places. */
  readonly waiters: Item[];
  /** When places were given, of the last second. */
  readonly placedAt: Instant[];
  /** When requests were refused, of the last second. */
  readonly refusedAt: Instant[];
  /**
   * Since when requests wait, or were refused after they waited; undefined once
   * a place was given and nobody waits.
   */
  crowdedSince: Instant | undefined;
}

/** What peers have reported of the requests of one service. */
export interface PeerWaits {
  /** Their requests that go before a new one of the rank in question. */
  readonly ahead: number;
  /** Requests of all ranks that got places in the last second. */
  readonly placed: number;
  /** Requests of all ranks that were refused in the last second. */
  readonly refused: number;
}

/** Places given in this time tell how fast the queue moves. */
const rateMilliseconds = 1000;
/** A queue that is crowded for less time says little of how fast it moves. */
const patienceMilliseconds = 250;
/** Requests of the last second without which nothing is predicted. */
const minObserved = 3;

/** Creates an empty queue. */
export function createWaitQueue<Item extends Waiter>(): WaitQueue<Item> {
  return {waiters: [], placedAt: [], refusedAt: [], crowdedSince: undefined};
}

/**
 * Adds a request behind those that go before it: cut streams first, those
 * that are late last, then by rank, then by age.
 */
export function addWaiter<Item extends Waiter>(
  queue: WaitQueue<Item>,
  item: Item,
  now: Instant,
): void {
  const {waiters} = queue;
  let at = waiters.length;
  while (at > 0 && compareWaiters(item, waiters[at - 1]!) < 0) at -= 1;
  waiters.splice(at, 0, item);
  queue.crowdedSince ??= now;
}

/** Finds when a request is refused if it has no place by then. */
export function getWaitEnd({waitUntil, lateUntil, isLate}: Waiter): Deadline {
  return isLate === true ? (lateUntil ?? waitUntil) : waitUntil;
}

/**
 * Puts a request that can no longer be answered in time behind those that can; it
 * gets a place that they leave. Returns false if it may not wait on.
 */
export function recordLate<Item extends Waiter>(
  queue: WaitQueue<Item>,
  item: Item,
  now: Instant,
): boolean {
  const {isResumed, isLate, lateUntil = -Infinity} = item;
  if (isResumed || isLate === true || lateUntil <= now) return false;
  removeWaiter(queue, item);
  item.isLate = true;
  addWaiter(queue, item, now);
  return true;
}

/** Removes a request that left, was placed or was refused. */
export function removeWaiter<Item extends Waiter>(
  queue: WaitQueue<Item>,
  item: Item,
): void {
  const at = queue.waiters.indexOf(item);
  if (at >= 0) queue.waiters.splice(at, 1);
}

/** Records that a request got a place. */
export function recordPlaced(queue: WaitQueue<Waiter>, now: Instant): void {
  expireOld(queue.placedAt, now);
  queue.placedAt.push(now);
  if (queue.waiters.length === 0) queue.crowdedSince = undefined;
}

/** Records that a request was refused for want of a place. */
export function recordRefused(queue: WaitQueue<Waiter>, now: Instant): void {
  queue.refusedAt.push(now);
}

/**
 * Predicts how long a request waits behind those that go before it, from the
 * places given in the last second; 0 while too little is known. A request that
 * cannot be served in time is refused at once instead of at the end of its wait.
 * @param peers what peers have reported; undefined without news. In a large
 *   fleet, a VM has too few requests to tell how fast slots come free.
 */
export function predictWait(
  queue: WaitQueue<Waiter>,
  item: Waiter,
  now: Instant,
  peers?: PeerWaits,
): number {
  const {placedAt, refusedAt, crowdedSince} = queue;
  if (crowdedSince === undefined) return 0;
  const crowded = Math.min(rateMilliseconds, now - crowdedSince);
  expireOld(placedAt, now);
  expireOld(refusedAt, now);
  const placed = placedAt.length + (peers?.placed ?? 0);
  const refused = refusedAt.length + (peers?.refused ?? 0);
  // Peers that have requests waiting or refused are as crowded as this VM.
  const isFleetCrowded = peers !== undefined && peers.ahead + peers.refused > 0;
  if (crowded < patienceMilliseconds && !isFleetCrowded) return 0;
  if (placed + refused < minObserved) return 0;
  if (placed === 0) return Infinity;
  const ahead = countAhead(queue, item);
  if (peers === undefined) return (ahead * crowded) / placed;
  return ((ahead + peers.ahead) * rateMilliseconds) / placed;
}

function countAhead({waiters}: WaitQueue<Waiter>, item: Waiter): number {
  let ahead = 0;
  for (const waiter of waiters) {
    if (compareWaiters(waiter, item) <= 0) ahead += 1;
  }
  return ahead;
}

function expireOld(instants: Instant[], now: Instant): void {
  while (instants.length > 0 && now - instants[0]! > rateMilliseconds) {
    instants.shift();
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  if (a.isResumed !== b.isResumed) return a.isResumed ? -1 : 1;
  const isLate = a.isLate === true;
  if (isLate !== (b.isLate === true)) return isLate ? 1 : -1;
  return compareRanks(a, b) || a.receivedAt - b.receivedAt;
}
