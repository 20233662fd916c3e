/** After a longer pause the VM's state and timings are not trusted. */
const minPauseMilliseconds = 400;

/**
 * Detects pauses of the process between two calls: late timers by the monotonic
 * clock, and suspensions of the VM, which only the wall clock counts.
 */
export class PauseDetector {
  private monotonicAt: number;
  private wallAt: number;

  constructor(
    private readonly tickMilliseconds: number,
    private readonly getMonotonic: () => number,
    private readonly getWallClock: () => number,
  ) {
    this.monotonicAt = getMonotonic();
    this.wallAt = getWallClock();
  }

  /**
   * Returns the length of a pause since the last call, in milliseconds; 0 for
   * none.
   */
  measure(): number {
    const monotonic = this.getMonotonic();
    const wall = this.getWallClock();
    const elapsed = Math.max(monotonic - this.monotonicAt, wall - this.wallAt);
    this.monotonicAt = monotonic;
    this.wallAt = wall;
    const pause = elapsed - this.tickMilliseconds;
    return pause > minPauseMilliseconds ? Math.round(pause) : 0;
  }
}
