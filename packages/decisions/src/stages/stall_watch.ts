import type {Deadline, Instant} from '@zinniaspindle/shared';
import type {PathTimes} from './predict_path.js';

/** Timeouts after which a path without events is probed or abandoned. */
export interface StallOptions {
  /** Silence after which a path with several running streams is probed. */
  readonly multiStreamMilliseconds: number;
  /** Silence after which a path with a single running stream is probed. */
  readonly singleStreamMilliseconds: number;
  /** Wait for the first event after which a path without running streams is probed. */
  readonly firstEventMilliseconds: number;
  /** The same wait after which the path is abandoned even if its endpoints answer. */
  readonly firstEventTimeoutMilliseconds: number;
  /** Silence after which a path with running streams is abandoned even if its endpoints answer. */
  readonly eventTimeoutMilliseconds: number;
  /** How long a path is not probed again after all its endpoints answered. */
  readonly probePauseMilliseconds: number;
  /** How long a stalled path takes no new requests. */
  readonly avoidMilliseconds: number;
}

/**
 * The first event usually comes after 50 ms and further ones every 30 ms; a gap
 * above 200 ms counts as late (site files).
 */
export const defaultStallOptions: StallOptions = {
  multiStreamMilliseconds: 80,
  singleStreamMilliseconds: 120,
  firstEventMilliseconds: 250,
  firstEventTimeoutMilliseconds: 1800,
  eventTimeoutMilliseconds: 800,
  probePauseMilliseconds: 400,
  avoidMilliseconds: 1500,
};

/** Gap between events for which the default timeouts are chosen. */
const usualGapMilliseconds = 30;
/** Gaps within this factor of the usual one keep the default timeouts. */
const usualGapTolerance = 1.25;
/** Engines with at most this stride had the default timeouts before; they keep them. */
const defaultStride = 2;
/** Shorter silences occur between the events of any path on a busy VM. */
export const minStallMilliseconds = 40;
/** Checks run every 20 ms, so that a stall is found within 250 ms. */
const maxStallMilliseconds = 230;
const minFirstEventMilliseconds = 100;
const maxFirstEventMilliseconds = 400;
/** The default first-event timeout as a multiple of the usual first event of 50 ms. */
const firstEventRatio = 5;
/** Least multiple of the predicted first event, where that is long. */
const slowFirstEventRatio = 1.5;

/**
 * Computes the timeouts of a path from its predicted times at its present load
 * and slowness, so that a sound path of slow endpoints is not probed all the
 * time and a fast one is probed early.
 */
export function computeStallOptions(
  {gapMilliseconds, firstEventMilliseconds}: PathTimes,
  stride: number,
  options: StallOptions = defaultStallOptions,
): StallOptions {
  if (!(gapMilliseconds > 0) || !(firstEventMilliseconds > 0)) return options;
  const {multiStreamMilliseconds, singleStreamMilliseconds} = options;
  const ratio = computeGapRatio(gapMilliseconds);
  const multi = multiStreamMilliseconds * ratio;
  if (stride <= defaultStride) {
    const multiStream = computeBounded(
      multi,
      multiStreamMilliseconds,
      singleStreamMilliseconds,
    );
    return {...options, multiStreamMilliseconds: multiStream};
  }
  const single = singleStreamMilliseconds * ratio;
  const longest = computeBounded(
    firstEventMilliseconds * slowFirstEventRatio,
    options.firstEventMilliseconds,
    maxFirstEventMilliseconds,
  );
  return {
    ...options,
    multiStreamMilliseconds: computeStallTimeout(multi),
    singleStreamMilliseconds: computeStallTimeout(single),
    firstEventMilliseconds: computeBounded(
      firstEventMilliseconds * firstEventRatio,
      minFirstEventMilliseconds,
      longest,
    ),
  };
}

/** Computes a gap as a multiple of the usual one; 1 for those that are about as long. */
function computeGapRatio(gapMilliseconds: number): number {
  const ratio = gapMilliseconds / usualGapMilliseconds;
  if (ratio > usualGapTolerance) return ratio / usualGapTolerance;
  return Math.min(1, ratio * usualGapTolerance);
}

function computeStallTimeout(milliseconds: number): number {
  return computeBounded(
    milliseconds,
    minStallMilliseconds,
    maxStallMilliseconds,
  );
}

function computeBounded(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Number of VMs up to which probes are not throttled. */
const unthrottledVms = 16;

/** Computes the pause in milliseconds before an answering path is probed again; grows with the fleet. */
export function computeProbePause(
  vms: number,
  options: StallOptions = defaultStallOptions,
): number {
  return options.probePauseMilliseconds * Math.max(1, vms / unthrottledVms);
}

/** Limits the probes of one endpoint by all VMs to 50 a second. */
const probeIntervalPerVmMilliseconds = 20;

/** Computes the least milliseconds between an endpoint's answer and this VM's next probe. */
export function computeMinProbeInterval(vms: number): number {
  return Math.max(0, vms - unthrottledVms) * probeIntervalPerVmMilliseconds;
}

/** Progress of the streams on one path. */
export interface PathWatch {
  /** Streams that have delivered an event. */
  started: number;
  /** Streams that wait for their first event. */
  waiting: number;
  /** When a stream of the path last delivered an event, or the first was sent. */
  progressAt: Instant;
  /** When the path was last reported as stalled. */
  checkedAt: Instant;
  /** Its endpoints are not probed before this instant. */
  noProbeUntil: Deadline;
  /** The path takes no new requests before this instant. */
  avoidUntil: Deadline;
}

/** Creates the state of a path without streams. */
export function createPathWatch(): PathWatch {
  return {
    started: 0,
    waiting: 0,
    progressAt: 0,
    checkedAt: 0,
    noProbeUntil: 0,
    avoidUntil: 0,
  };
}

/** Tells whether a path's streams have been silent for so long that it is probed. */
export function isStalled(
  watch: PathWatch,
  now: Instant,
  options: StallOptions = defaultStallOptions,
): boolean {
  if (now < watch.noProbeUntil) return false;
  const silent = now - Math.max(watch.progressAt, watch.checkedAt);
  if (watch.started >= 2) return silent > options.multiStreamMilliseconds;
  if (watch.started === 1) return silent > options.singleStreamMilliseconds;
  return watch.waiting > 0 && silent > options.firstEventMilliseconds;
}

/** Tells whether a path has been silent for so long that its streams must move. */
export function isTimedOut(
  watch: PathWatch,
  now: Instant,
  options: StallOptions = defaultStallOptions,
): boolean {
  const wait =
    watch.started > 0
      ? options.eventTimeoutMilliseconds
      : options.firstEventTimeoutMilliseconds;
  return now - watch.progressAt > wait;
}
