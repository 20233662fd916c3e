import {performance} from 'node:perf_hooks';
import {
  describeError,
  GatewayEvent,
  renderEvent,
  type Deadline,
  type LogEvent,
  type EventFieldValue,
} from '@zinniaspindle/shared';
import loglevel from 'loglevel';
import {LineWriter} from './line_writer.js';

/** The fields of an event, by name. */
export type EventFields = Readonly<Record<string, EventFieldValue>>;

/** Writes an event to the log. */
export type WriteEvent = (event: GatewayEvent, fields: EventFields) => void;

/** Lines of one event in a second; further ones are dropped and counted. */
const maxLinesPerSecond = 100;
const windowMilliseconds = 1000;

/** Time over which requests over the limit are gathered. */
const gatherMilliseconds = 200;
/** Requests are gathered in lines of about this many bytes. */
const maxGatheredBytes = 2048;

/** Events by which a request ends without a whole answer. */
const lossEvents: ReadonlySet<GatewayEvent> = new Set([
  GatewayEvent.RequestFailed,
  GatewayEvent.RequestAbandoned,
  GatewayEvent.RequestCutOff,
  GatewayEvent.AnswerUnwritten,
]);

/** Events whose lines are kept when the reader is slow. */
const keptEvents: ReadonlySet<GatewayEvent> = new Set([
  GatewayEvent.Stopping,
  GatewayEvent.Stopped,
  GatewayEvent.RequestsInFlight,
  GatewayEvent.FurtherRequests,
  GatewayEvent.RequestAbandoned,
  GatewayEvent.RequestCutOff,
  GatewayEvent.AnswerUnwritten,
]);

/** Requests of an event over the limit of lines, to be named in one line. */
interface GatheredRequests {
  readonly ids: string[];
  bytes: number;
}

/** Writes events as JSON lines, with a rate limit for each event. */
export class EventLog {
  private readonly logger = loglevel.getLogger('gateway');
  private readonly counts = new Map<GatewayEvent, number>();
  private windowEndsAt = 0;
  private isClosed = false;
  private readonly gathered = new Map<GatewayEvent, GatheredRequests>();
  private gatherTimer: NodeJS.Timeout | undefined;
  private readonly writer: LineWriter;

  constructor(
    private readonly vm: string,
    output: NodeJS.WritableStream & {writable: boolean},
    private readonly reportLost: (line: string) => void = () => undefined,
  ) {
    this.writer = new LineWriter(output as NodeJS.WriteStream);
    this.logger.methodFactory = () => (line, isKept) => {
      this.writer.write(String(line), isKept === true);
    };
    this.logger.setLevel('info', false);
  }

  /** Writes an event with its fields. */
  readonly write: WriteEvent = (event, fields) => {
    if (this.isClosed) return;
    if (!this.takeLineQuota(event)) {
      const {request} = fields;
      if (lossEvents.has(event) && typeof request === 'string') {
        this.addGathered(event, request);
      } else {
        this.writer.countDropped();
      }
      return;
    }
    const line = this.renderLine(event, fields);
    this.logger.info(line, keptEvents.has(event));
  };

  /** Logs the failure of a background task. */
  readonly writeFailure = (task: string, error: unknown): void => {
    const detail = describeError(error);
    this.write(GatewayEvent.TaskFailed, {task, detail});
  };

  /** Writes buffered lines at once, unless the output is blocked. */
  writeAll(): void {
    this.writer.writeAll();
  }

  /**
   * Waits until buffered lines are written out, or until a deadline; reports how
   * many lines are lost. Events that follow are those of closing connections,
   * whose requests are logged already.
   */
  async close(deadline: Deadline): Promise<void> {
    this.writeGathered();
    this.isClosed = true;
    const getNow = () => performance.now();
    const lines = await this.writer.close(deadline, getNow);
    if (lines === 0) return;
    this.reportLost(this.renderLine(GatewayEvent.LinesLost, {lines}));
  }

  private renderLine(event: GatewayEvent, fields: EventFields): string {
    const logEvent: LogEvent = {event, fields};
    const time = new Date().toISOString();
    const text = renderEvent(logEvent);
    const {vm} = this;
    return JSON.stringify({time, vm, event, text, ...fields});
  }

  private addGathered(event: GatewayEvent, id: string): void {
    const gathered = this.gathered.get(event) ?? {ids: [], bytes: 0};
    this.gathered.set(event, gathered);
    gathered.ids.push(id);
    gathered.bytes += id.length + 1;
    if (gathered.bytes >= maxGatheredBytes) this.writeGathered();
    else {
      this.gatherTimer ??= setTimeout(
        () => this.writeGathered(),
        gatherMilliseconds,
      );
    }
  }

  private writeGathered(): void {
    clearTimeout(this.gatherTimer);
    this.gatherTimer = undefined;
    for (const [of, {ids}] of this.gathered) {
      const requests = ids.join(' ');
      this.write(GatewayEvent.FurtherRequests, {
        of,
        count: ids.length,
        requests,
      });
    }
    this.gathered.clear();
  }

  private takeLineQuota(event: GatewayEvent): boolean {
    const now = Date.now();
    if (now >= this.windowEndsAt) {
      this.windowEndsAt = now + windowMilliseconds;
      this.counts.clear();
    }
    const count = (this.counts.get(event) ?? 0) + 1;
    this.counts.set(event, count);
    return count <= maxLinesPerSecond;
  }
}
