import type {Instant} from '@zinniaspindle/shared';

/** The delays of a peer's recent messages, on clocks that differ by a constant. */
export interface DelayWindow {
  /** Differences between the receiver's and the sender's clock, oldest first. */
  readonly offsets: number[];
}

/** Recent messages among which the fastest one is taken as not delayed. */
const windowLength = 64;

/** Creates a window without messages. */
export function createDelayWindow(): DelayWindow {
  return {offsets: []};
}

/**
 * Records a message and returns how many milliseconds it was delayed beyond the
 * fastest recent message of the same peer. What a message says of the age of
 * data is older by this when it is read: messages wait for a busy link, a lost
 * packet or a VM that was paused.
 */
export function recordDelay(
  {offsets}: DelayWindow,
  sentAt: Instant,
  receivedAt: Instant,
): number {
  const offset = receivedAt - sentAt;
  offsets.push(offset);
  if (offsets.length > windowLength) offsets.shift();
  let least = offset;
  for (const other of offsets) least = Math.min(least, other);
  return offset - least;
}
