import type {Deadline, Instant, Random} from '@zinniaspindle/shared';

/** Phase of a circuit breaker. */
export enum BreakerPhase {
  Closed = 'closed',
  HalfOpen = 'halfOpen',
  Open = 'open',
}

/** The circuit breaker of one endpoint. */
export interface Breaker {
  phase: BreakerPhase;
  /** Failures since the last success. */
  failures: number;
  /** When the counted failures expire. */
  failuresExpireAt: Deadline;
  /** When the next probe may be sent; while half open, the current one's timeout. */
  nextProbeAt: Deadline;
  /** Times that it opened since it was last closed. */
  openCount: number;
}

/** Settings of a circuit breaker: when it opens, and for how long. */
export interface BreakerOptions {
  /** Number of failures that opens the breaker. */
  readonly maxFailures: number;
  readonly failureWindowMilliseconds: number;
  /** Duration of the first opening; doubled for each further one. */
  readonly openMilliseconds: number;
  readonly maxOpenMilliseconds: number;
  readonly probeTimeoutMilliseconds: number;
}

/** Settings that apply unless a deployment overrides them. */
export const defaultBreakerOptions: BreakerOptions = {
  maxFailures: 3,
  failureWindowMilliseconds: 10_000,
  openMilliseconds: 1000,
  maxOpenMilliseconds: 16_000,
  probeTimeoutMilliseconds: 2000,
};

/** How certain a failure is. */
export enum FailureCertainty {
  /** The connection was refused or broken: the endpoint is down. */
  Certain = 'certain',
  /** The endpoint may still work, as after a timeout or a wrong token. */
  Suspected = 'suspected',
}

/** Creates a closed breaker. */
export function createBreaker(): Breaker {
  return {
    phase: BreakerPhase.Closed,
    failures: 0,
    failuresExpireAt: 0,
    nextProbeAt: 0,
    openCount: 0,
  };
}

/** Tells whether a request or a probe may be sent to the endpoint now. */
export function canSend(breaker: Breaker, now: Instant): boolean {
  return breaker.phase === BreakerPhase.Closed || breaker.nextProbeAt <= now;
}

/** Records a request that was sent; while not closed, it is the only probe. */
export function recordSend(
  breaker: Breaker,
  now: Instant,
  options: BreakerOptions = defaultBreakerOptions,
): void {
  if (breaker.phase === BreakerPhase.Closed) return;
  breaker.phase = BreakerPhase.HalfOpen;
  breaker.nextProbeAt = now + options.probeTimeoutMilliseconds;
}

/** Records a success; closes the breaker if it proves the endpoint healthy. */
export function recordSuccess(breaker: Breaker): void {
  // Only the probe proves recovery, not a request sent before the breaker opened.
  if (breaker.phase === BreakerPhase.Open) return;
  breaker.phase = BreakerPhase.Closed;
  breaker.failures = 0;
  breaker.openCount = 0;
  breaker.nextProbeAt = 0;
}

/** Records a failure; opens the breaker if it is certain, repeated or a probe. */
export function recordFailure(
  breaker: Breaker,
  certainty: FailureCertainty,
  now: Instant,
  random: Random,
  options: BreakerOptions = defaultBreakerOptions,
): void {
  if (breaker.failuresExpireAt <= now) breaker.failures = 0;
  breaker.failures += 1;
  breaker.failuresExpireAt = now + options.failureWindowMilliseconds;
  if (breaker.phase === BreakerPhase.Open && breaker.nextProbeAt > now) return;
  const isProbe = breaker.phase !== BreakerPhase.Closed;
  const isCertain = certainty === FailureCertainty.Certain;
  if (!isProbe && !isCertain && breaker.failures < options.maxFailures) return;
  openBreaker(breaker, now, random, options);
}

function openBreaker(
  breaker: Breaker,
  now: Instant,
  random: Random,
  options: BreakerOptions,
): void {
  const doubled = options.openMilliseconds * 2 ** breaker.openCount;
  const durationMilliseconds = Math.min(doubled, options.maxOpenMilliseconds);
  breaker.phase = BreakerPhase.Open;
  breaker.openCount += 1;
  // Jitter keeps the VMs from probing at the same instant.
  breaker.nextProbeAt = now + durationMilliseconds * (0.75 + 0.5 * random());
}
