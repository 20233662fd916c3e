import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {EndpointTable} from './endpoint_table.js';

/** Interval of the lines on an endpoint that sends more than is taken. */
const overrunLineMilliseconds = 1000;

/** How often an endpoint sent more than is taken from it. */
interface Overruns {
  count: number;
  nextLineAt: Instant;
}

/** Counts the answers that exceeded a bound, by endpoint. */
export class OverrunLog {
  private readonly overruns = new Map<string, Overruns>();

  constructor(
    private readonly table: Pick<EndpointTable, 'find'>,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
    private readonly writeEvent: WriteEvent,
  ) {}

  /** Counts an answer that exceeded a bound, with a line a second at most. */
  count(id: string, reason: string, source: string): void {
    this.metrics.count(Counter.Overruns);
    for (const known of this.overruns.keys()) {
      if (this.table.find(known) === undefined) this.overruns.delete(known);
    }
    const now = this.getNow();
    const overruns = this.overruns.get(id) ?? {count: 0, nextLineAt: now};
    this.overruns.set(id, overruns);
    overruns.count += 1;
    if (overruns.nextLineAt > now) return;
    overruns.nextLineAt = now + overrunLineMilliseconds;
    const {count} = overruns;
    const fields = {endpoint: id, reason, source, count};
    this.writeEvent(GatewayEvent.EndpointOverran, fields);
  }
}
