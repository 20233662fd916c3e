import type {Random} from '@zinniaspindle/shared';

/** Queue timeouts of requests and retry delays of refused callers. */
export interface WaitOptions {
  /**
   * Share of the target latency for which a request waits for a slot on a path
   * while the time of a first event is not known.
   */
  readonly slotWaitShare: number;
  /** Multiple of the usual time to the first event that a wait must leave. */
  readonly firstEventMargin: number;
  /**
   * Multiple of the target latency for which a request may wait in all: with
   * targets of 0.5 s less than the shortest retry delay, and callers leave a
   * stream without an event after four targets or 2 s.
   */
  readonly lateTargets: number;
  /** Share of the target latency for which a request waits for any path. */
  readonly pathWaitShare: number;
  /** Shortest retry delay; no repair of a lost range takes less. */
  readonly minRetryMilliseconds: number;
  /** Time over which the retries of callers refused together are spread. */
  readonly retrySpreadMilliseconds: number;
  /** Share of the remaining time up to which callers honour a retry delay. */
  readonly maxRetryShare: number;
}

/**
 * Loading a range takes 1 to 3 s (14 s for 80 layers, site files). A caller that
 * retries misses its target latency in any case and gives up after a second
 * refusal, so a longer delay is better.
 */
export const defaultWaitOptions: WaitOptions = {
  slotWaitShare: 0.4,
  firstEventMargin: 1.5,
  lateTargets: 2,
  pathWaitShare: 0.12,
  minRetryMilliseconds: 1500,
  retrySpreadMilliseconds: 5000,
  maxRetryShare: 1 / 3,
};

/**
 * Computes the milliseconds that a request may wait before it is refused: while
 * there are paths, as long as its first event would usually still come within
 * the target.
 */
export function computeQueueTimeout(
  targetMilliseconds: number,
  hasPath: boolean,
  firstEventMilliseconds: number | undefined,
  options: WaitOptions = defaultWaitOptions,
): number {
  if (!hasPath) return targetMilliseconds * options.pathWaitShare;
  const least = targetMilliseconds * options.slotWaitShare;
  if (firstEventMilliseconds === undefined) return least;
  const needed = firstEventMilliseconds * options.firstEventMargin;
  return Math.max(least, targetMilliseconds - needed);
}

/**
 * Computes the milliseconds that a request may wait although it will be late: its
 * caller is served sooner than if it were sent away and came back.
 */
export function computeLateWait(
  targetMilliseconds: number,
  {lateTargets, minRetryMilliseconds}: WaitOptions = defaultWaitOptions,
): number {
  return Math.min(targetMilliseconds * lateTargets, minRetryMilliseconds);
}

/** Computes the milliseconds after which a refused caller should retry. */
export function computeRetryDelay(
  leftMilliseconds: number,
  random: Random,
  options: WaitOptions = defaultWaitOptions,
): number {
  const wanted =
    options.minRetryMilliseconds + random() * options.retrySpreadMilliseconds;
  return Math.max(
    0,
    Math.min(wanted, leftMilliseconds * options.maxRetryShare),
  );
}
