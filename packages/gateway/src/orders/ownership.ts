import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {Store} from '../ports/index.js';

/** VMs that offer to own the orders while none does; the others wait. */
const candidateCount = 2;
const joinIntervalMilliseconds = 600;
/** The store's least is 1 s; a slow store takes 0.4 s for an answer. */
const ttlMilliseconds = 1500;
const failedJoinDelayMilliseconds = 1000;

/** Whether this VM owns the orders to endpoints, by a group of the store. */
export class Ownership {
  private generation = 0;
  private isOwner = false;
  private isMember = false;
  private isJoining = false;
  private joinAt: Instant = 0;

  constructor(
    private readonly store: Store,
    private readonly vm: string,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /** The fencing token for orders; undefined while another VM owns them. */
  findFencingToken(): number | undefined {
    return this.isOwner ? this.generation : undefined;
  }

  /**
   * Stays in the group while this VM owns the orders. Others join only when no
   * peer owns them, since every change of the group may move the ownership.
   */
  poll(rank: number, hasOtherOwner: boolean): void {
    const now = this.getNow();
    if (this.isJoining || now < this.joinAt) return;
    if (!this.isOwner && (hasOtherOwner || rank >= candidateCount)) {
      if (this.isMember) void this.release();
      return;
    }
    this.isJoining = true;
    this.joinAt = now + joinIntervalMilliseconds;
    void this.join().finally(() => {
      this.isJoining = false;
    });
  }

  /**
   * Stands down after an endpoint refused this VM's token. The next answer of
   * the store tells whether the VM owns the orders under a newer one.
   */
  handleFenced(): void {
    this.setOwner(false, 'a newer owner gave orders');
    this.joinAt = 0;
  }

  /** Gives up the ownership on a planned stop. */
  async release(): Promise<void> {
    this.joinAt = Infinity;
    this.setOwner(false, 'left');
    if (!this.isMember) return;
    this.isMember = false;
    this.metrics.count(Counter.StoreCalls);
    const left = await this.store.releaseOwnership(this.vm);
    if (left.isErr) this.metrics.count(Counter.StoreFailures);
    this.joinAt = this.getNow() + joinIntervalMilliseconds;
  }

  private async join(): Promise<void> {
    this.metrics.count(Counter.StoreCalls);
    const {vm, generation} = this;
    this.isMember = true;
    const view = await this.store.joinOwnerGroup(
      vm,
      generation,
      ttlMilliseconds,
    );
    if (view.isErr) {
      // Endpoints fence a lost owner off, so an outage need not end orders.
      this.metrics.count(Counter.StoreFailures);
      this.joinAt = this.getNow() + failedJoinDelayMilliseconds;
      return;
    }
    if (view.value.generation < this.generation) return;
    this.generation = view.value.generation;
    this.setOwner(view.value.isOwner, 'another member holds the part');
  }

  private setOwner(isOwner: boolean, reason: string): void {
    if (isOwner === this.isOwner) return;
    this.isOwner = isOwner;
    const {generation} = this;
    if (isOwner) this.writeEvent(GatewayEvent.OwnershipGained, {generation});
    else this.writeEvent(GatewayEvent.OwnershipLost, {reason});
  }
}
