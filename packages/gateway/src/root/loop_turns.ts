import type {Instant} from '@zinniaspindle/shared';

const turnMilliseconds = 20;
const keptTurns = 2;

/**
 * Records when turns of the event loop began. A turn counts once its events have
 * been handled, so that none counts in which a pending signal was not read.
 */
export class LoopTurns {
  private readonly begins: Instant[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly getNow: () => Instant) {}

  /** Starts to record. */
  start(): void {
    this.timer = setInterval(() => {
      const begin = this.getNow();
      setImmediate(() => this.add(begin));
    }, turnMilliseconds);
  }

  /** Stops recording. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Lists the begins of the latest turns, oldest first. */
  list(): readonly Instant[] {
    return [...this.begins];
  }

  private add(begin: Instant): void {
    this.begins.push(begin);
    if (this.begins.length > keptTurns) this.begins.shift();
  }
}
