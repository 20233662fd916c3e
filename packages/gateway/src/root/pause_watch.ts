/** A longer pause makes what a VM knows and measures doubtful. */
const pauseMilliseconds = 400;

/**
 * Finds pauses of the process between two calls: late timers, and suspensions
 * that only the time of day counts.
 */
export class PauseWatch {
  private monotonicAt: number;
  private wallAt: number;

  constructor(
    private readonly tickMilliseconds: number,
    private readonly getMonotonic: () => number,
    private readonly getWall: () => number,
  ) {
    this.monotonicAt = getMonotonic();
    this.wallAt = getWall();
  }

  /** Returns the length of a pause since the last call; 0 for none. */
  measure(): number {
    const monotonic = this.getMonotonic();
    const wall = this.getWall();
    const passed = Math.max(monotonic - this.monotonicAt, wall - this.wallAt);
    this.monotonicAt = monotonic;
    this.wallAt = wall;
    const pause = passed - this.tickMilliseconds;
    return pause > pauseMilliseconds ? Math.round(pause) : 0;
  }
}
