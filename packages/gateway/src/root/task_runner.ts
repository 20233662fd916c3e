import type {EventLog} from '../log/event_log.js';

/** Runs periodic tasks; a failure is logged and the task stays scheduled. */
export class TaskRunner {
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly log: EventLog) {}

  /** Starts a periodic task. */
  start(name: string, periodMilliseconds: number, run: () => void): void {
    const runGuarded = () => {
      try {
        run();
      } catch (error) {
        this.log.writeFailure(name, error);
      }
    };
    this.timers.push(setInterval(runGuarded, periodMilliseconds));
  }

  /** Stops all tasks. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }
}
