/** A period at which a VM that is gone is left out after a second. */
const leastMilliseconds = 250;
/** Silences are noticed after four periods; callers avoid what failed them. */
const mostMilliseconds = 1000;
/** Beats to more VMs would take a link of 10 Mbit/s (grown sites) by 5%. */
const frequentPeers = 20;

/** Computes how often a VM tells its peers of itself; less often to many. */
export function computeBeatPeriod(peers: number): number {
  const period = leastMilliseconds * (peers / frequentPeers);
  return Math.min(mostMilliseconds, Math.max(leastMilliseconds, period));
}
