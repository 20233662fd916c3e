import type {GatewayEvent, Instant} from '@zinniaspindle/shared';
import type {EventFields, WriteEvent} from './event_log.js';

/** Interval of the lines on the same source and reason. */
const lineMilliseconds = 10_000;
/** Sources and reasons that are remembered. */
const maxRefusals = 1024;

/** How often something was left out since its last line. */
interface Refusals {
  count: number;
  nextLineAt: Instant;
}

/**
 * Writes lines on what is left out of data from outside, with the number of
 * times: one line an interval for each source and reason.
 */
export class RefusalLog {
  private readonly refusals = new Map<string, Refusals>();

  constructor(
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
  ) {}

  /** Records that something of a source is left out. */
  record(
    event: GatewayEvent,
    source: string,
    reason: string,
    fields: EventFields,
  ): void {
    const key = `${event} ${source} ${reason}`;
    const now = this.getNow();
    const known = this.refusals.get(key);
    const refusals = known ?? {count: 0, nextLineAt: now};
    refusals.count += 1;
    if (known === undefined) this.add(key, refusals);
    if (refusals.nextLineAt > now) return;
    const {count} = refusals;
    refusals.count = 0;
    refusals.nextLineAt = now + lineMilliseconds;
    this.writeEvent(event, {...fields, reason, count});
  }

  private add(key: string, refusals: Refusals): void {
    this.refusals.set(key, refusals);
    if (this.refusals.size <= maxRefusals) return;
    const [oldest] = this.refusals.keys();
    this.refusals.delete(oldest!);
  }
}
