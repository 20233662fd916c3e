import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {StoreErrorCode, type KeyedRecord, type Store} from '../ports/index.js';
import type {TopicState} from './topic_state.js';

/** How a topic is read. */
export interface FollowOptions {
  /** The VM of rank 0 reads when its knowledge is this old. */
  readonly firstMilliseconds: number;
  /** Others read when their knowledge, fed by peers, is this old. */
  readonly othersMilliseconds: number;
  /** Added for each rank, so that one VM after the other steps in. */
  readonly stepMilliseconds: number;
  readonly maxMilliseconds: number;
  /** How long a read waits at the store for a record. */
  readonly waitMilliseconds: number;
}

/** Whoever hears of the records that this VM read. */
export type SendRecords = (
  from: number,
  records: readonly KeyedRecord[],
) => void;

const firstBackoffMilliseconds = 250;
const maxBackoffMilliseconds = 1500;

/** Computes the age of knowledge at which a VM reads the store itself. */
export function computePatience(rank: number, options: FollowOptions): number {
  if (rank === 0) return options.firstMilliseconds;
  const patience = options.othersMilliseconds + rank * options.stepMilliseconds;
  return Math.min(patience, options.maxMilliseconds);
}

/** Reads a topic from the store whenever peers do not keep it up to date. */
export class TopicFollower {
  private isReading = false;
  private backoff = 0;
  private waitUntil: Instant = 0;
  private failedSince: Instant | undefined;

  constructor(
    readonly state: TopicState,
    private readonly store: Store,
    private readonly options: FollowOptions,
    private readonly sendRecords: SendRecords,
    /** Called before news is taken. */
    private readonly handleNews: () => void,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /** Reads if the topic's knowledge is older than a VM of this rank bears. */
  poll(rank: number): void {
    const now = this.getNow();
    if (this.isReading || now < this.waitUntil) return;
    const age = now - this.state.asOf;
    if (age < computePatience(rank, this.options)) return;
    this.isReading = true;
    void this.read(rank).finally(() => {
      this.isReading = false;
    });
  }

  private async read(rank: number): Promise<void> {
    const {state, store} = this;
    const from = state.next;
    const askedAt = this.getNow();
    this.metrics.count(Counter.StoreCalls);
    if (from === undefined) {
      const newest = await store.readNewest(state.topic);
      if (newest.isErr) return this.handleFailure(newest.error);
      this.handleNews();
      state.acceptNewest(newest.value.records, newest.value.next, askedAt);
      return this.handleSuccess();
    }
    const wait = rank === 0 ? this.options.waitMilliseconds : 0;
    const batch = await store.readRecords(state.topic, from, wait);
    if (batch.isErr) return this.handleFailure(batch.error);
    const records = batch.value;
    // A read that waited was up to date when it was answered.
    const asOf = wait > 0 ? this.getNow() : askedAt;
    this.handleNews();
    state.acceptBatch(from, records, asOf);
    this.sendRecords(from, records);
    this.handleSuccess();
  }

  private handleSuccess(): void {
    this.backoff = 0;
    if (this.failedSince === undefined) return;
    this.failedSince = undefined;
    this.writeEvent(GatewayEvent.StoreRecovered, {topic: this.state.topic});
  }

  private handleFailure(error: {code: StoreErrorCode; message: string}): void {
    this.metrics.count(Counter.StoreFailures);
    if (error.code === StoreErrorCode.Expired) {
      // The history is deleted; the newest records are still there.
      this.state.next = undefined;
      return;
    }
    const now = this.getNow();
    this.backoff = Math.min(
      Math.max(firstBackoffMilliseconds, this.backoff * 2),
      maxBackoffMilliseconds,
    );
    this.waitUntil = now + this.backoff * (0.75 + Math.random() / 2);
    if (this.failedSince !== undefined) return;
    this.failedSince = now;
    this.writeEvent(GatewayEvent.StoreLost, {
      topic: this.state.topic,
      ageMs: Math.round(
        Math.min(now - this.state.asOf, Number.MAX_SAFE_INTEGER),
      ),
      detail: error.message,
    });
  }
}
