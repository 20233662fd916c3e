import {
  canReplaceClaim,
  makeFencingToken,
  type OwnerClaim,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EraWatch} from '../following/era_watch.js';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {Store} from '../ports/index.js';

/**
 * Number of VMs, by rank, that are members of the group. The second one takes
 * over when the membership of the owner expires. Members that came and went with
 * each change of the owner would move the ownership with every change.
 */
const candidateCount = 2;
const joinIntervalMilliseconds = 600;
/** The store's minimum is 1 s; a slow store answers within 0.4 s. */
const ttlMilliseconds = 1500;
const failedJoinDelayMilliseconds = 1000;

/**
 * Decides by membership in a group of the store whether this VM owns the
 * orders.
 */
export class Ownership {
  private claim: OwnerClaim = {era: undefined, generation: 0};
  private isOwner = false;
  private isMember = false;
  private isJoining = false;
  private joinAt: Instant = 0;
  /** The store confirmed the membership at this time. */
  private confirmedAt: Instant = -Infinity;

  constructor(
    private readonly store: Store,
    private readonly vm: string,
    private readonly eras: EraWatch,
    private readonly writeEvent: WriteEvent,
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Returns the fencing token for orders; undefined if this VM is not the
   * owner.
   */
  findFencingToken(): number | undefined {
    if (!this.isOwner || this.eras.isPast(this.claim.era)) return undefined;
    return makeFencingToken(this.claim);
  }

  /**
   * Renews the membership of the owner and of the first VMs by rank; others
   * leave the group. The rank counts only VMs that the store serves; one that it
   * turns away (undefined) neither joins nor leaves.
   */
  poll(rank: number | undefined, hasOtherOwner: boolean): void {
    const now = this.getNow();
    if (this.isOwner && this.eras.isPast(this.claim.era)) {
      this.setOwner(false, 'the store came back from an older copy');
      this.joinAt = now;
    }
    const isExpired = now - this.confirmedAt > ttlMilliseconds;
    if (this.isOwner && isExpired && hasOtherOwner) {
      this.setOwner(
        false,
        'another VM took over while the store did not answer',
      );
    }
    if (this.isJoining || now < this.joinAt) return;
    if (!this.isOwner) {
      if (rank === undefined) return;
      if (rank >= candidateCount) {
        if (this.isMember) void this.release();
        return;
      }
    }
    this.isJoining = true;
    this.joinAt = now + joinIntervalMilliseconds;
    void this.join().finally(() => {
      this.isJoining = false;
    });
  }

  /**
   * Releases the ownership after an endpoint rejected this VM's fencing token.
   * The next answer of the store shows whether the VM is the owner with a newer
   * one.
   */
  handleFenced(): void {
    this.setOwner(false, 'an endpoint has orders of a newer owner');
    this.joinAt = 0;
  }

  /** Releases the ownership and leaves the group. */
  async release(): Promise<void> {
    this.joinAt = Infinity;
    this.setOwner(false, 'left the group');
    if (!this.isMember) return;
    this.isMember = false;
    this.metrics.count(Counter.StoreCalls);
    const left = await this.store.releaseOwnership(this.vm);
    if (left.isErr) this.metrics.count(Counter.StoreFailures);
    this.joinAt = this.getNow() + joinIntervalMilliseconds;
  }

  private async join(): Promise<void> {
    this.metrics.count(Counter.StoreCalls);
    const {vm, claim} = this;
    // A generation of an older era says nothing to the store.
    const generation = this.eras.isPast(claim.era) ? 0 : claim.generation;
    this.isMember = true;
    const view = await this.store.joinOwnerGroup(
      vm,
      generation,
      ttlMilliseconds,
    );
    if (view.isErr) {
      // An owner keeps the ownership during an outage of the store, since
      // endpoints reject the orders of an outdated owner.
      this.metrics.count(Counter.StoreFailures);
      this.joinAt = this.getNow() + failedJoinDelayMilliseconds;
      return;
    }
    const {era, isOwner} = view.value;
    this.eras.acceptAnswer(era);
    if (!canReplaceClaim(this.claim, view.value, this.eras.known)) return;
    this.confirmedAt = this.getNow();
    this.claim = {era, generation: view.value.generation};
    this.setOwner(isOwner, 'the store assigned it to another VM');
  }

  private setOwner(isOwner: boolean, reason: string): void {
    if (isOwner === this.isOwner) return;
    this.isOwner = isOwner;
    const {generation} = this.claim;
    if (isOwner) this.writeEvent(GatewayEvent.OwnershipGained, {generation});
    else this.writeEvent(GatewayEvent.OwnershipLost, {reason});
  }
}
