import type {Random} from '@zinniaspindle/shared';

/** Queue timeouts of requests and retry delays of refused callers. */
export interface WaitOptions {
  /** Share of the target latency for which a request waits for a slot on a path. */
  readonly slotWaitShare: number;
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
  pathWaitShare: 0.12,
  minRetryMilliseconds: 1500,
  retrySpreadMilliseconds: 5000,
  maxRetryShare: 1 / 3,
};

/** Computes the milliseconds that a request may wait before it is refused. */
export function computeQueueTimeout(
  targetMilliseconds: number,
  hasPath: boolean,
  options: WaitOptions = defaultWaitOptions,
): number {
  const share = hasPath ? options.slotWaitShare : options.pathWaitShare;
  return targetMilliseconds * share;
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
