const lineFeed = 0x0a;
const eventEnd = Buffer.from('\n\n');
const idPattern = /^id: ?(.*)$/m;

/** Whole events of a stream, and the id of the last of them. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/** Splits a stream's bytes at the ends of events; keeps what is not whole. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes; gives the events that are whole now. */
  accept(chunk: Buffer): WholeEvents | undefined {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const at = bytes.lastIndexOf(eventEnd);
    if (at === -1) {
      this.rest = bytes;
      return undefined;
    }
    const end = at + eventEnd.length;
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    return {bytes: whole, lastId: findLastId(whole)};
  }

  /** Tells whether the stream ended in the middle of an event. */
  hasRest(): boolean {
    return this.rest.some(byte => byte !== lineFeed);
  }
}

function findLastId(events: Buffer): string | undefined {
  const start = events.lastIndexOf(eventEnd, events.length - 3);
  const last = events.subarray(start === -1 ? 0 : start + eventEnd.length);
  return idPattern.exec(last.toString('latin1'))?.[1];
}
