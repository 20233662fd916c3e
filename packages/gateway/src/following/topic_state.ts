import type {Instant} from '@zinniaspindle/shared';
import type {KeyedRecord, Topic} from '../ports/index.js';

/**
 * A replica of a keyed topic: the newest record of each key at a point in time.
 * Records come from the store or from peers; the position only moves forward.
 */
export class TopicState {
  private readonly newest = new Map<string, KeyedRecord>();
  /** Offset of the next record; undefined before the first records. */
  next: number | undefined;
  /** Every record that the store had at this time is known here. */
  asOf: Instant = -Infinity;

  constructor(
    readonly topic: Topic,
    /** Called for each change, including removed keys. */
    private readonly applyRecord: (record: KeyedRecord) => void,
  ) {}

  /**
   * Applies consecutive records. Returns false if records between the position
   * and the first of them are missing.
   */
  acceptBatch(
    from: number,
    records: readonly KeyedRecord[],
    asOf: Instant,
  ): boolean {
    if (this.next === undefined || from > this.next) return false;
    for (const record of records) {
      if (record.offset >= this.next) this.applyNewer(record);
    }
    this.next = Math.max(this.next, from + records.length);
    this.updateAge(this.next, asOf);
    return true;
  }

  /** Applies the newest records of all keys; removes all other keys. */
  acceptNewest(
    records: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ): void {
    if (this.next !== undefined && next < this.next) return;
    const keys = new Set(records.map(({key}) => key));
    for (const key of [...this.newest.keys()]) {
      if (keys.has(key)) continue;
      this.applyNewer({key, value: undefined, offset: next});
    }
    for (const record of records) this.applyNewer(record);
    this.next = next;
    this.updateAge(next, asOf);
  }

  /**
   * Updates the age when a peer at the same or an earlier position was up to
   * date.
   */
  updateAge(next: number, asOf: Instant): void {
    if (this.next !== undefined && next <= this.next) {
      this.asOf = Math.max(this.asOf, asOf);
    }
  }

  /**
   * Marks the replica as outdated, for example after a pause of the process.
   */
  expireAge(): void {
    this.asOf = -Infinity;
  }

  /** Lists the newest record of each key. */
  listNewest(): KeyedRecord[] {
    return [...this.newest.values()];
  }

  private applyNewer(record: KeyedRecord): void {
    const known = this.newest.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return;
    if (record.value === undefined) this.newest.delete(record.key);
    else this.newest.set(record.key, record);
    this.applyRecord(record);
  }
}
