import {
  computeOverlap,
  GatewayEvent,
  isPast,
  type Deadline,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {
  isConfirmedAlive,
  type PlannedEndpoint,
  type StageEndpoint,
} from '@zinniaspindle/decisions';
import type {WriteEvent} from '../log/event_log.js';
import type {
  EndpointEntry,
  EndpointNotice,
  ServiceModel,
} from '../ports/index.js';
import {
  applyProgress,
  computeServedLayers,
  createEndpointState,
  formatHeld,
  getIncarnation,
  isSameRange,
  isStale,
  pendingOrderMilliseconds,
  type EndpointFacts,
  type EndpointState,
} from './endpoint_state.js';
import type {AskedEndpoint} from './asked_endpoint.js';
import {DepartedEndpoints} from './departed_endpoints.js';
import {StageFinder} from './stage_finder.js';
import {OrderHistory} from './order_history.js';
import {LimitTable} from './limit_table.js';
import {NoticeTable, type Incarnation} from './notice_table.js';

/** Endpoints update their entries every 1.2 s; store outages delay them further. */
const listLagMilliseconds = 5000;

/** The endpoints that this VM knows, by id. */
export class EndpointTable {
  private readonly states = new Map<string, EndpointState>();
  /** The orders that VMs have sent, or were about to send. */
  readonly orders = new OrderHistory();
  private readonly notices: NoticeTable;
  private readonly stages: StageFinder;
  private readonly departed: DepartedEndpoints;
  /** Incremented by every change that affects which paths are usable. */
  revision = 0;

  constructor(
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    /** Tells the peers that an endpoint leaves. */
    private readonly sendLeaving: (leaving: Incarnation) => void = () =>
      undefined,
    /** The limits that endpoints have stated. */
    readonly limits = new LimitTable(writeEvent, getNow),
  ) {
    this.notices = new NoticeTable(writeEvent, getNow);
    this.stages = new StageFinder(writeEvent, getNow);
    this.departed = new DepartedEndpoints(getNow);
  }

  /** Finds an endpoint by its id. */
  find(id: string): EndpointState | undefined {
    return this.states.get(id);
  }

  /** Lists the endpoints of a service or of all, including draining ones. */
  list(service?: string): EndpointState[] {
    const found: EndpointState[] = [];
    for (const state of this.states.values()) {
      const isWanted = service === undefined || state.entry.service === service;
      if (isWanted) found.push(state);
    }
    return found;
  }

  /** Counts all endpoints. */
  count(): number {
    return this.states.size;
  }

  /** Applies the entry that an endpoint wrote to the store. */
  applyEntry(entry: EndpointEntry): void {
    const now = this.getNow();
    const state = this.states.get(entry.id);
    if (state === undefined) {
      this.states.set(entry.id, createEndpointState(entry));
      this.departed.remove(entry.id);
      this.revision += 1;
      const {id: endpoint, service, address} = entry;
      this.writeEvent(GatewayEvent.EndpointAdded, {endpoint, service, address});
      return;
    }
    const was = state.entry;
    state.entry = entry;
    const hasMoved = entry.address !== was.address;
    state.addressBornAt = hasMoved
      ? entry.bornAt
      : Math.max(state.addressBornAt, entry.bornAt);
    state.removeAt = undefined;
    if (entry.isDraining && !was.isDraining) {
      this.writeEvent(GatewayEvent.EndpointDraining, {endpoint: entry.id});
    }
    if (entry.isDraining !== was.isDraining || hasMoved) {
      this.revision += 1;
    }
    const isLagging =
      entry.bornAt === state.bornAt &&
      now - Math.max(state.reportedAt, state.orderedAt) < listLagMilliseconds;
    if (isLagging) return;
    const {id, bornAt, held} = entry;
    // An entry does not contain the number of orders accepted.
    const orderCount = bornAt > state.bornAt ? 0 : state.orderCount;
    this.applyFacts({id, bornAt, held, orderCount});
  }

  /** Removes an endpoint now, or at a later instant while the store recovers. */
  removeEntry(id: string, at: Instant): void {
    const state = this.states.get(id);
    if (state === undefined) return;
    if (at > this.getNow()) {
      state.removeAt ??= at;
      return;
    }
    this.states.delete(id);
    this.departed.add(state);
    this.revision += 1;
    this.writeEvent(GatewayEvent.EndpointRemoved, {endpoint: id});
  }

  /** Removes an endpoint that has ended, since its address now belongs to another one. */
  removeReplaced(id: string): void {
    this.removeEntry(id, this.getNow());
    this.departed.remove(id);
  }

  /** Tells whether what is known of an endpoint is still that to which a call was sent. */
  isAsAsked({id, address, bornAt}: AskedEndpoint): boolean {
    const state = this.states.get(id);
    return state?.entry.address === address && state.bornAt === bornAt;
  }

  /** Removes the endpoints whose deferred removal is due. */
  expireRemovals(): void {
    const now = this.getNow();
    for (const [id, {removeAt}] of this.states) {
      if (removeAt !== undefined && isPast(removeAt, now)) {
        this.removeEntry(id, now);
      }
    }
    this.notices.expire(id => this.states.has(id));
    this.limits.expire(id => this.states.has(id));
  }

  /**
   * Applies what an endpoint stated about itself in an answer to this VM.
   * @param incarnation the one that answered, as far as known
   * @param notice what it stated
   * @param source what it answered, for the log
   */
  acceptNotice(
    incarnation: Incarnation,
    notice: EndpointNotice,
    source: string,
  ): void {
    const {isLeaving, pauseMilliseconds, requestsPerSecond} = notice;
    if (isLeaving && this.recordLeaving(incarnation, source)) {
      this.sendLeaving(incarnation);
    }
    this.limits.record(incarnation, requestsPerSecond, source);
    if (pauseMilliseconds === undefined) return;
    if (this.notices.recordPause(incarnation, pauseMilliseconds, source)) {
      this.revision += 1;
    }
  }

  /** Finds until when an endpoint wants no requests; undefined if it takes them. */
  findPauseEnd(state: EndpointState): Deadline | undefined {
    return this.notices.findPauseEnd(getIncarnation(state));
  }

  /**
   * Finds when the first endpoint of a service takes requests again; undefined
   * unless all that could serve them are pausing or have got their limit.
   */
  findReturn(service: string): Deadline | undefined {
    let earliest: Deadline | undefined;
    for (const state of this.list(service)) {
      if (this.isDraining(state)) continue;
      const until = this.findTakeTime(state);
      if (until === undefined) return undefined;
      earliest = Math.min(earliest ?? Infinity, until);
    }
    return earliest;
  }

  /** Finds when an endpoint that takes no request now does so again. */
  private findTakeTime(state: EndpointState): Deadline | undefined {
    const endpoint = getIncarnation(state);
    const pauseEnd = this.findPauseEnd(state);
    if (this.limits.hasCredit(endpoint)) return pauseEnd;
    const credit = this.limits.findNextCredit(endpoint) ?? -Infinity;
    return Math.max(pauseEnd ?? -Infinity, credit);
  }

  /**
   * Records that an endpoint has stated, here or to a peer, that it leaves;
   * returns whether that is news.
   */
  recordLeaving(incarnation: Incarnation, source: string): boolean {
    if (!this.notices.recordLeaving(incarnation, source)) return false;
    this.revision += 1;
    return true;
  }

  /** Lists the endpoints that have stated that they leave. */
  listLeavingNotices(): Incarnation[] {
    return this.notices.listLeaving();
  }

  /**
   * Tells whether an endpoint leaves, by its entry or by what it stated; it gets
   * no new requests. An entry does not take a statement back.
   */
  isDraining(state: EndpointState): boolean {
    if (state.entry.isDraining) return true;
    return this.notices.isLeaving(getIncarnation(state));
  }

  /**
   * Applies what an endpoint reported to this VM or a peer. Returns whether its
   * layers changed or it restarted.
   */
  applyReport(facts: EndpointFacts): boolean {
    const state = this.states.get(facts.id);
    if (state === undefined) return false;
    state.reportedAt = this.getNow();
    const isRestart = facts.bornAt > state.bornAt;
    if (!isRestart && isStale(state, facts, this.getNow())) return false;
    state.countedFor = facts.bornAt;
    return this.applyFacts(facts);
  }

  /** Lists the known state of all endpoints that have accepted an order. */
  listFacts(): EndpointFacts[] {
    const facts: EndpointFacts[] = [];
    for (const [id, {bornAt, orderCount, held}] of this.states) {
      if (orderCount > 0) facts.push({id, bornAt, orderCount, held});
    }
    return facts;
  }

  /** Records an order that an endpoint has started. */
  applyOrder(
    id: string,
    bornAt: Instant,
    range: LayerRange,
    orderCount: number,
  ): void {
    const state = this.states.get(id);
    if (state === undefined || state.bornAt > bornAt) return;
    if (orderCount > state.orderCount || state.bornAt < bornAt) {
      state.bornAt = bornAt;
      state.orderCount = orderCount;
      state.countedFor = bornAt;
      // Layers outside the ordered range are dropped at once; new ones still load.
      if (state.held !== undefined) {
        state.held = computeOverlap(state.held, range);
      }
    }
    state.orderedAt = this.getNow();
    const until = this.getNow() + pendingOrderMilliseconds;
    state.pending = {range, bornAt, until};
    this.revision += 1;
  }

  /** Withholds new requests from an endpoint until an instant. */
  recordSuspicion(state: EndpointState, until: Instant, reason: string): void {
    const now = this.getNow();
    if (isPast(state.suspectUntil, now)) {
      this.revision += 1;
      const endpoint = state.entry.id;
      this.writeEvent(GatewayEvent.EndpointSuspected, {endpoint, reason});
    }
    state.suspectUntil = Math.max(state.suspectUntil, until);
  }

  /** Records that a peer reaches a suspected endpoint. */
  recordRefutation(id: string, bornAt: Instant, vm: string): void {
    const state = this.states.get(id);
    if (state === undefined || state.bornAt !== bornAt) return;
    const now = this.getNow();
    const wasUp = isConfirmedAlive(state.health, now);
    state.health.refutations.set(vm, now);
    if (wasUp || !isConfirmedAlive(state.health, now)) return;
    this.revision += 1;
    const peers = [...state.health.refutations.keys()].join(' ');
    this.writeEvent(GatewayEvent.EndpointUnreached, {endpoint: id, peers});
  }

  /** Allows new requests to an endpoint again. */
  removeSuspicion(state: EndpointState): void {
    state.health.failedProbes = 0;
    if (isPast(state.suspectUntil, this.getNow())) return;
    state.suspectUntil = 0;
    this.revision += 1;
    const endpoint = state.entry.id;
    this.writeEvent(GatewayEvent.EndpointRecovered, {endpoint});
  }

  /** Tells whether a suspicion, or its refutation, will expire. */
  hasSuspects(): boolean {
    const now = this.getNow();
    for (const {suspectUntil, health} of this.states.values()) {
      if (!isPast(suspectUntil, now) || health.failedProbes > 0) return true;
    }
    return false;
  }

  /** Tells whether an endpoint accepts new requests from this VM. */
  isUsable(state: EndpointState): boolean {
    if (this.isDraining(state)) return false;
    return isPast(state.suspectUntil, this.getNow());
  }

  /** Tells whether paths may pass through an endpoint that this VM does not reach. */
  private isUsableMidPath(state: EndpointState): boolean {
    if (this.isDraining(state)) return false;
    return isConfirmedAlive(state.health, this.getNow());
  }

  /** Lists the endpoints of a model that new paths may use. */
  listStages(service: string, model: ServiceModel): StageEndpoint[] {
    const stages: StageEndpoint[] = [];
    for (const state of this.list(service)) {
      const isReachable = this.isUsable(state);
      if (!isReachable && !this.isUsableMidPath(state)) continue;
      const held = computeServedLayers(state, this.findPending(state));
      const stage = this.stages.find(state, model, held);
      if (stage === undefined) continue;
      const isPausing = this.findPauseEnd(state) !== undefined;
      stages.push({...stage, isReachable, isPausing});
    }
    return stages;
  }

  /**
   * Records what a report says of the order in progress. One that the endpoint
   * has counted, and is no longer busy with, is over, whether or not it did what
   * was asked.
   */
  recordProgress(
    state: EndpointState,
    isBusy: boolean,
    orderCount: number,
  ): void {
    const isOver = applyProgress(state, isBusy, orderCount, this.getNow());
    if (isOver) this.revision += 1;
  }

  /** Tells whether an endpoint is executing an order, as far as known. */
  isBusy(state: EndpointState): boolean {
    if (this.findPending(state) !== undefined) return true;
    return !isPast(state.busyUntil, this.getNow());
  }

  /** Lists the endpoints of a model, each with the layers it holds or was ordered to hold. */
  listOrdered(
    service: string,
    model: ServiceModel,
    canHold: (state: EndpointState) => boolean,
  ): PlannedEndpoint[] {
    const stages: PlannedEndpoint[] = [];
    for (const state of this.list(service)) {
      if (this.isDraining(state) || !canHold(state)) continue;
      const held = this.findPending(state)?.range ?? state.held;
      const stage = this.stages.find(state, model, held);
      const isLoading = this.isBusy(state);
      if (stage !== undefined) stages.push({...stage, isLoading});
    }
    return stages;
  }

  /**
   * Lists the endpoints of a model that leave and still serve their streams, with
   * the layers they hold.
   */
  listLeaving(service: string, model: ServiceModel): StageEndpoint[] {
    const draining = this.list(service).filter(state => this.isDraining(state));
    const stages: StageEndpoint[] = [];
    for (const state of [...draining, ...this.departed.list(service)]) {
      const stage = this.stages.find(state, model, state.held);
      if (stage !== undefined) stages.push(stage);
    }
    return stages;
  }

  /** Finds the order that an endpoint is presumably still executing. */
  findPending(state: EndpointState): EndpointState['pending'] {
    const {pending} = state;
    if (pending === undefined || pending.bornAt !== state.bornAt) {
      return undefined;
    }
    return isPast(pending.until, this.getNow()) ? undefined : pending;
  }

  private applyFacts(facts: EndpointFacts): boolean {
    const state = this.states.get(facts.id)!;
    if (facts.bornAt < state.bornAt) return false;
    const isRestart = facts.bornAt > state.bornAt;
    const isSame = isSameRange(state.held, facts.held);
    state.bornAt = facts.bornAt;
    state.orderCount = facts.orderCount;
    state.held = facts.held;
    if (isRestart) state.pending = undefined;
    if (isSameRange(state.pending?.range, facts.held)) {
      state.pending = undefined;
    }
    if (isSame && !isRestart) return false;
    this.revision += 1;
    this.writeEvent(GatewayEvent.EndpointLayersChanged, {
      endpoint: facts.id,
      layers: formatHeld(facts.held),
      orderCount: facts.orderCount,
    });
    return true;
  }
}
