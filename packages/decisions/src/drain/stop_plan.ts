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
  /**
   * Until then requests are taken that are likely to end in time, since callers
   * could not learn earlier that this VM stops.
   */
  readonly takeUntil: Deadline;
  /** Until then callers may hold a directory answer that names this VM. */
  readonly lingerUntil: Deadline;
  /** From then on nothing is taken, and the listener is closed. */
  readonly closeAt: Instant;
  /** The process exits then, whatever is in flight. */
  readonly exitAt: Deadline;
}

/** How an answer is written out, by those of its route so far. */
export enum AnswerSize {
  /** It may be cut while its caller reads it. */
  Large = 'large',
  /** It is likely to be written out at once, or another final answer is. */
  Small = 'small',
  /** It is forwarded as it arrives, and may be cut at any time. */
  Stream = 'stream',
}

/** A request that arrives during a stop. */
export interface StopWork {
  /** The request is answered by then in any case. */
  readonly deadline: Deadline;
  readonly answer: AnswerSize;
  /**
   * Finds the milliseconds within which a share of the answers of its kind are
   * written out; undefined if too few were measured.
   */
  readonly findDuration: (share: number) => number | undefined;
  /** Share of the other VMs that a refused caller would be refused by as well. */
  readonly refusingShare: number;
}

/** What speaks for a request that a stopping VM takes. */
export enum TakeReason {
  DeadlineBeforeExit = 'its deadline is before the exit',
  LongFits = 'almost all of its kind end before the exit',
  RiskWeighed = 'a cut is less likely than a second refusal',
  NoVmReady = 'no other VM is ready',
}

/** Why a request is taken, and the duration that was compared, if any. */
export interface TakeGrounds {
  readonly reason: TakeReason;
  readonly durationMilliseconds: number | undefined;
}

/** Some callers cache a directory answer for this many times its lifetime. */
const lifetimeFactor = 3;
const lingerMarginMilliseconds = 500;
/** Longest time before the end of the grace period at which the process exits. */
const killMarginMilliseconds = 500;
/** Share of the grace period that this time is at most. */
const killMarginShare = 1 / 12;
/** Share of this time that is left to a process that was held up. */
const lateKillMarginShare = 1 / 3;
/** A request may be cut in this last part while its endpoint works on it. */
const lastPartShare = 1 / 6;
/** Time after the begin of the last part at which the exit is planned. */
const lastPartMarginMilliseconds = 100;
/** Time before the exit in which nothing is taken any more. */
const closingMilliseconds = 250;
/** A signal may be handled this late, and a request may be on its way as long. */
const signalDelayMilliseconds = 300;
/** Share of requests whose durations are compared with the time left. */
const certainShare = 0.99;
/** Factor on that duration, for a request that takes longer still. */
const certainHeadroom = 1.25;
/** Risk of a cut at which a request is taken although all other VMs are ready. */
const acceptedRisk = 0.01;
/** Highest risk of a cut at which a request is taken. */
const highestRisk = 0.5;
/** Time from the exit of a VM until its next process serves callers. */
const restartMilliseconds = 1500;
/** Time over which the retries of callers refused together are spread. */
const retrySpreadMilliseconds = 1000;

/**
 * Finds the earliest instant at which a signal that is handled now may have been
 * sent, given the instants at which turns of the event loop began, oldest first.
 * Each of these turns has read the signals that were pending at its begin. One
 * turn more is allowed for a signal that another thread received.
 */
export function findEarliestSending(
  turns: readonly Instant[],
  handledAt: Instant,
): Instant {
  return turns.at(-2) ?? turns.at(0) ?? handledAt;
}

/**
 * Plans a graceful stop. The platform counts the grace period from the sending of
 * the signal, so the plan counts from the earliest instant of it. If that is long
 * before the handling, the signal may have been sent much later, and the exit must
 * not come before the last part of the grace period.
 */
export function planStop(
  {directoryTtlMilliseconds, graceMilliseconds}: StopSettings,
  sentAt: Instant,
  handledAt: Instant,
): StopPlan {
  const killMargin = Math.min(
    killMarginMilliseconds,
    graceMilliseconds * killMarginShare,
  );
  const killedAt = sentAt + graceMilliseconds;
  const lastPartAt =
    handledAt +
    graceMilliseconds * (1 - lastPartShare) +
    lastPartMarginMilliseconds;
  const exitAt = Math.max(
    killedAt - killMargin,
    Math.min(lastPartAt, killedAt - killMargin * lateKillMarginShare),
    handledAt + closingMilliseconds,
  );
  const closeAt = exitAt - closingMilliseconds;
  const lifetimes = directoryTtlMilliseconds * lifetimeFactor;
  const knownAt = sentAt + lifetimes - signalDelayMilliseconds;
  const cachedUntil = handledAt + lifetimes + lingerMarginMilliseconds;
  return {
    startedAt: handledAt,
    takeUntil: Math.min(knownAt, closeAt),
    lingerUntil: Math.min(cachedUntil, closeAt),
    closeAt,
    exitAt,
  };
}

/** Decides whether to take a request that arrives during a stop. */
export function canTake(plan: StopPlan, work: StopWork, now: Instant): boolean {
  return findTakeGrounds(plan, work, now) !== undefined;
}

/**
 * Finds what speaks for taking a request that arrives during a stop; undefined to
 * refuse it. It is taken when its deadline is before the exit. Nothing else makes its
 * end certain: neither its duration nor its size follows from those of earlier
 * answers, and a large one takes as long as its caller reads.
 *
 * While callers could not know of the stop, a stream, which can go on elsewhere, is
 * also taken when the risk of a cut is smaller than that of a second refusal: in a
 * rolling restart that reaches many VMs at once, a caller that is sent away is likely
 * to meet another VM that stops. One that is cut as likely as not is refused in any
 * case.
 */
export function findTakeGrounds(
  plan: StopPlan,
  work: StopWork,
  now: Instant,
): TakeGrounds | undefined {
  const {deadline, answer, findDuration} = work;
  const {takeUntil, closeAt, exitAt} = plan;
  if (now >= closeAt) return undefined;
  if (deadline <= exitAt) {
    const reason = TakeReason.DeadlineBeforeExit;
    return {reason, durationMilliseconds: undefined};
  }
  if (answer !== AnswerSize.Stream || now >= takeUntil) return undefined;
  const longest = (findDuration(certainShare) ?? Infinity) * certainHeadroom;
  if (now + longest <= exitAt) {
    return {reason: TakeReason.LongFits, durationMilliseconds: longest};
  }
  return findRiskGrounds(plan, work, now);
}

function findRiskGrounds(
  {exitAt}: StopPlan,
  {findDuration, refusingShare}: StopWork,
  now: Instant,
): TakeGrounds | undefined {
  const risk = Math.max(acceptedRisk, Math.min(refusingShare, highestRisk));
  const usual = findDuration(1 - risk);
  if (usual === undefined) {
    if (refusingShare < 1) return undefined;
    return {reason: TakeReason.NoVmReady, durationMilliseconds: undefined};
  }
  if (now + usual > exitAt) return undefined;
  return {reason: TakeReason.RiskWeighed, durationMilliseconds: usual};
}

/**
 * Tells whether a stopping VM may close its connections before it exits: callers
 * no longer learn of it from the directory, and nothing is in flight.
 */
export function canClose(
  {lingerUntil, closeAt}: StopPlan,
  inFlight: number,
  now: Instant,
): boolean {
  if (now >= closeAt) return true;
  return now >= lingerUntil && inFlight === 0;
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
