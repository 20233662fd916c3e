import type {Deadline, Instant} from '@zinniaspindle/shared';

/**
 * Moving average and mean deviation of a stage's token gaps, in milliseconds, as
 * in TCP's round-trip estimator (RFC 6298).
 */
export interface GapEstimator {
  gap: number;
  deviation: number;
  samples: number;
}

/** Parameters of the silence timeout. */
export interface SilenceOptions {
  /** Mean deviations above the average gap that are still tolerated. */
  readonly deviations: number;
  /** Lower limit of the timeout. */
  readonly minMilliseconds: number;
  /** Timeout until enough gaps have been measured. */
  readonly initialMilliseconds: number;
  readonly minSamples: number;
}

/** The settings used where a deployment gives none. */
export const defaultSilenceOptions: SilenceOptions = {
  deviations: 8,
  minMilliseconds: 400,
  initialMilliseconds: 2000,
  minSamples: 16,
};

const gapWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Creates an estimator without samples. */
export function createGapEstimator(): GapEstimator {
  return {gap: 0, deviation: 0, samples: 0};
}

/** Records the milliseconds between two tokens. */
export function recordGap(estimator: GapEstimator, gap: number): void {
  if (estimator.samples === 0) estimator.gap = gap;
  const error = gap - estimator.gap;
  estimator.gap += gapWeight * error;
  estimator.deviation +=
    deviationWeight * (Math.abs(error) - estimator.deviation);
  estimator.samples += 1;
}

/**
 * Computes when a stage counts as silent after its last token. The lateness of
 * this VM's event loop, in milliseconds, extends the timeout.
 */
export function computeSilentAt(
  estimator: GapEstimator,
  lastTokenAt: Instant,
  lateness: number,
  options: SilenceOptions = defaultSilenceOptions,
): Deadline {
  if (estimator.samples < options.minSamples) {
    return lastTokenAt + options.initialMilliseconds + lateness;
  }
  const allowed = estimator.gap + options.deviations * estimator.deviation;
  const timeout = Math.max(allowed, options.minMilliseconds);
  return lastTokenAt + timeout + lateness;
}
