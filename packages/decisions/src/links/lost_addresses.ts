import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';

/** Interval of the connections that are tried to one address. */
const retryMilliseconds = 5000;
/** After it, the first connection is tried to an address that was in use. */
const firstRetryMilliseconds = 1000;
/**
 * The interval for VMs of older builds. They open no new link to a VM before they
 * have heard nothing of it for 30 s.
 */
const olderBuildRetryMilliseconds = 40_000;
/** Addresses that are kept; the oldest one is dropped for another. */
const maxAddresses = 512;

/** An address of a VM that was lost, or that never greeted. */
interface LostAddress {
  /** Whether its build opens a new link when it is told that it is not heard. */
  readonly readsUnheard: boolean;
  nextTryAt: Deadline;
}

/** Addresses of VMs that may be reached again, by address. */
export type LostAddresses = Map<string, LostAddress>;

/** Creates an empty list. */
export function createLostAddresses(): LostAddresses {
  return new Map();
}

/** Records that the VM at an address was lost. */
export function recordLostAddress(
  lost: LostAddresses,
  address: string,
  readsUnheard: boolean,
  now: Instant,
): void {
  if (lost.has(address)) return;
  const nextTryAt =
    now + (readsUnheard ? firstRetryMilliseconds : olderBuildRetryMilliseconds);
  lost.set(address, {readsUnheard, nextTryAt});
  if (lost.size <= maxAddresses) return;
  const [oldest] = lost.keys();
  lost.delete(oldest!);
}

/** Takes the address that has been due for longest; undefined if none is due. */
export function takeDueAddress(
  lost: LostAddresses,
  now: Instant,
): string | undefined {
  let due: string | undefined;
  let dueAt = Infinity;
  for (const [address, {nextTryAt}] of lost) {
    if (!isPast(nextTryAt, now) || nextTryAt >= dueAt) continue;
    due = address;
    dueAt = nextTryAt;
  }
  if (due === undefined) return undefined;
  const taken = lost.get(due)!;
  const interval = taken.readsUnheard
    ? retryMilliseconds
    : olderBuildRetryMilliseconds;
  taken.nextTryAt = now + interval;
  return due;
}
