import {
  decideChangesUse,
  decideNewestUse,
  RecordsUse,
  type StoreEra,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {KeyedRecord, Topic} from '../ports/index.js';

/** How a record came to a replica. */
export enum RecordOrigin {
  /** It follows on the records before it. */
  Followed = 'followed',
  /**
   * The store came back from an older copy: the record may be older than the one
   * before it, and a missing one may be written again.
   */
  OlderCopy = 'olderCopy',
}

/**
 * A replica of a keyed topic: the newest record of each key at a point in time.
 * Records come from the store or from peers; the position only moves forward,
 * from era to era and within each.
 */
export class TopicState {
  private readonly newest = new Map<string, KeyedRecord>();
  /** Offset of the next record; undefined before the first records. */
  next: number | undefined;
  /** Era of the store that the position and all records belong to. */
  era: StoreEra;
  /** Every record that the store had at this time is known here. */
  asOf: Instant = -Infinity;
  /** The same, as far as this VM read the store itself. */
  readAsOf: Instant = -Infinity;

  constructor(
    readonly topic: Topic,
    /** Called for each change, including removed keys. */
    private readonly applyRecord: (
      record: KeyedRecord,
      origin: RecordOrigin,
    ) => void,
  ) {}

  /**
   * Applies consecutive records. Returns false if records between the position
   * and the first of them are missing, or if they are of a later era.
   */
  acceptBatch(
    from: number,
    records: readonly KeyedRecord[],
    asOf: Instant,
    era?: number,
  ): boolean {
    const next = from + records.length;
    return this.acceptChanges(from, records, next, asOf, era);
  }

  /**
   * Applies the changes between two positions: the newest record of each key
   * that changed. Returns false if this replica is before the first position, or
   * in an earlier era.
   */
  acceptChanges(
    from: number,
    records: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
    era?: number,
  ): boolean {
    const use = decideChangesUse(this, era, from);
    if (use === RecordsUse.ReadAnew) return false;
    if (use === RecordsUse.Ignore) return true;
    const known = this.next!;
    for (const record of listNewestByKey(records)) {
      if (record.offset >= known) this.applyNewer(record);
    }
    this.next = Math.max(known, next);
    this.updateAge(next, asOf, era);
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
    era?: number,
  ): KeyedRecord[] {
    const use = decideNewestUse(this, era, next);
    if (use === RecordsUse.Ignore) return [];
    const changes = [...this.listMissing(records, next), ...records];
    const applied =
      use === RecordsUse.Replace
        ? this.swapAll(changes)
        : changes.filter(record => this.applyNewer(record));
    this.era = era;
    this.next = next;
    this.updateAge(next, asOf, era);
    return applied;
  }

  /** Updates the age when the store was at this position. */
  updateAge(next: number, asOf: Instant, era?: number): void {
    if (era !== this.era) return;
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

  /** Describes how old the replica is, for the log. */
  describeAge(now: Instant): string {
    if (this.next === undefined) return 'there is no data yet';
    const ageMs = Math.round(now - this.asOf);
    if (!Number.isFinite(ageMs)) return 'the newest data is of unknown age';
    return `the newest data is ${ageMs} ms old`;
  }

  /** Lists the newest record of each key. */
  listNewest(): KeyedRecord[] {
    return [...this.newest.values()];
  }

  /** Lists removals of the keys that are held and not among these records. */
  private listMissing(
    records: readonly KeyedRecord[],
    offset: number,
  ): KeyedRecord[] {
    const keys = new Set(records.map(({key}) => key));
    const missing = [...this.newest.keys()].filter(key => !keys.has(key));
    return missing.map(key => ({key, value: undefined, offset}));
  }

  /** Drops all records of an older era and applies those of a new one. */
  private swapAll(changes: readonly KeyedRecord[]): KeyedRecord[] {
    this.newest.clear();
    for (const record of changes) {
      if (record.value !== undefined) this.newest.set(record.key, record);
      this.applyRecord(record, RecordOrigin.OlderCopy);
    }
    return [...changes];
  }

  /** Applies a record unless it is known; returns whether it was applied. */
  private applyNewer(record: KeyedRecord): boolean {
    const known = this.newest.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return false;
    if (record.value === undefined) this.newest.delete(record.key);
    else this.newest.set(record.key, record);
    this.applyRecord(record, RecordOrigin.Followed);
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
