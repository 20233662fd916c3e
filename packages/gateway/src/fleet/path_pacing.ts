import {
  computeSlowness,
  computeStallOptions,
  createGapRecord,
  defaultStallOptions,
  isForgotten,
  isStalled,
  minStallMilliseconds,
  predictPath,
  recordPathGap,
  type EngineFigures,
  type GapRecord,
  type PathTimes,
  type PathWatch,
  type ReportedPace,
  type StagePath,
  type StallOptions,
} from '@zinniaspindle/decisions';
import {GatewayEvent, isPast, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import type {EndpointTable} from './endpoint_table.js';
import type {LoadTracker} from './load_tracker.js';

/** What was predicted for a path, until its load may have changed. */
interface PacedPath {
  readonly figures: EngineFigures;
  times: PathTimes;
  slowness: number;
  until: Instant;
}

/**
 * Loads change with each heartbeat and each stream of this VM; thresholds and
 * gaps need not follow at once.
 */
const cacheMilliseconds = 100;

/** A path is logged as slow from here, and as usual again below `usualBelow`. */
const slowFrom = 3;
const usualBelow = 1.5;

/** Predicts the times of paths and compares them with those observed. */
export class PathPacing {
  private readonly paced = new WeakMap<StagePath, PacedPath>();
  /** Gaps between the events of this VM's streams, by the key of the path. */
  private readonly gaps = new Map<string, GapRecord>();
  /** Keys of the paths that are logged as slow. */
  private readonly slow = new Set<string>();
  /** Gaps that began before this instant are not counted. */
  private trustedFrom: Instant = -Infinity;

  constructor(
    private readonly endpoints: EndpointTable,
    private readonly loads: LoadTracker,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    /** Whether this VM has streams on a path. */
    private readonly isUsed: (path: StagePath) => boolean,
    private readonly handleSlow: () => void,
  ) {}

  /** Adds a path of a model; without figures its times are not predicted. */
  addPath(path: StagePath, figures: EngineFigures | undefined): void {
    if (figures === undefined) return;
    const times = {gapMilliseconds: 0, firstEventMilliseconds: 0};
    this.paced.set(path, {figures, times, slowness: 1, until: -Infinity});
  }

  /** Records the events of a stream since an instant. */
  recordEvents(path: StagePath, since: Instant, events: number): void {
    if (since < this.trustedFrom) return;
    const paced = this.find(path);
    if (paced === undefined) return;
    let record = this.gaps.get(path.key);
    if (record === undefined) {
      record = createGapRecord();
      this.gaps.set(path.key, record);
    }
    const now = this.getNow();
    const predicted = paced.times.gapMilliseconds * events;
    recordPathGap(record, now, now - since, predicted);
  }

  /** Gives how many times slower than predicted a path runs. */
  getSlowness(path: StagePath): number {
    return this.find(path)?.slowness ?? 1;
  }

  /**
   * Tells whether a path is to be probed. Timeouts may be shorter than the
   * greatest interval of the checks; then a check after a longer one does not
   * count, as the events may not have been read yet.
   */
  isStalled(path: StagePath, watch: PathWatch, sinceCheck: number): boolean {
    const now = this.getNow();
    // Most paths need no prediction for this.
    if (now < watch.noProbeUntil) return false;
    if (now - watch.progressAt <= minStallMilliseconds) return false;
    const paced = this.find(path);
    if (paced === undefined) return isStalled(watch, now);
    const options = computeOptions(paced);
    const shortest = options.multiStreamMilliseconds;
    const isShort = shortest < defaultStallOptions.multiStreamMilliseconds;
    if (isShort && sinceCheck > shortest) return false;
    return isStalled(watch, now, options);
  }

  /** Takes up at once that this VM has a stream more on a path. */
  recordReserved(path: StagePath): void {
    const paced = this.paced.get(path);
    if (paced !== undefined) paced.until = -Infinity;
  }

  /** Leaves out the gaps under way, which a pause of the process may have prolonged. */
  dropOpenGaps(): void {
    this.trustedFrom = this.getNow();
  }

  /** Forgets the paths without recent events. */
  expire(): void {
    const now = this.getNow();
    for (const [key, record] of this.gaps) {
      if (!isForgotten(record, now)) continue;
      this.gaps.delete(key);
      if (this.slow.delete(key)) this.logUsual(key);
    }
  }

  /** Finds the present figures of a path; undefined without predictions. */
  private find(path: StagePath): PacedPath | undefined {
    const paced = this.paced.get(path);
    const now = this.getNow();
    if (paced === undefined || !isPast(paced.until, now)) return paced;
    const {figures} = paced;
    paced.until = now + cacheMilliseconds;
    paced.times = predictPath(path, id => this.loads.computeLoad(id), figures, {
      added: 0,
      tokens: 0,
      promptTokens: figures.usualPromptTokens,
    });
    const record = this.gaps.get(path.key);
    const findPace = (id: string) => this.findPace(id, figures);
    const query = {now, isUsed: this.isUsed(path)};
    paced.slowness = computeSlowness(path, record, findPace, query);
    this.logSlowness(path.key, paced);
    return paced;
  }

  private findPace(
    id: string,
    {reportLagMilliseconds}: EngineFigures,
  ): ReportedPace | undefined {
    const stated = this.endpoints.find(id)?.pace;
    if (stated === undefined) return undefined;
    return {pace: stated.pace, at: stated.at - reportLagMilliseconds};
  }

  private logSlowness(key: string, {times, slowness}: PacedPath): void {
    if (slowness >= slowFrom && !this.slow.has(key)) {
      this.slow.add(key);
      this.handleSlow();
      this.writeEvent(GatewayEvent.PathSlow, {
        path: key,
        times: Math.round(slowness * 10) / 10,
        gapMs: Math.round(times.gapMilliseconds),
      });
    }
    if (slowness < usualBelow && this.slow.delete(key)) this.logUsual(key);
  }

  private logUsual(key: string): void {
    this.writeEvent(GatewayEvent.PathUsual, {path: key});
  }
}

function computeOptions({times, slowness, figures}: PacedPath): StallOptions {
  const slowed = {
    gapMilliseconds: times.gapMilliseconds * slowness,
    firstEventMilliseconds: times.firstEventMilliseconds * slowness,
  };
  return computeStallOptions(slowed, figures.stride);
}
