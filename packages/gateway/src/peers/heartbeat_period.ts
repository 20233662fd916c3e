import type {Instant} from '@zinniaspindle/shared';

/** At this period, a VM that fails is detected within a second. */
const minPeriodMilliseconds = 250;
/**
 * Sending and receiving a heartbeat costs 0.1 ms for each peer: 195 VMs that
 * send one a second spend 3% of a core on them.
 */
const maxPeriodMilliseconds = 2000;
/**
 * Number of peers up to which heartbeats use the shortest period. With more,
 * four a second would exceed the 19 KB/s allowed for control traffic (letter 1).
 */
const shortestPeriodPeers = 20;
/**
 * Heartbeat periods without a message after which a peer is unreachable; three
 * heartbeats in a row may be lost or late.
 */
const silenceTimeoutPeriods = 4;
/** Longest silence of a reachable peer. */
const maxSilenceMilliseconds = 5000;
/**
 * A peer whose connection closed opens another one within this time, unless its
 * process has ended.
 */
const reconnectMilliseconds = 1200;

/** Computes the heartbeat period in milliseconds, which grows with the fleet. */
export function computeHeartbeatPeriod(peers: number): number {
  const period = minPeriodMilliseconds * (peers / shortestPeriodPeers);
  return Math.min(
    maxPeriodMilliseconds,
    Math.max(minPeriodMilliseconds, period),
  );
}

/** Computes the silence after which a peer counts as unreachable. */
export function computeSilenceTimeout(peers: number): number {
  return Math.min(
    maxSilenceMilliseconds,
    silenceTimeoutPeriods * computeHeartbeatPeriod(peers),
  );
}

/**
 * Computes the time of the last message that a peer counts with after its
 * connection closed, so that it is unreachable soon unless it connects again.
 */
export function computeClosedMessageAt(
  lastMessageAt: Instant,
  peers: number,
  now: Instant,
): Instant {
  const silence = computeSilenceTimeout(peers);
  return Math.min(lastMessageAt, now - silence + reconnectMilliseconds);
}
