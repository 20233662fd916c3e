import type {Writable} from 'node:stream';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';

/** Lines are buffered for this time, so that one write carries several. */
const flushMilliseconds = 200;
/** Further lines are dropped and counted while the reader is slow. */
const maxBufferedBytes = 64 * 1024;
/** The same for lines that are kept before others. */
const maxKeptBytes = 128 * 1024;
const closePollMilliseconds = 5;

/**
 * Writes lines in batches and drops lines rather than block on a slow reader.
 */
export class LineWriter {
  private lines: string[] = [];
  private bufferedBytes = 0;
  private isBlocked = false;
  private timer: NodeJS.Timeout | undefined;
  private dropped = 0;
  /** Lines that the output has taken and not written out yet. */
  private inOutput = 0;

  constructor(private readonly output: Writable) {
    output.on('error', () => undefined); // Lines to a closed output are lost.
    output.on('drain', () => {
      this.isBlocked = false;
    });
  }

  /** Counts a line that was dropped before it was written here. */
  countDropped(): void {
    this.dropped += 1;
    this.timer ??= setTimeout(() => this.writeAll(), flushMilliseconds);
  }

  /**
   * Buffers a line, or drops it when the buffer is full; a line that is kept
   * before others may use more of it.
   */
  write(line: string, isKept = false): void {
    const maxBytes = isKept ? maxKeptBytes : maxBufferedBytes;
    const isFull = this.bufferedBytes + line.length > maxBytes;
    if (isFull && !this.isBlocked) this.writeAll();
    if (this.bufferedBytes + line.length > maxBytes) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedBytes += line.length;
    this.timer ??= setTimeout(() => this.writeAll(), flushMilliseconds);
  }

  /**
   * Writes the buffered lines, or retries later while the output is blocked.
   */
  writeAll(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.lines.length === 0 && this.dropped === 0) return;
    if (this.isBlocked) {
      this.timer = setTimeout(() => this.writeAll(), flushMilliseconds);
      return;
    }
    if (this.dropped > 0) this.lines.push(`{"droppedLines":${this.dropped}}`);
    const text = `${this.lines.join('\n')}\n`;
    const count = this.lines.length;
    this.lines = [];
    this.bufferedBytes = 0;
    this.dropped = 0;
    this.inOutput += count;
    this.isBlocked = !this.output.write(text, () => {
      this.inOutput -= count;
    });
  }

  /**
   * Waits until all lines are written out, or until a deadline; returns the
   * number of lines that are not.
   */
  async close(deadline: Deadline, getNow: () => Instant): Promise<number> {
    for (;;) {
      this.writeAll();
      if (this.countUnwritten() === 0 || !this.output.writable) break;
      if (isPast(deadline, getNow())) break;
      await waitMilliseconds(closePollMilliseconds);
    }
    clearTimeout(this.timer);
    this.timer = undefined;
    return this.countUnwritten();
  }

  /** Counts the lines that are buffered, dropped or not written out yet. */
  private countUnwritten(): number {
    return this.lines.length + this.dropped + this.inOutput;
  }
}
