import type {Deadline, Instant} from '@zinniaspindle/shared';

/** Recent token gaps of one stage: mean and mean deviation, milliseconds. */
export interface GapEstimator {
  gap: number;
  deviation: number;
  samples: number;
}

/** What counts as silence. */
export interface SilenceOptions {
  readonly deviations: number;
  /** Silence is never shorter than this. */
  readonly minMilliseconds: number;
  /** Patience before enough gaps were seen, milliseconds. */
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

/** Creates a watch that has seen no gaps. */
export function createGapEstimator(): GapEstimator {
  return {gap: 0, deviation: 0, samples: 0};
}

/** Records the milliseconds between two tokens. */
export function recordGap(watch: GapEstimator, gap: number): void {
  if (watch.samples === 0) watch.gap = gap;
  const error = gap - watch.gap;
  watch.gap += gapWeight * error;
  watch.deviation += deviationWeight * (Math.abs(error) - watch.deviation);
  watch.samples += 1;
}

/**
 * Computes when a stage that gave its last token at an instant is silent.
 * Lateness is what the VM's own loop was late by: it lengthens the patience.
 */
export function computeSilentAt(
  watch: GapEstimator,
  lastTokenAt: Instant,
  lateness: number,
  options: SilenceOptions = defaultSilenceOptions,
): Deadline {
  if (watch.samples < options.minSamples) {
    return lastTokenAt + options.initialMilliseconds + lateness;
  }
  const allowed = watch.gap + options.deviations * watch.deviation;
  const timeout = Math.max(allowed, options.minMilliseconds);
  return lastTokenAt + timeout + lateness;
}
