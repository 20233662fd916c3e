import type {Deadline, Instant, Random} from '@zinniaspindle/shared';

/** What a graceful stop depends on. */
export interface StopSettings {
  /** How long callers may use a directory answer, in milliseconds. */
  readonly directoryTtlMilliseconds: number;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly graceMilliseconds: number;
}

/** The instants of a graceful stop. */
export interface StopPlan {
  readonly startedAt: Instant;
  /** Until then callers may hold a directory answer that names this VM. */
  readonly lingerUntil: Deadline;
  /** The process exits then, whatever is in flight. */
  readonly exitAt: Deadline;
}

/** A request that arrives during a stop. */
export interface StopWork {
  /** The request is answered by then in any case. */
  readonly deadline: Deadline;
  /**
   * Within this time nearly all requests of its kind are answered; undefined if
   * too few were measured.
   */
  readonly longMilliseconds: number | undefined;
}

/** Some callers cache a directory answer for this many times its lifetime. */
const lifetimeFactor = 3;
const lingerMarginMilliseconds = 500;
/** Time before the end of the grace period at which the process exits. */
const killMarginMilliseconds = 500;
/**
 * Factor on the time of nearly all requests: one that takes longer still is cut
 * by the exit.
 */
const durationHeadroom = 1.25;
/** Time from the exit of a VM until its next process serves callers. */
const restartMilliseconds = 1500;
/** Time over which the retries of callers refused together are spread. */
const retrySpreadMilliseconds = 1000;

/** Plans a graceful stop that begins now. */
export function planStop(
  {directoryTtlMilliseconds, graceMilliseconds}: StopSettings,
  now: Instant,
): StopPlan {
  const exitAt = now + Math.max(0, graceMilliseconds - killMarginMilliseconds);
  const lingerMilliseconds =
    directoryTtlMilliseconds * lifetimeFactor + lingerMarginMilliseconds;
  const lingerUntil = Math.min(now + lingerMilliseconds, exitAt);
  return {startedAt: now, lingerUntil, exitAt};
}

/**
 * Tells whether a request that arrives during a stop is answered before the
 * exit. One that may not be is refused unrun, which its caller can retry at
 * another VM at once; cut off later, it would have run in vain.
 */
export function canFinish(
  {exitAt}: StopPlan,
  {deadline, longMilliseconds}: StopWork,
  now: Instant,
): boolean {
  if (deadline <= exitAt) return true;
  if (longMilliseconds === undefined) return false;
  return now + longMilliseconds * durationHeadroom <= exitAt;
}

/**
 * Tells whether a stopping VM may exit: callers no longer learn of it from the
 * directory, and nothing is in flight. While no other VM is ready it stays until
 * the end, since it still serves what it can finish.
 */
export function canExit(
  {lingerUntil, exitAt}: StopPlan,
  inFlight: number,
  hasReadyPeer: boolean,
  now: Instant,
): boolean {
  if (now >= exitAt) return true;
  return now >= lingerUntil && inFlight === 0 && hasReadyPeer;
}

/**
 * Computes the milliseconds after which a caller that a stopping VM refuses
 * should retry: at once while another VM is ready, else when this VM is back.
 */
export function computeStopRetryDelay(
  {exitAt}: StopPlan,
  hasReadyPeer: boolean,
  now: Instant,
  random: Random,
): number {
  if (hasReadyPeer) return 0;
  const untilExit = Math.max(0, exitAt - now);
  return untilExit + restartMilliseconds + random() * retrySpreadMilliseconds;
}
