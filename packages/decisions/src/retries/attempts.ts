import {RetryDenial} from './retry_denial.js';

/** Attempts of one request that have ended. */
export interface Attempts {
  /** Those that may have run the request. */
  runs: number;
  /** Those that are not known to have run it. */
  notRun: number;
}

/** What bounds the attempts of a request. */
export interface AttemptLimits {
  /** Whether its route allows a further run. */
  readonly canRepeat: boolean;
  readonly maxRuns: number;
  readonly maxNotRun: number;
}

/** Finds why a request whose attempt has ended may not be sent again. */
export function findRetryDenial(
  {runs, notRun}: Attempts,
  {canRepeat, maxRuns, maxNotRun}: AttemptLimits,
): RetryDenial | undefined {
  if (runs > 0 && !canRepeat) return RetryDenial.Route;
  const hasLeft = runs > 0 ? runs < maxRuns : notRun < maxNotRun;
  return hasLeft ? undefined : RetryDenial.Attempts;
}

/**
 * Finds why a request may not be moved off its running attempt. A run whose
 * answer has begun is counted already.
 */
export function findMoveDenial(
  attempts: Attempts,
  limits: AttemptLimits,
  isCounted: boolean,
): RetryDenial | undefined {
  if (!limits.canRepeat) return RetryDenial.Route;
  const after = {...attempts};
  if (!isCounted) recordMove(after);
  return findRetryDenial(after, limits);
}

/**
 * Counts an attempt that is given up without an answer. The endpoint may have
 * just started it: after a known run it counts as another run, so that the
 * route's attempts are never exceeded.
 */
export function recordMove(attempts: Attempts): void {
  if (attempts.runs > 0) attempts.runs += 1;
  else attempts.notRun += 1;
}
