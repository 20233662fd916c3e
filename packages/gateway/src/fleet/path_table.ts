import {
  canCross,
  computeProbePause,
  countAvailableCrossings,
  createCrossingBudget,
  createPathWatch,
  defaultStallOptions,
  findPaths,
  isTimedOut,
  pickPath,
  pickSpreadPath,
  takeCrossings,
  type CrossingBudget,
  type PathWatch,
  type PickRequest,
  type StageEndpoint,
  type StagePath,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  hasAllLayers,
  isPast,
  type Deadline,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import type {ServiceModel} from '../ports/index.js';
import {getIncarnation} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';
import type {Incarnation} from './notice_table.js';
import type {LoadTracker} from './load_tracker.js';
import {PathPacing} from './path_pacing.js';

/** A stream on a path, notified when the path stalls. */
export interface PathStream {
  /** Called when the stream must move to another path. */
  handleStall(): void;
  /** Whether the stream is paused by backpressure from its caller. */
  isPaused(): boolean;
}

/** A request's slot on a path until it is released. */
export interface PathReservation {
  readonly path: StagePath;
  readonly tokens: number;
  hasStarted: boolean;
  /** When its last events arrived; undefined without a gap to be measured. */
  eventAt?: Instant | undefined;
}

interface WatchedPath {
  readonly path: StagePath;
  readonly watch: PathWatch;
  readonly streams: Map<PathReservation, PathStream>;
}

interface CachedPaths {
  readonly revision: number;
  readonly model: ServiceModel;
  readonly until: Instant;
  readonly paths: readonly StagePath[];
  /** Slots of all paths; those that begin at one endpoint share its slots. */
  readonly slots: number;
  /**
   * When the first endpoint returns from its pause with which there is a path;
   * undefined while there are paths, and if pauses are not why there are none.
   */
  readonly returnAt: Deadline | undefined;
}

/** Pausing endpoints at which paths could begin, with the ends of their pauses. */
interface PausedStart {
  readonly id: string;
  readonly until: Deadline;
}

/**
 * Suspicions expire without a new revision. While there are some, cached paths
 * expire as well.
 */
const cacheMilliseconds = 500;

/** A later check cannot tell the silence of a path from that of the process. */
const maxCheckGapMilliseconds = defaultStallOptions.multiStreamMilliseconds;

/** What a VM's share of the fleet's work depends on. */
export interface FleetPlace {
  /** Number of live VMs. */
  readonly vms: number;
  /** Place of this VM among them, 0 for the first. */
  readonly rank: number;
}

const soleVm: FleetPlace = {vms: 1, rank: 0};

/** Picks paths for requests and detects stalled paths. */
export class PathTable {
  private readonly cache = new Map<string, CachedPaths>();
  private readonly watched = new Map<string, WatchedPath>();
  private readonly crossingBudget: CrossingBudget;
  private readonly pacing: PathPacing;
  /** When the stalled paths were last listed. */
  private checkedAt: Instant;

  constructor(
    private readonly endpoints: EndpointTable,
    private readonly dataCentre: string,
    private readonly loads: LoadTracker,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    private readonly getFleet: () => FleetPlace = () => soleVm,
    /** Called when a path begins to run far slower than predicted. */
    handleSlow: () => void = () => undefined,
  ) {
    this.crossingBudget = createCrossingBudget(getNow());
    this.checkedAt = getNow();
    this.pacing = new PathPacing(
      endpoints,
      loads,
      writeEvent,
      getNow,
      ({key}) => (this.watched.get(key)?.streams.size ?? 0) > 0,
      handleSlow,
    );
  }

  /** Lists the paths of a service's model in all data centres. */
  list(service: string, model: ServiceModel): readonly StagePath[] {
    return this.findAll(service, model).paths;
  }

  /** Counts the slots of all paths. */
  countSlots(service: string, model: ServiceModel): number {
    return this.findAll(service, model).slots;
  }

  /**
   * Finds when a path accepts requests again; undefined unless there is none
   * only because the endpoints at which paths begin are pausing.
   */
  findReturn(service: string, model: ServiceModel): Deadline | undefined {
    return this.findAll(service, model).returnAt;
  }

  private findAll(service: string, model: ServiceModel): CachedPaths {
    const now = this.getNow();
    const cached = this.cache.get(service);
    const isFresh =
      cached !== undefined &&
      cached.revision === this.endpoints.revision &&
      cached.model === model &&
      !isPast(cached.until, now);
    if (isFresh) return cached;
    const stages = this.endpoints.listStages(service, model);
    const paths = findPaths(stages, model.shape);
    for (const path of paths) {
      this.loads.addPath(path);
      this.pacing.addPath(path, model.figures);
    }
    const pausing = this.listPausedStarts(stages);
    const found: CachedPaths = {
      revision: this.endpoints.revision,
      model,
      until: Math.min(
        this.endpoints.hasSuspects() ? now + cacheMilliseconds : Infinity,
        pausing[0]?.until ?? Infinity,
      ),
      paths,
      slots: countSlots(paths),
      returnAt:
        paths.length > 0 ? undefined : findReturn(pausing, stages, model),
    };
    this.cache.set(service, found);
    const keys = paths.map(({key}) => key).join(' | ');
    if (cached?.paths.map(({key}) => key).join(' | ') !== keys) {
      this.writeEvent(GatewayEvent.PathsChanged, {
        service,
        count: paths.length,
        paths: keys,
      });
    }
    return found;
  }

  /** Lists them by the ends of their pauses. */
  private listPausedStarts(stages: readonly StageEndpoint[]): PausedStart[] {
    const starts: PausedStart[] = [];
    for (const {id, held, isReachable, isPausing} of stages) {
      if (held?.first !== 0 || !isReachable || isPausing !== true) continue;
      const until = this.endpoints.findPauseEnd(this.endpoints.find(id)!);
      if (until !== undefined) starts.push({id, until});
    }
    return starts.sort((a, b) => a.until - b.until);
  }

  /**
   * Picks a path for a request, other than the one that it leaves; undefined
   * when none can take it.
   */
  pick(
    service: string,
    model: ServiceModel,
    request: PickRequest,
    left?: StagePath,
  ): StagePath | undefined {
    const usable = this.listUsable(service, model).filter(path =>
      this.hasCredit(path),
    );
    const pick = left === undefined ? pickPath : pickSpreadPath;
    return pick(
      left === undefined ? usable : usable.filter(({key}) => key !== left.key),
      {usualTokens: computeUsualTokens(model), ...request},
      {
        getLoad: id => this.loads.computeLoad(id),
        dataCentre: this.dataCentre,
        random: Math.random,
        getSlowness: path => this.pacing.getSlowness(path),
        figures: model.figures,
      },
    );
  }

  /** Tells whether the endpoint at which a path begins takes a request now. */
  private hasCredit(path: StagePath): boolean {
    const first = this.findFirst(path);
    return first === undefined || this.endpoints.limits.hasCredit(first);
  }

  private findFirst(path: StagePath): Incarnation | undefined {
    const {id} = path.parts[0]!.endpoint;
    const state = this.endpoints.find(id);
    return state && getIncarnation(state);
  }

  private countAvailableCrossings({shape}: ServiceModel): number {
    const {crossingsPerSecond} = shape;
    if (crossingsPerSecond === undefined) return Infinity;
    return countAvailableCrossings(
      this.crossingBudget,
      {crossingsPerSecond, ...this.getFleet()},
      this.getNow(),
    );
  }

  /** Tells whether any path accepts requests, including full ones. */
  hasUsable(service: string, model: ServiceModel): boolean {
    return this.listUsable(service, model).length > 0;
  }

  /** Reserves a slot on a path for a request. */
  reserve(
    path: StagePath,
    tokens: number,
    stream: PathStream,
  ): PathReservation {
    const reservation: PathReservation = {path, tokens, hasStarted: false};
    const watched = this.getWatched(path);
    const {watch} = watched;
    if (watched.streams.size === 0) watch.progressAt = this.getNow();
    watch.waiting += 1;
    watched.streams.set(reservation, stream);
    takeCrossings(this.crossingBudget, path.crossings);
    const first = this.findFirst(path);
    if (first !== undefined) this.endpoints.limits.takeCredit(first);
    this.loads.addOwn(path, 1, tokens);
    this.pacing.recordReserved(path);
    return reservation;
  }

  /** Records that a stream delivered some events. */
  recordProgress(reservation: PathReservation, events = 1): void {
    const {path, eventAt} = reservation;
    const {watch} = this.getWatched(path);
    const now = this.getNow();
    watch.progressAt = now;
    if (eventAt !== undefined) this.pacing.recordEvents(path, eventAt, events);
    reservation.eventAt = now;
    if (reservation.hasStarted) return;
    reservation.hasStarted = true;
    watch.waiting -= 1;
    watch.started += 1;
  }

  /** Releases a request's slot; repeated calls have no effect. */
  release(reservation: PathReservation): void {
    const watched = this.getWatched(reservation.path);
    if (!watched.streams.delete(reservation)) return;
    if (reservation.hasStarted) watched.watch.started -= 1;
    else watched.watch.waiting -= 1;
    this.loads.addOwn(reservation.path, -1, -reservation.tokens);
  }

  /** Restarts the silence timeouts of all paths, for use after a pause of the process. */
  resumeWatches(): void {
    const now = this.getNow();
    for (const {watch} of this.watched.values()) watch.progressAt = now;
    this.pacing.dropOpenGaps();
  }

  /**
   * Lists the stalled paths, whose endpoints should be probed. Called at short
   * intervals; the rest of a longer one does not count as their silence.
   */
  listStalled(): StagePath[] {
    const now = this.getNow();
    const sinceCheck = now - this.checkedAt;
    const late = sinceCheck - maxCheckGapMilliseconds;
    this.checkedAt = now;
    if (late > 0) this.addPause(late);
    this.pacing.expire();
    const stalled: StagePath[] = [];
    for (const [key, {watch, path, streams}] of this.watched) {
      if (streams.size === 0) {
        if (isPast(watch.avoidUntil, now)) this.watched.delete(key);
        continue;
      }
      if (hasOnlyPaused(streams.values())) watch.progressAt = now;
      if (!this.pacing.isStalled(path, watch, sinceCheck)) continue;
      watch.checkedAt = now;
      stalled.push(path);
    }
    return stalled;
  }

  /** Suspends probes of a path whose endpoints have all answered. */
  recordAnswers(path: StagePath, vms: number): void {
    const until = this.getNow() + computeProbePause(vms);
    this.getWatched(path).watch.noProbeUntil = until;
  }

  /** Tells whether a path has been silent for so long that its streams must move. */
  isTimedOut(path: StagePath): boolean {
    return isTimedOut(this.getWatched(path).watch, this.getNow());
  }

  /** Moves all streams away from paths through an endpoint. */
  dropStreamsThrough(id: string): void {
    for (const {path, streams} of [...this.watched.values()]) {
      if (streams.size === 0) continue;
      const usesEndpoint = path.parts.some(({endpoint}) => endpoint.id === id);
      if (usesEndpoint) this.closePath(path);
    }
  }

  /** Moves all streams away from paths that need layers outside an endpoint's new range. */
  dropStreamsOutside(id: string, range: LayerRange): void {
    for (const {path, streams} of [...this.watched.values()]) {
      if (streams.size === 0) continue;
      const part = path.parts.find(({endpoint}) => endpoint.id === id);
      if (part === undefined || hasAllLayers(range, part.layers)) continue;
      this.closePath(path);
    }
  }

  /** Moves all streams away from a silent path and avoids it for a while. */
  dropStreams(path: StagePath): void {
    const isLate = this.getNow() - this.checkedAt > maxCheckGapMilliseconds;
    if (!isLate) this.closePath(path);
  }

  private addPause(milliseconds: number): void {
    const now = this.getNow();
    for (const {watch} of this.watched.values()) {
      watch.progressAt = Math.min(now, watch.progressAt + milliseconds);
    }
    this.pacing.dropOpenGaps();
  }

  private closePath(path: StagePath): void {
    const now = this.getNow();
    const {watch, streams} = this.getWatched(path);
    this.writeEvent(GatewayEvent.PathStalled, {
      path: path.key,
      silentMs: Math.round(now - watch.progressAt),
      streams: streams.size,
    });
    watch.avoidUntil = now + defaultStallOptions.avoidMilliseconds;
    watch.progressAt = now;
    for (const stream of [...streams.values()]) stream.handleStall();
  }

  private listUsable(service: string, model: ServiceModel): StagePath[] {
    const now = this.getNow();
    const available = this.countAvailableCrossings(model);
    return this.list(service, model).filter(({key, crossings}) => {
      if (!canCross(crossings, available)) return false;
      const watched = this.watched.get(key);
      return watched === undefined || isPast(watched.watch.avoidUntil, now);
    });
  }

  private getWatched(path: StagePath): WatchedPath {
    let watched = this.watched.get(path.key);
    if (watched === undefined) {
      watched = {path, watch: createPathWatch(), streams: new Map()};
      this.watched.set(path.key, watched);
    }
    return watched;
  }
}

/** Finds the end of the first pause after which there is a path. */
function findReturn(
  pausing: readonly PausedStart[],
  stages: readonly StageEndpoint[],
  model: ServiceModel,
): Deadline | undefined {
  for (const {id, until} of pausing) {
    const after = stages.map(stage =>
      stage.id === id ? {...stage, isPausing: false} : stage,
    );
    if (findPaths(after, model.shape).length > 0) return until;
  }
  return undefined;
}

function countSlots(paths: readonly StagePath[]): number {
  const slots = new Map<string, number>();
  for (const path of paths) slots.set(path.parts[0]!.endpoint.id, path.slots);
  let sum = 0;
  for (const count of slots.values()) sum += count;
  return sum;
}

function computeUsualTokens(model: ServiceModel): number {
  const {meanPromptTokens, meanAnswerTokens} = model;
  if (meanPromptTokens === undefined) return Infinity;
  return meanPromptTokens + meanAnswerTokens;
}

function hasOnlyPaused(streams: Iterable<PathStream>): boolean {
  for (const stream of streams) if (!stream.isPaused()) return false;
  return true;
}
