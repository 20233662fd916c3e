import type {EventLog} from '../log/event_log.js';

/** Runs tasks again and again; one that fails is logged and goes on. */
export class TaskRunner {
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly log: EventLog) {}

  /** Starts a task that runs every so many milliseconds. */
  start(name: string, everyMilliseconds: number, run: () => void): void {
    const runGuarded = () => {
      try {
        run();
      } catch (error) {
        this.log.writeFailure(name, error);
      }
    };
    this.timers.push(setInterval(runGuarded, everyMilliseconds));
  }

  /** Stops all tasks. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }
}
