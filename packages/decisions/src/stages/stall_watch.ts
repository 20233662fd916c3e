import type {Deadline, Instant} from '@zinniaspindle/shared';

/** When the silence of a path's streams means that one of its parts fails. */
export interface StallOptions {
  /** Silence of a path with several streams under way. */
  readonly sharedMilliseconds: number;
  /** Silence of a path with a single stream under way. */
  readonly singleMilliseconds: number;
  /** Wait for a first event on a path without other streams. */
  readonly firstMilliseconds: number;
  /** The same, after which the path is given up although its endpoints answer. */
  readonly certainFirstMilliseconds: number;
  /** Silence after which a path is given up although its endpoints answer. */
  readonly certainMilliseconds: number;
  /** Time for which a path is not asked again after its endpoints answered. */
  readonly quietMilliseconds: number;
  /** Time for which a stalled path takes no new work. */
  readonly avoidMilliseconds: number;
}

/**
 * First events come after 50 ms, the next every 30 ms; a gap above 200 ms is
 * late (site files).
 */
export const defaultStallOptions: StallOptions = {
  sharedMilliseconds: 80,
  singleMilliseconds: 120,
  firstMilliseconds: 250,
  certainFirstMilliseconds: 1800,
  certainMilliseconds: 800,
  quietMilliseconds: 400,
  avoidMilliseconds: 1500,
};

/** VMs that may all ask the endpoints of a slow path again and again. */
const fewVms = 16;

/** Computes how long a path that answered is not asked again; longer for many VMs. */
export function computeQuiet(
  vms: number,
  options: StallOptions = defaultStallOptions,
): number {
  return options.quietMilliseconds * Math.max(1, vms / fewVms);
}

/** Questions a second to one endpoint by all VMs are 50 at most. */
const freshPerVmMilliseconds = 20;

/** Computes for how long an endpoint that answered a VM is not asked again. */
export function computeFresh(vms: number): number {
  return Math.max(0, vms - fewVms) * freshPerVmMilliseconds;
}

/** What is seen of one path's streams. */
export interface PathWatch {
  /** Streams that gave an event already. */
  started: number;
  /** Streams that wait for their first event. */
  waiting: number;
  /** When any stream of the path last gave an event, or the first was sent. */
  progressAt: Instant;
  /** When its silence was last looked into. */
  checkedAt: Instant;
  /** Its endpoints are not asked before this instant. */
  quietUntil: Deadline;
  /** The path takes no new work before this instant. */
  avoidUntil: Deadline;
}

/** Creates the watch of a path without streams. */
export function createPathWatch(): PathWatch {
  return {
    started: 0,
    waiting: 0,
    progressAt: 0,
    checkedAt: 0,
    quietUntil: 0,
    avoidUntil: 0,
  };
}

/**
 * Tells whether a path's streams have been silent for long enough to ask its
 * endpoints whether they are up.
 */
export function isStalled(
  watch: PathWatch,
  now: Instant,
  options: StallOptions = defaultStallOptions,
): boolean {
  if (now < watch.quietUntil) return false;
  const silent = now - Math.max(watch.progressAt, watch.checkedAt);
  if (watch.started >= 2) return silent > options.sharedMilliseconds;
  if (watch.started === 1) return silent > options.singleMilliseconds;
  return watch.waiting > 0 && silent > options.firstMilliseconds;
}

/** Tells whether a path is silent for so long that it must be given up. */
export function isGivenUp(
  watch: PathWatch,
  now: Instant,
  options: StallOptions = defaultStallOptions,
): boolean {
  const wait =
    watch.started > 0
      ? options.certainMilliseconds
      : options.certainFirstMilliseconds;
  return now - watch.progressAt > wait;
}
