import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';

/** When the link to a peer may be closed and opened again. */
export interface Reopening {
  /** Times since the peer was heard last. */
  count: number;
  nextAt: Deadline;
}

/**
 * Time for messages that have arrived to be read: after a pause of its process, a
 * VM finds all peers silent before it reads anything.
 */
const readMilliseconds = 100;
const minIntervalMilliseconds = 1000;
const maxIntervalMilliseconds = 16_000;

/** Creates the state of a link to a peer that is heard. */
export function createReopening(): Reopening {
  return {count: 0, nextAt: -Infinity};
}

/** Records that nothing has been heard of the peer for too long. */
export function recordPeerSilence(reopening: Reopening, now: Instant): void {
  reopening.count = 0;
  reopening.nextAt = Math.max(reopening.nextAt, now + readMilliseconds);
}

/**
 * Tells whether the link is to be opened again now, and counts that. A peer that
 * is gone costs ever fewer connections.
 */
export function takeReopening(reopening: Reopening, now: Instant): boolean {
  if (!isPast(reopening.nextAt, now)) return false;
  const interval = minIntervalMilliseconds * 2 ** reopening.count;
  reopening.count += 1;
  reopening.nextAt = now + Math.min(maxIntervalMilliseconds, interval);
  return true;
}
