import {
  createPathWatch,
  defaultStallOptions,
  findPaths,
  isGivenUp,
  isStalled,
  pickPath,
  type PathWatch,
  type StagePath,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  isPast,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import type {ServiceModel} from '../ports/index.js';
import {hasAllLayers} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';
import type {LoadBook} from './load_book.js';

/** A stream that runs on a path; told when the path falls silent. */
export interface PathRider {
  /** Called once the path's streams have been silent for too long. */
  handleStall(): void;
  /** Whether the stream is not read, since its caller is slow. */
  isPaused(): boolean;
}

/** A request's place on a path, until it is released. */
export interface PathTicket {
  readonly path: StagePath;
  readonly tokens: number;
  hasStarted: boolean;
}

interface WatchedPath {
  readonly path: StagePath;
  readonly watch: PathWatch;
  readonly riders: Map<PathTicket, PathRider>;
}

interface CachedPaths {
  readonly revision: number;
  readonly model: ServiceModel;
  readonly until: Instant;
  readonly paths: readonly StagePath[];
}

/** Suspicions end without a revision, so that paths are found anew as often. */
const cacheMilliseconds = 500;

/** Chooses paths for requests and watches the streams that run on them. */
export class PathTable {
  private readonly cache = new Map<string, CachedPaths>();
  private readonly watched = new Map<string, WatchedPath>();

  constructor(
    private readonly endpoints: EndpointTable,
    private readonly dataCentre: string,
    private readonly loads: LoadBook,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
  ) {}

  /** Lists the paths of a service's model, one for each data centre at most. */
  list(service: string, model: ServiceModel): readonly StagePath[] {
    const now = this.getNow();
    const cached = this.cache.get(service);
    const isFresh =
      cached !== undefined &&
      cached.revision === this.endpoints.revision &&
      cached.model === model &&
      !isPast(cached.until, now);
    if (isFresh) return cached.paths;
    const stages = this.endpoints.listStages(service, model);
    const paths = findPaths(stages, model.shape);
    for (const path of paths) this.loads.addPath(path);
    this.cache.set(service, {
      revision: this.endpoints.revision,
      model,
      until: now + cacheMilliseconds,
      paths,
    });
    const keys = paths.map(({key}) => key).join(' | ');
    if (cached?.paths.map(({key}) => key).join(' | ') !== keys) {
      this.writeEvent(GatewayEvent.PathsChanged, {
        service,
        count: paths.length,
        paths: keys,
      });
    }
    return paths;
  }

  /** Picks a path for a request; undefined when none can take it. */
  pick(
    service: string,
    model: ServiceModel,
    tokens: number,
  ): StagePath | undefined {
    const now = this.getNow();
    const paths = this.list(service, model).filter(({key}) => {
      const watched = this.watched.get(key);
      return watched === undefined || isPast(watched.watch.avoidUntil, now);
    });
    return pickPath(
      paths,
      tokens,
      id => this.loads.computeLoad(id),
      this.dataCentre,
      Math.random,
    );
  }

  /** Takes a place on a path for a request. */
  reserve(path: StagePath, tokens: number, rider: PathRider): PathTicket {
    const ticket: PathTicket = {path, tokens, hasStarted: false};
    const watched = this.getWatched(path);
    const {watch} = watched;
    if (watched.riders.size === 0) watch.progressAt = this.getNow();
    watch.waiting += 1;
    watched.riders.set(ticket, rider);
    this.loads.addOwn(path, 1, tokens);
    return ticket;
  }

  /** Notes that an event came on a path. */
  recordProgress(ticket: PathTicket): void {
    const {watch} = this.getWatched(ticket.path);
    watch.progressAt = this.getNow();
    if (ticket.hasStarted) return;
    ticket.hasStarted = true;
    watch.waiting -= 1;
    watch.started += 1;
  }

  /** Gives a request's place back. */
  release(ticket: PathTicket): void {
    const watched = this.getWatched(ticket.path);
    if (!watched.riders.delete(ticket)) return;
    if (ticket.hasStarted) watched.watch.started -= 1;
    else watched.watch.waiting -= 1;
    this.loads.addOwn(ticket.path, -1, -ticket.tokens);
  }

  /** Restarts the watch of all paths, as after a pause of the process. */
  resumeWatches(): void {
    const now = this.getNow();
    for (const {watch} of this.watched.values()) watch.progressAt = now;
  }

  /** Lists the paths whose endpoints should be asked whether they are up. */
  listStalled(): StagePath[] {
    const now = this.getNow();
    const stalled: StagePath[] = [];
    for (const [key, {watch, path, riders}] of this.watched) {
      if (riders.size === 0) {
        if (isPast(watch.avoidUntil, now)) this.watched.delete(key);
        continue;
      }
      if (hasOnlyPaused(riders.values())) watch.progressAt = now;
      if (!isStalled(watch, now)) continue;
      watch.checkedAt = now;
      stalled.push(path);
    }
    return stalled;
  }

  /** Leaves a path alone for a while whose endpoints have all answered. */
  recordAnswers(path: StagePath): void {
    const until = this.getNow() + defaultStallOptions.quietMilliseconds;
    this.getWatched(path).watch.quietUntil = until;
  }

  /** Tells whether a path is silent for so long that it must be given up. */
  isGivenUp(path: StagePath): boolean {
    return isGivenUp(this.getWatched(path).watch, this.getNow());
  }

  /** Moves all streams that run through an endpoint elsewhere. */
  dropRidersThrough(id: string): void {
    for (const {path, riders} of [...this.watched.values()]) {
      if (riders.size === 0) continue;
      const isOnPath = path.parts.some(({endpoint}) => endpoint.id === id);
      if (isOnPath) this.dropRiders(path);
    }
  }

  /** Moves the streams elsewhere that need layers which an endpoint gives up. */
  dropRidersOutside(id: string, range: LayerRange): void {
    for (const {path, riders} of [...this.watched.values()]) {
      if (riders.size === 0) continue;
      const part = path.parts.find(({endpoint}) => endpoint.id === id);
      if (part === undefined || hasAllLayers(range, part.layers)) continue;
      this.dropRiders(path);
    }
  }

  /** Moves all streams of a silent path elsewhere. */
  dropRiders(path: StagePath): void {
    const now = this.getNow();
    const {watch, riders} = this.getWatched(path);
    this.writeEvent(GatewayEvent.PathStalled, {
      path: path.key,
      silentMs: Math.round(now - watch.progressAt),
      streams: riders.size,
    });
    watch.avoidUntil = now + defaultStallOptions.avoidMilliseconds;
    watch.progressAt = now;
    for (const rider of [...riders.values()]) rider.handleStall();
  }

  private getWatched(path: StagePath): WatchedPath {
    let watched = this.watched.get(path.key);
    if (watched === undefined) {
      watched = {path, watch: createPathWatch(), riders: new Map()};
      this.watched.set(path.key, watched);
    }
    return watched;
  }
}

function hasOnlyPaused(riders: Iterable<PathRider>): boolean {
  for (const rider of riders) if (!rider.isPaused()) return false;
  return true;
}
