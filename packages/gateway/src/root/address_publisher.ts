import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {StoreEra} from '@zinniaspindle/decisions';
import type {EraWatch} from '../following/era_watch.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {PeerMesh} from '../peers/peer_mesh.js';
import {Topic, type Store} from '../ports/index.js';

/**
 * Peer addresses in the store, for a VM whose seeds are all lost. When VMs of the
 * first ranks are lost, others move up and publish theirs.
 */
const maxPublishedAddresses = 6;
/** Interval at which a VM that reaches no peer reads the addresses again. */
const lookupMilliseconds = 10_000;
/** VMs that publish anew after the store came back older spread over this. */
const spreadMilliseconds = 4000;

/**
 * Publishes the peer address of this VM in the store, once in each era. A VM that
 * reaches no peer connects to those listed there, for as long as it reaches none.
 */
export class AddressPublisher {
  private isCalling = false;
  private isPublished = false;
  /** Era in which the address was published. */
  private publishedEra: StoreEra;
  /** When to publish anew; undefined unless the store came back since. */
  private publishAt: Deadline | undefined;
  private nextLookupAt: Deadline = -Infinity;

  constructor(
    private readonly store: Store,
    private readonly eras: EraWatch,
    private readonly mesh: Pick<PeerMesh, 'countLive' | 'addAddress'>,
    private readonly metrics: Metrics,
    private readonly vm: string,
    private readonly address: string,
    private readonly getNow: () => Instant,
    private readonly random: () => number,
  ) {}

  /**
   * Publishes the address if it is due for a VM of this rank; else looks for peers
   * if this VM reaches none.
   */
  poll(rank: number): void {
    if (this.isCalling) return;
    if (this.isDue(rank)) this.run(() => this.publish());
    else if (this.isLookupDue()) this.run(() => this.openPublished());
  }

  private run(call: () => Promise<unknown>): void {
    this.isCalling = true;
    void call().finally(() => {
      this.isCalling = false;
    });
  }

  private isDue(rank: number): boolean {
    if (!this.isPublished) return rank < maxPublishedAddresses;
    if (!this.eras.isPast(this.publishedEra)) return false;
    const now = this.getNow();
    this.publishAt ??= now + this.random() * spreadMilliseconds;
    return isPast(this.publishAt, now);
  }

  private isLookupDue(): boolean {
    if (!this.isPublished || this.mesh.countLive() > 0) return false;
    return isPast(this.nextLookupAt, this.getNow());
  }

  private async publish(): Promise<void> {
    const {store, mesh, metrics, eras} = this;
    if (mesh.countLive() === 0 && !(await this.openPublished())) return;
    metrics.count(Counter.StoreCalls);
    const value = Buffer.from(this.vm);
    const known = eras.known;
    const added = await store.appendRecord(Topic.Vms, this.address, value);
    if (added.isErr) return metrics.count(Counter.StoreFailures);
    eras.acceptAnswer(added.value.era);
    this.isPublished = true;
    this.publishedEra = added.value.era ?? known;
    this.publishAt = undefined;
  }

  /** Opens links to the published addresses; returns whether they were read. */
  private async openPublished(): Promise<boolean> {
    const {store, mesh, metrics} = this;
    this.nextLookupAt = this.getNow() + lookupMilliseconds;
    metrics.count(Counter.StoreCalls);
    const newest = await store.readNewest(Topic.Vms);
    if (newest.isErr) {
      metrics.count(Counter.StoreFailures);
      return false;
    }
    for (const {key} of newest.value.records) mesh.addAddress(key);
    return true;
  }
}
