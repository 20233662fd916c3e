import {renderEvent} from '@zinniaspindle/shared';
import type {Instant, LogEvent} from '@zinniaspindle/shared';

/** One decision as `explain` shows it. */
export interface ExplainedDecision {
  readonly time: Instant;
  readonly event: number;
  readonly text: string;
}

/** An event and the time at which it was logged. */
interface KeptEvent {
  readonly time: Instant;
  readonly logEvent: LogEvent;
}

/** Keeps the last decisions in memory, for `explain`. */
export class DecisionRecord {
  private readonly keptEvents: KeptEvent[] = [];
  private next = 0;

  constructor(private readonly maxEvents: number) {}

  /** Keeps an event, which replaces the oldest one when the buffer is full. */
  add(logEvent: LogEvent, time: Instant): void {
    this.keptEvents[this.next % this.maxEvents] = {time, logEvent};
    this.next += 1;
  }

  /** Lists the decisions in which a field has a value, oldest first. */
  list(value: string): ExplainedDecision[] {
    const found: ExplainedDecision[] = [];
    const first = Math.max(0, this.next - this.maxEvents);
    for (let index = first; index < this.next; index += 1) {
      const {time, logEvent} = this.keptEvents[index % this.maxEvents]!;
      if (!hasValue(logEvent, value)) continue;
      found.push({time, event: logEvent.event, text: renderEvent(logEvent)});
    }
    return found;
  }
}

function hasValue(logEvent: LogEvent, value: string): boolean {
  for (const held of Object.values(logEvent.fields)) {
    if (held === value) return true;
  }
  return false;
}
