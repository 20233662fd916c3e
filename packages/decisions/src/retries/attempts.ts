import {RetryDenial} from './retry_denial.js';

/** Attempts of one request that have ended or answered. */
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
 * Finds why a request may not have a further attempt beside its running one.
 * Both may run it, so the route must allow both. A run whose answer has begun
 * is counted already.
 */
export function findMoveDenial(
  {runs, notRun}: Attempts,
  {canRepeat, maxRuns, maxNotRun}: AttemptLimits,
  isCounted: boolean,
): RetryDenial | undefined {
  if (!canRepeat) return RetryDenial.Route;
  const running = isCounted ? 0 : 1;
  if (runs + running >= maxRuns) return RetryDenial.Attempts;
  // Without a known run the running attempt may turn out not to have run it.
  const hasLeft = runs > 0 || notRun + running < maxNotRun;
  return hasLeft ? undefined : RetryDenial.Attempts;
}

/** Time until a request is sent beside its attempt again, after one refusal. */
const moveDelayMilliseconds = 125;
const maxMoveDelayMilliseconds = 4000;

/**
 * Computes after how many milliseconds a further attempt may follow those that
 * were refused beside the running one; doubled each time, since that may go on.
 */
export function computeMoveDelay(refusals: number): number {
  const delay = moveDelayMilliseconds * 2 ** Math.max(0, refusals - 1);
  return Math.min(delay, maxMoveDelayMilliseconds);
}

/**
 * Counts an attempt that is given up without an answer. The endpoint may have
 * just started it: after a known run it counts as another run, so that the
 * route's attempts are never exceeded.
 */
export function recordUnanswered(attempts: Attempts): void {
  if (attempts.runs > 0) attempts.runs += 1;
  else attempts.notRun += 1;
}
