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
  /** The same, as far as this VM read the store itself. */
  readAsOf: Instant = -Infinity;

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
    return this.acceptChanges(from, records, from + records.length, asOf);
  }

  /**
   * Applies the changes between two positions: the newest record of each key
   * that changed. Returns false if this replica is before the first position.
   */
  acceptChanges(
    from: number,
    records: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ): boolean {
    if (this.next === undefined || from > this.next) return false;
    for (const record of listNewestByKey(records)) {
      if (record.offset >= this.next) this.applyNewer(record);
    }
    this.next = Math.max(this.next, next);
    this.updateAge(next, asOf);
    return true;
  }

  /**
   * Applies the newest records of all keys and removes all other keys. Returns
   * the changes.
   */
  acceptNewest(
    records: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ): KeyedRecord[] {
    if (this.next !== undefined && next < this.next) return [];
    const changes: KeyedRecord[] = [];
    const keys = new Set(records.map(({key}) => key));
    for (const key of [...this.newest.keys()]) {
      if (keys.has(key)) continue;
      changes.push({key, value: undefined, offset: next});
    }
    changes.push(...records);
    const applied = changes.filter(record => this.applyNewer(record));
    this.next = next;
    this.updateAge(next, asOf);
    return applied;
  }

  /** Updates the age when the store was at this position. */
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
    this.readAsOf = -Infinity;
  }

  /** Lists the newest record of each key. */
  listNewest(): KeyedRecord[] {
    return [...this.newest.values()];
  }

  /** Applies a record unless it is known; returns whether it was applied. */
  private applyNewer(record: KeyedRecord): boolean {
    const known = this.newest.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return false;
    if (record.value === undefined) this.newest.delete(record.key);
    else this.newest.set(record.key, record);
    this.applyRecord(record);
    return true;
  }
}

/** Lists the last record of each key, in the order of the records. */
function listNewestByKey(records: readonly KeyedRecord[]): KeyedRecord[] {
  const newest = new Map<string, KeyedRecord>();
  for (const record of records) {
    newest.delete(record.key);
    newest.set(record.key, record);
  }
  return [...newest.values()];
}
