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

/** Writes events as JSON lines, with a rate limit for each event. */
export class EventLog {
  private readonly logger = loglevel.getLogger('gateway');
  private readonly counts = new Map<GatewayEvent, number>();
  private windowEndsAt = 0;
  private readonly writer: LineWriter;

  constructor(
    private readonly vm: string,
    output: NodeJS.WritableStream & {writable: boolean},
  ) {
    this.writer = new LineWriter(output as NodeJS.WriteStream);
    this.logger.methodFactory = () => message => {
      this.writer.write(String(message));
    };
    this.logger.setLevel('info', false);
  }

  /** Writes an event with its fields. */
  readonly write: WriteEvent = (event, fields) => {
    if (!this.takeLineQuota(event)) {
      this.writer.countDropped();
      return;
    }
    const logEvent: LogEvent = {event, fields};
    const time = new Date().toISOString();
    const text = renderEvent(logEvent);
    const {vm} = this;
    this.logger.info(JSON.stringify({time, vm, event, text, ...fields}));
  };

  /** Logs the failure of a background task. */
  readonly writeFailure = (task: string, error: unknown): void => {
    const detail = describeError(error);
    this.write(GatewayEvent.TaskFailed, {task, detail});
  };

  /** Waits until buffered lines are written out, or until a deadline. */
  close(deadline: Deadline): Promise<void> {
    return this.writer.close(deadline, () => performance.now());
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
