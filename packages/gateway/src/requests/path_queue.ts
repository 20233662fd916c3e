import {
  addWaiter,
  computeReservedShare,
  createWaitQueue,
  isExempt,
  getWaitEnd,
  maxLevels,
  predictWait,
  recordLate,
  recordPlaced,
  recordRefused,
  removeWaiter,
  type PickRequest,
  type RankDemand,
  type StagePath,
  type Waiter,
  type WaitQueue,
} from '@zinniaspindle/decisions';
import {isPast, type Instant} from '@zinniaspindle/shared';
import type {PathTable} from '../fleet/path_table.js';
import type {WaiterTable} from '../fleet/waiter_table.js';
import type {PartQuarantine} from '../quarantine/part_quarantine.js';
import type {ServiceModel} from '../ports/index.js';

/** A request that waits for a place on a path of a model. */
export interface PathWaiter extends Waiter, PickRequest {
  readonly model: ServiceModel;
  readonly request: string;
  /** Digests of the request and ids of the parts of its prompt. */
  readonly traits: readonly string[];
  /** Its level among the ranks of the configuration, 0 if there is one. */
  readonly level?: number | undefined;
  /** The path of the attempt that it keeps until it has a place elsewhere. */
  readonly left?: StagePath | undefined;
  /** The path whose answer another one is to confirm. */
  readonly answered?: StagePath | undefined;
  /**
   * Called once: with a path, on which the request must reserve its place before
   * it returns, or without one if none came free in time.
   */
  readonly resolve: (path: StagePath | undefined) => void;
}

/** Requests without a place after which the others of the queue are not tried. */
const maxFailures = 40;

/** Gives the places on paths to the requests that wait for them at this VM. */
export class PathQueue {
  private readonly queues = new Map<string, WaitQueue<PathWaiter>>();

  constructor(
    private readonly paths: PathTable,
    private readonly quarantine: Pick<PartQuarantine, 'find' | 'recordSent'>,
    private readonly getNow: () => Instant,
    /** The requests that wait in the fleet; undefined if ranks are of no account. */
    private readonly waiters?: WaiterTable,
  ) {}

  /**
   * Gives a request a place at once if those before it leave one, or queues it,
   * or refuses it if it would not be served in time, if all paths begin at
   * endpoints that are pausing, or if endpoints ended under such requests.
   */
  add(service: string, waiter: PathWaiter): void {
    const now = this.getNow();
    const queue = this.getQueue(service);
    if (this.isQuarantined(service, waiter)) return waiter.resolve(undefined);
    addWaiter(queue, waiter, now);
    if (isCounted(waiter)) this.waiters?.recordArrival(service, waiter);
    this.runQueue(service, queue);
    if (!queue.waiters.includes(waiter)) return;
    if (this.isPausing(service, waiter)) {
      return this.refuse(service, queue, waiter);
    }
    if (waiter.isResumed || this.canWait(service, queue, waiter)) return;
    if (this.isHeldBack(service, waiter)) return;
    this.refuseOrDefer(service, queue, waiter);
  }

  /** Tells whether a request is predicted to get a place while it may wait. */
  private canWait(
    service: string,
    queue: WaitQueue<PathWaiter>,
    waiter: PathWaiter,
  ): boolean {
    const now = this.getNow();
    const level = waiter.isLate === true ? maxLevels : (waiter.level ?? 0);
    const peers = this.waiters?.findPeerWaits(service, level);
    const wait = predictWait(queue, waiter, now, peers);
    return now + wait <= getWaitEnd(waiter);
  }

  /** Lets a request wait on behind all others if a place is predicted for it. */
  private refuseOrDefer(
    service: string,
    queue: WaitQueue<PathWaiter>,
    waiter: PathWaiter,
  ): void {
    const isDeferred =
      recordLate(queue, waiter, this.getNow()) &&
      this.paths.hasUsable(service, waiter.model);
    if (isDeferred && this.canWait(service, queue, waiter)) return;
    this.refuse(service, queue, waiter);
  }

  /** Removes a request whose caller has disconnected. */
  cancel(service: string, waiter: PathWaiter): void {
    const queue = this.getQueue(service);
    const isWaiting = queue.waiters.includes(waiter);
    removeWaiter(queue, waiter);
    if (isWaiting && isCounted(waiter)) {
      this.waiters?.recordLeft(service, waiter);
    }
  }

  /** Gives free places to the first requests, and refuses the expired ones. */
  run(): void {
    for (const [service, queue] of this.queues) {
      this.runQueue(service, queue);
      this.expireWaiters(service, queue);
    }
  }

  /**
   * Gives places in the order of the queue. A request that finds none is passed
   * by those behind it; large ones may use room that small ones may not.
   */
  private runQueue(service: string, queue: WaitQueue<PathWaiter>): void {
    if (queue.waiters.length === 0) return;
    let failures = 0;
    let movers = 0;
    const demands = this.waiters?.findFleet(service);
    for (const waiter of [...queue.waiters]) {
      // A path that streams leave may have room for the others.
      const isMover = waiter.left !== undefined;
      if (isMover && movers >= maxFailures) continue;
      // One that was placed may have ended the wait of another.
      if (!queue.waiters.includes(waiter)) continue;
      // After a stall of the process, its caller may have left unnoticed.
      if (isPast(getWaitEnd(waiter), this.getNow())) continue;
      if (this.takePlace(service, queue, waiter, demands)) continue;
      if (isMover) movers += 1;
      else failures += 1;
      if (failures >= maxFailures) return;
    }
  }

  private takePlace(
    service: string,
    queue: WaitQueue<PathWaiter>,
    waiter: PathWaiter,
    demands: readonly RankDemand[] | undefined,
  ): boolean {
    const {request, traits} = waiter;
    if (this.isQuarantined(service, waiter)) return false;
    const reserved = this.computeReserved(service, waiter, demands);
    const path = this.pick(service, waiter, reserved);
    if (path === undefined) return false;
    removeWaiter(queue, waiter);
    if (isCounted(waiter)) this.waiters?.recordPlaced(service, waiter);
    recordPlaced(queue, this.getNow());
    this.quarantine.recordSent(service, traits, request);
    waiter.resolve(path);
    return true;
  }

  private pick(
    service: string,
    waiter: PathWaiter,
    reservedShare: number,
  ): StagePath | undefined {
    const {model, left, answered} = waiter;
    const request = reservedShare > 0 ? {...waiter, reservedShare} : waiter;
    return this.paths.pick(service, model, request, left ?? answered);
  }

  /** Computes the share of the capacity that a request leaves free. */
  private computeReserved(
    service: string,
    waiter: PathWaiter,
    demands: readonly RankDemand[] | undefined,
  ): number {
    const {isResumed, level = 0, model} = waiter;
    if (demands === undefined || isResumed || level === 0) return 0;
    if (isExempt(waiter, this.getNow())) return 0;
    const slots = this.paths.countSlots(service, model);
    return computeReservedShare(level, demands, slots);
  }

  /**
   * Tells whether a request has no place only because of the room that it
   * leaves free, which it may use later on.
   */
  private isHeldBack(service: string, waiter: PathWaiter): boolean {
    const demands = this.waiters?.findFleet(service);
    const reserved = this.computeReserved(service, waiter, demands);
    return reserved > 0 && this.pick(service, waiter, 0) !== undefined;
  }

  /**
   * Tells whether a request must be refused because of pauses. A started stream
   * waits on: its caller cannot be told to return.
   */
  private isPausing(service: string, waiter: PathWaiter): boolean {
    if (waiter.isResumed) return false;
    return this.paths.findReturn(service, waiter.model) !== undefined;
  }

  private isQuarantined(service: string, {traits}: PathWaiter): boolean {
    return this.quarantine.find(service, traits) !== undefined;
  }

  private expireWaiters(service: string, queue: WaitQueue<PathWaiter>): void {
    const now = this.getNow();
    for (const waiter of [...queue.waiters]) {
      if (!queue.waiters.includes(waiter)) continue;
      const isUnserved =
        this.isPausing(service, waiter) || this.isQuarantined(service, waiter);
      if (isUnserved) this.refuse(service, queue, waiter);
      else if (isPast(getWaitEnd(waiter), now)) {
        this.refuseOrDefer(service, queue, waiter);
      }
    }
  }

  private refuse(
    service: string,
    queue: WaitQueue<PathWaiter>,
    waiter: PathWaiter,
  ): void {
    removeWaiter(queue, waiter);
    if (isCounted(waiter)) {
      recordRefused(queue, this.getNow());
      this.waiters?.recordRefused(service, waiter);
    }
    waiter.resolve(undefined);
  }

  private getQueue(service: string): WaitQueue<PathWaiter> {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = createWaitQueue();
      this.queues.set(service, queue);
    }
    return queue;
  }
}

/** Tells whether a request has no place yet; one that moves has one. */
function isCounted({left}: PathWaiter): boolean {
  return left === undefined;
}
