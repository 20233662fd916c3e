/** At this period, a VM that fails is detected within a second. */
const minPeriodMilliseconds = 250;
/**
 * At this period, a failure is detected after four seconds; callers avoid a VM
 * that failed them before that.
 */
const maxPeriodMilliseconds = 1000;
/**
 * Number of peers up to which heartbeats use the shortest period. With more,
 * four a second would exceed the 19 KB/s allowed for control traffic (letter 1).
 */
const shortestPeriodPeers = 20;

/** Computes the heartbeat period in milliseconds, which grows with the fleet. */
export function computeHeartbeatPeriod(peers: number): number {
  const period = minPeriodMilliseconds * (peers / shortestPeriodPeers);
  return Math.min(
    maxPeriodMilliseconds,
    Math.max(minPeriodMilliseconds, period),
  );
}
