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
  private partial: Buffer = Buffer.alloc(0);

  /** Adds a chunk; returns the events that are now complete, if any. */
  accept(chunk: Buffer): CompleteEvents | undefined {
    const bytes =
      this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
    const at = bytes.lastIndexOf(eventEnd);
    if (at === -1) {
      this.partial = bytes;
      return undefined;
    }
    const end = at + eventEnd.length;
    this.partial = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    return {bytes: complete, lastId: findLastId(complete)};
  }

  /** Tells whether part of an event is buffered. */
  hasPartialEvent(): boolean {
    return this.partial.some(byte => byte !== lineFeed);
  }
}

function findLastId(events: Buffer): string | undefined {
  const start = events.lastIndexOf(eventEnd, events.length - 3);
  const last = events.subarray(start === -1 ? 0 : start + eventEnd.length);
  return idPattern.exec(last.toString('latin1'))?.[1];
}
