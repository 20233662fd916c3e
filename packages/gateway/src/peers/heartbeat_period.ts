/** At this period, a VM that fails is detected within a second. */
const leastMilliseconds = 250;
/** Silences are noticed after four periods; callers avoid what fails before. */
const mostMilliseconds = 1000;
/**
 * Number of peers up to which heartbeats use the shortest period. With more,
 * four a second would exceed the 19 KB/s allowed for control traffic.
 */
const frequentPeers = 20;

/** Computes the heartbeat period in milliseconds, which grows with the fleet. */
export function computeHeartbeatPeriod(peers: number): number {
  const period = leastMilliseconds * (peers / frequentPeers);
  return Math.min(mostMilliseconds, Math.max(leastMilliseconds, period));
}
