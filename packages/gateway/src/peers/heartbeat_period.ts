/** A period at which a VM that is gone is left out after a second. */
const leastMilliseconds = 250;
/** Silences are noticed after four periods; callers avoid what failed them. */
const mostMilliseconds = 1000;
/** Four beats a second to more VMs would pass the 19 KB/s of control (letter 1). */
const frequentPeers = 20;

/** Computes how often a VM tells its peers of itself; less often to many. */
export function computeHeartbeatPeriod(peers: number): number {
  const period = leastMilliseconds * (peers / frequentPeers);
  return Math.min(mostMilliseconds, Math.max(leastMilliseconds, period));
}
