import type {Deadline, Instant} from '@zinniaspindle/shared';

/** A request that waits for a place on a path. */
export interface Waiter {
  /** A stream that was cut and goes on; its caller has had part of the answer. */
  readonly isResumed: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly receivedAt: Instant;
  /** It is refused at this instant if it has no place. */
  readonly waitUntil: Deadline;
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
 * Adds a request behind those that go before it: cut streams first, then by
 * priority, then by age.
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
 */
export function predictWait(
  queue: WaitQueue<Waiter>,
  item: Waiter,
  now: Instant,
): number {
  const {waiters, placedAt, refusedAt, crowdedSince} = queue;
  if (crowdedSince === undefined) return 0;
  const observed = Math.min(rateMilliseconds, now - crowdedSince);
  if (observed < patienceMilliseconds) return 0;
  expireOld(placedAt, now);
  expireOld(refusedAt, now);
  if (placedAt.length + refusedAt.length < minObserved) return 0;
  if (placedAt.length === 0) return Infinity;
  let ahead = 0;
  for (const waiter of waiters) {
    if (compareWaiters(waiter, item) <= 0) ahead += 1;
  }
  return (ahead * observed) / placedAt.length;
}

function expireOld(instants: Instant[], now: Instant): void {
  while (instants.length > 0 && now - instants[0]! > rateMilliseconds) {
    instants.shift();
  }
}

function compareWaiters(a: Waiter, b: Waiter): number {
  if (a.isResumed !== b.isResumed) return a.isResumed ? -1 : 1;
  return a.priority - b.priority || a.receivedAt - b.receivedAt;
}
