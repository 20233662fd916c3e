import type {Instant, ReadResponse, StoredRecord} from '@zinniaspindle/shared';

/** What an append or a read may meet. */
export enum LogFault {
  /** The service answers nothing useful. */
  Down = 'down',
  /** Appends take effect, but their answers are lost. */
  LosesAnswers = 'losesAnswers',
  None = 'none',
}

/** How a log store is set up. */
export interface LogStoreOptions {
  /** Milliseconds that a record is kept. */
  readonly retentionMilliseconds: number;
  readonly appendsPerSecond: number;
}

/** The fate of an append as its sender sees it. */
export enum AppendFate {
  /** Placed, and answered. */
  Placed = 'placed',
  /** Placed, but the answer is lost. */
  PlacedUnanswered = 'placedUnanswered',
  /** Refused: over the append rate. */
  RateLimited = 'rateLimited',
  /** Not placed: the service is down. */
  Unavailable = 'unavailable',
}

/** The outcome of an append; firstOffset is -1 when nothing was placed. */
export interface AppendOutcome {
  readonly fate: AppendFate;
  readonly firstOffset: number;
}

/** The state of a log service; time is given by whoever hosts it. */
export class LogStore {
  private readonly records: StoredRecord[] = [];
  private next = 0;
  private oldest = 0;
  private windowStart: Instant = 0;
  private appendsInWindow = 0;
  private fault = LogFault.None;

  constructor(private readonly options: LogStoreOptions) {}

  /** Sets the fault that appends and reads meet from now on. */
  setFault(fault: LogFault): void {
    this.fault = fault;
  }

  /** Appends all records in order; one call counts as one append. */
  append(data: readonly string[], now: Instant): AppendOutcome {
    if (this.fault === LogFault.Down) {
      return {fate: AppendFate.Unavailable, firstOffset: -1};
    }
    if (!this.takeRate(now)) {
      return {fate: AppendFate.RateLimited, firstOffset: -1};
    }
    const firstOffset = this.next;
    for (const text of data) {
      this.records.push({offset: this.next, time: now, data: text});
      this.next += 1;
    }
    this.expireRecords(now);
    const fate =
      this.fault === LogFault.LosesAnswers
        ? AppendFate.PlacedUnanswered
        : AppendFate.Placed;
    return {fate, firstOffset};
  }

  /** Reads records from an offset on; undefined while the service is down. */
  read(from: number, max: number, now: Instant): ReadResponse | undefined {
    if (this.fault === LogFault.Down) return undefined;
    this.expireRecords(now);
    const start = Math.max(from, this.oldest) - this.oldest;
    const records = this.records.slice(start, start + max);
    return {oldest: this.oldest, next: this.next, records};
  }

  private takeRate(now: Instant): boolean {
    const windowMilliseconds = 1000;
    if (now - this.windowStart >= windowMilliseconds) {
      this.windowStart = now;
      this.appendsInWindow = 0;
    }
    if (this.appendsInWindow >= this.options.appendsPerSecond) return false;
    this.appendsInWindow += 1;
    return true;
  }

  private expireRecords(now: Instant): void {
    let expired = 0;
    for (const record of this.records) {
      if (record.time + this.options.retentionMilliseconds > now) break;
      expired += 1;
    }
    if (expired === 0) return;
    this.records.splice(0, expired);
    this.oldest += expired;
  }
}
