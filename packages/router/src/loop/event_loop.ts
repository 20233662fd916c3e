/** Runs tasks one after another, so that no decision runs inside another. */
export class EventLoop {
  private readonly tasks: Array<() => void> = [];
  private running = false;

  constructor(
    /** Hears of a task that threw; the loop goes on with the next one. */
    private readonly handleFailure: (error: unknown) => void,
  ) {}

  /** Runs a task now, or after the tasks that are already running. */
  run(task: () => void): void {
    this.tasks.push(task);
    if (this.running) return;
    this.running = true;
    for (;;) {
      const next = this.tasks.shift();
      if (next === undefined) break;
      this.runTask(next);
    }
    this.running = false;
  }

  private runTask(task: () => void): void {
    try {
      task();
    } catch (error) {
      this.handleFailure(error);
    }
  }
}
