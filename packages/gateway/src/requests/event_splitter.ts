import {
  findForeignText,
  IntakeKind,
  type IntakeExcess,
} from '@zinniaspindle/decisions';
import type {Intake} from '../intake/intake.js';
import {BoundedBody} from './bounded_body.js';

const lineFeed = 0x0a;
const eventEnd = Buffer.from('\n\n');
const idPattern = /^id: ?(.*)$/m;

/** Complete events of a stream, and the id of the last one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/** Splits a stream after complete events and buffers a partial one. */
export class EventSplitter {
  private readonly partial: BoundedBody;
  /** The bound that the partial event reached, which is lost then. */
  excess: IntakeExcess | undefined;
  /** Whether text has come that belongs to no event; what follows is left out. */
  private hasForeignText = false;

  constructor(intake: Intake) {
    this.partial = new BoundedBody(intake);
  }

  /** Adds a chunk; returns the events that are now complete, if any. */
  accept(chunk: Buffer): CompleteEvents | undefined {
    if (this.excess !== undefined || this.hasForeignText) return undefined;
    const end = this.findEnd(chunk);
    if (end === 0) {
      this.addPartial(chunk);
      return undefined;
    }
    const head = chunk.subarray(0, end);
    const bytes =
      this.partial.length === 0
        ? head
        : Buffer.concat([this.partial.toBuffer(), head]);
    this.partial.drop();
    const foreignAt = findForeignText(bytes.toString('latin1'));
    this.hasForeignText = foreignAt !== undefined;
    if (foreignAt === 0) return undefined;
    const events = bytes.subarray(0, foreignAt);
    if (!this.hasForeignText && end < chunk.length) {
      this.addPartial(chunk.subarray(end));
    }
    return {bytes: events, lastId: findLastId(events)};
  }

  /** Tells whether anything follows the whole events. */
  hasPartialEvent(): boolean {
    if (this.hasForeignText) return true;
    return this.partial.toBuffer().some(byte => byte !== lineFeed);
  }

  /** Drops the partial event. */
  drop(): void {
    this.partial.drop();
  }

  private addPartial(chunk: Buffer): void {
    this.excess = this.partial.add(IntakeKind.PartialEvent, chunk);
  }

  /** Finds where the last complete event ends in a chunk; 0 for none. */
  private findEnd(chunk: Buffer): number {
    const at = chunk.lastIndexOf(eventEnd);
    if (at !== -1) return at + eventEnd.length;
    const last = this.partial.toBuffer().at(-1);
    return last === lineFeed && chunk[0] === lineFeed ? 1 : 0;
  }
}

function findLastId(events: Buffer): string | undefined {
  const start = events.lastIndexOf(eventEnd, events.length - 3);
  const last = events.subarray(start === -1 ? 0 : start + eventEnd.length);
  return idPattern.exec(last.toString('latin1'))?.[1];
}
