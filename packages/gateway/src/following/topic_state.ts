import type {Instant} from '@zinniaspindle/shared';
import type {KeyedRecord, Topic} from '../ports/index.js';

/**
 * The newest record of each key of a topic, as of an instant. Records come
 * from the store or from peers; the position only moves forward.
 */
export class TopicState {
  private readonly newest = new Map<string, KeyedRecord>();
  /** Offset of the next record; undefined before anything is known. */
  next: number | undefined;
  /** All records that the store held at this instant are known. */
  asOf: Instant = -Infinity;

  constructor(
    readonly topic: Topic,
    /** Called for each change, the dropped keys included. */
    private readonly applyRecord: (record: KeyedRecord) => void,
  ) {}

  /**
   * Takes consecutive records. Returns false when records between the known
   * position and the first of them are missing.
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

  /** Takes the newest records of all keys; keys that are not there are gone. */
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

  /** Notes that a peer at the same or an earlier position was up to date. */
  updateAge(next: number, asOf: Instant): void {
    if (this.next !== undefined && next <= this.next) {
      this.asOf = Math.max(this.asOf, asOf);
    }
  }

  /** Distrusts the age of all knowledge, as after a pause of the process. */
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
