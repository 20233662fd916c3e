import {
  computeMaxAge,
  isReadDue,
  recordReadFailure,
  recordReadSuccess,
  type ReadSchedule,
  type StoreAccess,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {StoreErrorCode, type KeyedRecord, type Store} from '../ports/index.js';
import type {TopicState} from './topic_state.js';

/** Where a VM stands among the VMs that may read the store. */
export interface ReaderRanks {
  /** Place among the VMs that the store serves; undefined if it refused this VM. */
  readonly reader: number | undefined;
  /** Place among all live VMs. */
  readonly live: number;
}

/** Sends what this VM read from the store to its peers. */
export interface ReadListeners {
  /** The newest record of each key that changed between two positions. */
  readonly sendChanges: (
    from: number,
    changes: readonly KeyedRecord[],
    next: number,
  ) => void;
  /** The newest record of each key, read without a known position before. */
  readonly sendSnapshot: () => void;
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
    const sentAt = this.getNow();
    this.metrics.count(Counter.StoreCalls);
    if (from === undefined || this.isExpired) {
      const newest = await store.readNewest(state.topic);
      if (newest.isErr) return this.handleFailure(newest.error, liveRank);
      this.acceptNewest(from, newest.value.records, newest.value.next, sentAt);
      return;
    }
    const waitMilliseconds = isFirst ? this.schedule.waitMilliseconds : 0;
    const batch = await store.readRecords(state.topic, from, waitMilliseconds);
    if (batch.isErr) return this.handleFailure(batch.error, liveRank);
    const records = batch.value;
    // The store answers a waiting read with its state at the end of the wait.
    const asOf = waitMilliseconds > 0 ? this.getNow() : sentAt;
    this.listeners.handleUpdate();
    state.acceptBatch(from, records, asOf);
    this.listeners.sendChanges(from, records, from + records.length);
    this.handleSuccess(asOf);
  }

  private acceptNewest(
    from: number | undefined,
    records: readonly KeyedRecord[],
    next: number,
    asOf: Instant,
  ): void {
    this.isExpired = false;
    this.listeners.handleUpdate();
    const changes = this.state.acceptNewest(records, next, asOf);
    if (from === undefined) this.listeners.sendSnapshot();
    else this.listeners.sendChanges(from, changes, next);
    this.handleSuccess(asOf);
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
      newest: describeAge(this.state, ageMs),
      ...(Number.isFinite(ageMs) ? {ageMs} : {}),
      detail: error.message,
    });
  }
}

function describeAge({next}: TopicState, ageMilliseconds: number): string {
  if (next === undefined) return 'there is no data yet';
  if (!Number.isFinite(ageMilliseconds)) {
    return 'the newest data is of unknown age';
  }
  return `the newest data is ${ageMilliseconds} ms old`;
}
