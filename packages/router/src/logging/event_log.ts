import {renderEvent} from '@zinniaspindle/shared';
import type {Instant, LogEvent, VmId} from '@zinniaspindle/shared';
import loglevel from 'loglevel';
import {LogFormat} from '../settings/sections.js';
import type {LogLevel} from '../settings/sections.js';

/** How log lines are written. */
export interface EventLogOptions {
  readonly vm: VmId;
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Lines of one event number in one second above which lines are counted only. */
  readonly maxLinesPerSecond: number;
  readonly getNow: () => Instant;
}

const windowMilliseconds = 1000;

/** Lines of one event number in the present second. */
interface LineWindow {
  endsAt: Instant;
  written: number;
  dropped: number;
}

/** Writes numbered events as log lines, bounded in rate for each number. */
export class EventLog {
  private readonly logger = loglevel.getLogger('zinniaspindle');
  private readonly windows = new Map<number, LineWindow>();

  constructor(private readonly options: EventLogOptions) {
    this.logger.setLevel(options.level, false);
  }

  /** Writes an event at level info. */
  logInfo(entry: LogEvent): void {
    if (this.logger.getLevel() > this.logger.levels.INFO) return;
    if (this.takeLine(entry.event)) this.logger.info(this.formatLine(entry));
  }

  /** Writes an event at level warn. */
  logWarning(entry: LogEvent): void {
    if (this.takeLine(entry.event)) this.logger.warn(this.formatLine(entry));
  }

  /** Writes an event at level error. */
  logError(entry: LogEvent): void {
    if (this.takeLine(entry.event)) this.logger.error(this.formatLine(entry));
  }

  private takeLine(event: number): boolean {
    const now = this.options.getNow();
    const window = this.windows.get(event);
    if (window === undefined || now >= window.endsAt) {
      const dropped = window?.dropped ?? 0;
      if (dropped > 0) this.reportDropped(event, dropped);
      const endsAt = now + windowMilliseconds;
      this.windows.set(event, {endsAt, written: 1, dropped: 0});
      return true;
    }
    if (window.written < this.options.maxLinesPerSecond) {
      window.written += 1;
      return true;
    }
    window.dropped += 1;
    return false;
  }

  private reportDropped(event: number, dropped: number): void {
    this.logger.warn(`event ${event}: ${dropped} more lines were left out`);
  }

  private formatLine(item: LogEvent): string {
    const {vm, format, getNow} = this.options;
    const time = new Date(getNow()).toISOString();
    const text = renderEvent(item);
    if (format === LogFormat.Text) return `${time} ${vm} ${item.event} ${text}`;
    return JSON.stringify({
      time,
      vm,
      event: item.event,
      text,
      ...item.fields,
    });
  }
}
