import {
  computeAnswerTime,
  computeMaxAge,
  deriveAnswerEra,
  isReadDue,
  recordReadFailure,
  recordReadSuccess,
  type ReadSchedule,
  type StoreAccess,
  type StoreEra,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  StoreErrorCode,
  type KeyedRecord,
  type NewestRecords,
  type Store,
} from '../ports/index.js';
import type {EraWatch} from './era_watch.js';
import type {TopicState} from './topic_state.js';

/**
 * An answer that comes later than this after the wait of its read is logged; the
 * store usually answers in 4 ms.
 */
const lateAnswerMilliseconds = 250;

/** Where a VM stands among the VMs that may read the store. */
export interface ReaderRanks {
  /** Place among the VMs that the store serves; undefined if it refused this VM. */
  readonly reader: number | undefined;
  /** Place among all live VMs. */
  readonly live: number;
}

/** Sends what this VM read from the store to its peers. */
export interface ReadListeners {
  /**
   * The newest record of each key that changed between two positions, and up to
   * when this VM knows all records by them.
   */
  readonly sendChanges: (
    from: number,
    changes: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ) => void;
  /** The newest record of each key, read without a known position before. */
  readonly sendSnapshot: () => void;
  /** The newest record of each key, read after the store came back older. */
  readonly sendReplacement: () => void;
  /** Called before an update from the store is applied. */
  readonly handleUpdate: () => void;
}

/** Reads a topic from the store while peers do not keep it up to date. */
export class TopicFollower {
  private isReading = false;
  /** Whether the store deleted records after the position. */
  private isExpired = false;

  constructor(
    readonly state: TopicState,
    private readonly store: Store,
    private readonly schedule: ReadSchedule,
    /** Shared by all followers, so that only one of them tries a lost store. */
    private readonly access: StoreAccess,
    /** Shared by all that call the store. */
    private readonly eras: EraWatch,
    private readonly listeners: ReadListeners,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /** Tells whether the last read of any topic succeeded, or none was made yet. */
  canRead(): boolean {
    return this.access.failedSince === undefined;
  }

  /** Starts a read if the topic is older than the maximum age of this rank. */
  poll(ranks: ReaderRanks): void {
    if (this.isReading) return;
    const now = this.getNow();
    const rank = this.canRead() ? ranks.reader : undefined;
    const maxAge = computeMaxAge(rank, this.schedule);
    if (!isReadDue(this.access, now - this.state.asOf, maxAge, now)) return;
    this.isReading = true;
    void this.read(rank === 0, ranks.live).finally(() => {
      this.isReading = false;
    });
  }

  private async read(isFirst: boolean, liveRank: number): Promise<void> {
    const {state, store} = this;
    const from = state.next;
    const sentEra = state.era;
    const isVoid = this.isExpired || this.eras.isPast(sentEra);
    const sentAt = this.getNow();
    this.metrics.count(Counter.StoreCalls);
    if (from === undefined || isVoid) {
      const newest = await store.readNewest(state.topic);
      if (newest.isErr) return this.handleFailure(newest.error, liveRank);
      this.logLate(sentAt, 0);
      this.eras.acceptAnswer(newest.value.era);
      this.acceptNewest(from, newest.value, sentEra, sentAt);
      return;
    }
    const waitMilliseconds = isFirst ? this.schedule.waitMilliseconds : 0;
    const batch = await store.readRecords(state.topic, from, waitMilliseconds);
    if (batch.isErr) return this.handleFailure(batch.error, liveRank);
    this.logLate(sentAt, waitMilliseconds);
    const {records, end} = batch.value;
    const next = from + records.length;
    this.eras.acceptAnswer(batch.value.era);
    const answerTime = computeAnswerTime({
      ...{sentAt, waitMilliseconds, isEmpty: records.length === 0},
      arrivedAt: this.getNow(),
    });
    // Until the rest is read, nothing is known of the topic at that time.
    const asOf = next < end ? -Infinity : answerTime;
    const answer = deriveAnswerEra(state.era, sentEra, batch.value.era);
    // Offsets of an older era: the next read fetches all keys.
    if (answer.isOutdated || answer.era !== sentEra) return;
    this.listeners.handleUpdate();
    state.acceptBatch(from, records, asOf, answer.era);
    this.listeners.sendChanges(from, records, next, asOf);
    this.handleSuccess(asOf);
  }

  private logLate(sentAt: Instant, waitMs: number): void {
    const lateMs = Math.round(this.getNow() - sentAt - waitMs);
    if (lateMs < lateAnswerMilliseconds) return;
    const {topic} = this.state;
    this.writeEvent(GatewayEvent.ReadLate, {topic, lateMs, waitMs});
  }

  private acceptNewest(
    from: number | undefined,
    {records, next, era: seen}: NewestRecords,
    sentEra: StoreEra,
    asOf: Instant,
  ): void {
    const {state, listeners} = this;
    const {era, isOutdated} = deriveAnswerEra(state.era, sentEra, seen);
    if (isOutdated) return;
    this.isExpired = false;
    const isReplaced = from !== undefined && era !== state.era;
    listeners.handleUpdate();
    const changes = state.acceptNewest(records, next, asOf, era);
    if (from === undefined) listeners.sendSnapshot();
    else if (isReplaced) this.handleReplaced(changes, records.length);
    else listeners.sendChanges(from, changes, next, asOf);
    this.handleSuccess(asOf);
  }

  private handleReplaced(changes: readonly KeyedRecord[], keys: number): void {
    const {topic, next, era} = this.state;
    const missing = changes.length - keys;
    const fields = {topic, next: next!, era: era ?? 'unknown', keys, missing};
    this.writeEvent(GatewayEvent.TopicReplaced, fields);
    this.listeners.sendReplacement();
  }

  private handleSuccess(asOf: Instant): void {
    this.state.readAsOf = Math.max(this.state.readAsOf, asOf);
    const wasFailing = !this.canRead();
    recordReadSuccess(this.access);
    if (!wasFailing) return;
    this.writeEvent(GatewayEvent.StoreRecovered, {topic: this.state.topic});
  }

  private handleFailure(
    error: {code: StoreErrorCode; message: string},
    liveRank: number,
  ): void {
    this.metrics.count(Counter.StoreFailures);
    if (error.code === StoreErrorCode.Expired) {
      // Records after the position are deleted, but the newest record of each
      // key is still there: the next read fetches those.
      this.isExpired = true;
      return;
    }
    const now = this.getNow();
    const isFirstFailure = this.canRead();
    recordReadFailure(this.access, liveRank, now, Math.random);
    if (!isFirstFailure) return;
    const {topic, asOf} = this.state;
    const ageMs = Math.round(now - asOf);
    this.writeEvent(GatewayEvent.StoreLost, {
      topic,
      newest: this.state.describeAge(now),
      ...(Number.isFinite(ageMs) ? {ageMs} : {}),
      detail: error.message,
    });
  }
}
