/** Requests sent ahead that one turn of the loop reads, on all connections. */
const requestsPerTurn = 16;

/** Reads on; called once for each wait. */
export type ReadOn = () => void;

/**
 * Spreads the requests that clients send ahead over the turns of the loop, so that
 * other connections are read in between.
 */
export class ReadTurns {
  private left = requestsPerTurn;
  private readonly waiting = new Set<ReadOn>();
  private isScheduled = false;

  /** Takes one of the requests that this turn may read. */
  take(): boolean {
    this.planRun();
    if (this.left === 0) return false;
    this.left -= 1;
    return true;
  }

  /** Waits for a later turn, behind those that wait already. */
  add(readOn: ReadOn): void {
    this.waiting.add(readOn);
    this.planRun();
  }

  /** Gives up a wait. */
  remove(readOn: ReadOn): void {
    this.waiting.delete(readOn);
  }

  private planRun(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  private run(): void {
    this.isScheduled = false;
    this.left = requestsPerTurn;
    let count = 0;
    for (const readOn of this.waiting) {
      if (count === requestsPerTurn) break;
      count += 1;
      this.waiting.delete(readOn);
      readOn();
    }
    if (this.waiting.size > 0) this.planRun();
  }
}
