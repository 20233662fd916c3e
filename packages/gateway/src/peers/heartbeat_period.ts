/** A dead VM is detected after four periods, here within a second. */
const minPeriodMilliseconds = 250;
/**
 * Also in the largest fleets a dead VM is detected after four periods; until
 * then, callers avoid the VMs that failed them.
 */
const maxPeriodMilliseconds = 1000;
/**
 * With more peers, four heartbeats a second would exceed the 19 KB/s allowed
 * for control traffic.
 */
const peersAtMinPeriod = 20;

/** Computes the heartbeat period in milliseconds, which grows with the fleet. */
export function computeHeartbeatPeriod(peers: number): number {
  const period = minPeriodMilliseconds * (peers / peersAtMinPeriod);
  return Math.min(
    maxPeriodMilliseconds,
    Math.max(minPeriodMilliseconds, period),
  );
}
