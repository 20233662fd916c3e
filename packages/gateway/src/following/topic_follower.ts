import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {StoreErrorCode, type KeyedRecord, type Store} from '../ports/index.js';
import type {TopicState} from './topic_state.js';

/** Options of reading a topic. */
export interface FollowOptions {
  /** Age of its replica at which the VM of rank 0 reads the store. */
  readonly rankZeroMaxAgeMilliseconds: number;
  /**
   * Age at which other VMs, updated by peers, read the store; grows with rank.
   */
  readonly baseMaxAgeMilliseconds: number;
  /** Added for each rank, so that VMs take over one after the other. */
  readonly rankStepMilliseconds: number;
  /** Upper limit of the age for all ranks above 0. */
  readonly maxAgeMilliseconds: number;
  /**
   * How long the store waits for a record before it answers a read of the VM of
   * rank 0; it answers other reads at once.
   */
  readonly waitMilliseconds: number;
}

/** Sends the records that this VM read to its peers. */
export type SendRecords = (
  from: number,
  records: readonly KeyedRecord[],
) => void;

const initialBackoffMilliseconds = 250;
const maxBackoffMilliseconds = 1500;

/** Computes the age of its replica at which a VM reads the store itself. */
export function computeMaxAge(rank: number, options: FollowOptions): number {
  if (rank === 0) return options.rankZeroMaxAgeMilliseconds;
  const age =
    options.baseMaxAgeMilliseconds + rank * options.rankStepMilliseconds;
  return Math.min(age, options.maxAgeMilliseconds);
}

/** Reads a topic from the store while peers do not keep it up to date. */
export class TopicFollower {
  private isReading = false;
  private backoffMilliseconds = 0;
  private retryAt: Instant = 0;
  private failedSince: Instant | undefined;

  constructor(
    readonly state: TopicState,
    private readonly store: Store,
    private readonly options: FollowOptions,
    private readonly sendRecords: SendRecords,
    /** Called before an update from the store is applied. */
    private readonly handleUpdate: () => void,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /** Starts a read if the topic is older than the maximum age of this rank. */
  poll(rank: number): void {
    const now = this.getNow();
    if (this.isReading || now < this.retryAt) return;
    const age = now - this.state.asOf;
    if (age < computeMaxAge(rank, this.options)) return;
    this.isReading = true;
    void this.read(rank).finally(() => {
      this.isReading = false;
    });
  }

  private async read(rank: number): Promise<void> {
    const {state, store} = this;
    const from = state.next;
    const sentAt = this.getNow();
    this.metrics.count(Counter.StoreCalls);
    if (from === undefined) {
      const newest = await store.readNewest(state.topic);
      if (newest.isErr) return this.handleFailure(newest.error);
      this.handleUpdate();
      state.acceptNewest(newest.value.records, newest.value.next, sentAt);
      return this.handleSuccess();
    }
    const waitMilliseconds = rank === 0 ? this.options.waitMilliseconds : 0;
    const batch = await store.readRecords(state.topic, from, waitMilliseconds);
    if (batch.isErr) return this.handleFailure(batch.error);
    const records = batch.value;
    // The store answers a waiting read with its state at the end of the wait.
    const asOf = waitMilliseconds > 0 ? this.getNow() : sentAt;
    this.handleUpdate();
    state.acceptBatch(from, records, asOf);
    this.sendRecords(from, records);
    this.handleSuccess();
  }

  private handleSuccess(): void {
    this.backoffMilliseconds = 0;
    if (this.failedSince === undefined) return;
    this.failedSince = undefined;
    this.writeEvent(GatewayEvent.StoreRecovered, {topic: this.state.topic});
  }

  private handleFailure(error: {code: StoreErrorCode; message: string}): void {
    this.metrics.count(Counter.StoreFailures);
    if (error.code === StoreErrorCode.Expired) {
      // Records after the position are deleted, but the newest record of each
      // key is still there: the next read fetches those.
      this.state.next = undefined;
      return;
    }
    const now = this.getNow();
    this.backoffMilliseconds = Math.min(
      Math.max(initialBackoffMilliseconds, this.backoffMilliseconds * 2),
      maxBackoffMilliseconds,
    );
    this.retryAt = now + this.backoffMilliseconds * (0.75 + Math.random() / 2);
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
