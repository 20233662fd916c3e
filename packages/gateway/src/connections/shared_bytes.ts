import {findExceeded} from '@zinniaspindle/decisions';

/** Bytes that the connections of all listeners share. */
export class SharedBytes {
  private total = 0;

  constructor(
    private readonly maxBytes: number,
    /** The most connections at once. */
    private readonly connections: number,
  ) {}

  /** Tells whether a connection may hold other bytes than before. */
  canSet(before: number, bytes: number): boolean {
    if (bytes <= before) return true;
    const limit = findExceeded({
      maxBytes: this.maxBytes,
      itemBytes: bytes,
      otherBytes: this.total - before,
      countPlaces: () => this.connections,
    });
    return limit === undefined;
  }

  /** Sets the bytes that a connection holds, if it may. */
  set(before: number, bytes: number): boolean {
    if (!this.canSet(before, bytes)) return false;
    this.total += bytes - before;
    return true;
  }
}
