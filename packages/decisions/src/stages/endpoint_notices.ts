import {
  isPast,
  type Deadline,
  type Instant,
  type Random,
} from '@zinniaspindle/shared';

/** What the incarnations of one endpoint have stated about themselves. */
export interface EndpointNotices {
  /**
   * When the newest incarnation that stated that it leaves was started;
   * -Infinity before any did.
   */
  leavingBornAt: Instant;
  /** Start of the newest incarnation that asked for a pause. */
  pausingBornAt: Instant;
  /** Until when that incarnation wants no requests from this VM. */
  pausedUntil: Deadline;
  /** Start of the newest incarnation that asked for a pause that has no sense. */
  faultyBornAt: Instant;
  /** The notices may be forgotten from here, unless the endpoint is listed. */
  keepUntil: Deadline;
}

/**
 * How long notices outlast the endpoint's entry: the entry of a leaving endpoint
 * may be lost with the store's newest records and written again. Endpoints exit
 * within seconds of their notice.
 */
export const noticeRetentionMilliseconds = 600_000;

/**
 * Longest pause that is kept at once; an endpoint that wants more asks again. A
 * faulty value takes an endpoint away for no longer.
 */
export const maxPauseMilliseconds = 60_000;
/** Least time over which refused callers return after a pause. */
const minReturnSpreadMilliseconds = 400;
/**
 * The same as a share of what is left of the pause: the longer it lasts, the
 * more callers are told to return at its end.
 */
const returnSpreadShare = 0.5;

/** What the request for a pause comes to. */
export enum PauseOutcome {
  /** A pause has begun. */
  Started = 'started',
  /** A pause goes on, maybe for longer. */
  Extended = 'extended',
  /** The length is negative or no number: there is no pause. */
  Faulty = 'faulty',
  /** The same from an incarnation that is known for it. */
  FaultyAgain = 'faultyAgain',
}

/** Creates the notices of an endpoint that has stated nothing. */
export function createEndpointNotices(): EndpointNotices {
  return {
    leavingBornAt: -Infinity,
    pausingBornAt: -Infinity,
    pausedUntil: -Infinity,
    faultyBornAt: -Infinity,
    keepUntil: -Infinity,
  };
}

/** Records that an incarnation leaves; returns whether that is news. */
export function recordLeaving(
  notices: EndpointNotices,
  bornAt: Instant,
  now: Instant,
): boolean {
  notices.keepUntil = now + noticeRetentionMilliseconds;
  if (bornAt <= notices.leavingBornAt) return false;
  notices.leavingBornAt = bornAt;
  return true;
}

/**
 * Tells whether an incarnation leaves. One that is older than the one that
 * stated it has ended; a newer one has not stated it.
 */
export function isLeaving(notices: EndpointNotices, bornAt: Instant): boolean {
  return bornAt <= notices.leavingBornAt;
}

/**
 * Records that an incarnation asks this VM for a pause. The longest of several
 * pauses holds; one that is too long is cut to `maxPauseMilliseconds`.
 */
export function recordPause(
  notices: EndpointNotices,
  bornAt: Instant,
  milliseconds: number,
  now: Instant,
): PauseOutcome {
  notices.keepUntil = now + noticeRetentionMilliseconds;
  if (!(milliseconds >= 0)) {
    if (bornAt <= notices.faultyBornAt) return PauseOutcome.FaultyAgain;
    notices.faultyBornAt = bornAt;
    return PauseOutcome.Faulty;
  }
  const until = now + Math.min(milliseconds, maxPauseMilliseconds);
  const wasPausing = findPauseEnd(notices, bornAt, now) !== undefined;
  if (bornAt > notices.pausingBornAt) {
    notices.pausingBornAt = bornAt;
    notices.pausedUntil = until;
  } else if (bornAt === notices.pausingBornAt) {
    notices.pausedUntil = Math.max(notices.pausedUntil, until);
  }
  return wasPausing ? PauseOutcome.Extended : PauseOutcome.Started;
}

/** Finds the end of an incarnation's pause; undefined if it has none. */
export function findPauseEnd(
  {pausingBornAt, pausedUntil}: EndpointNotices,
  bornAt: Instant,
  now: Instant,
): Deadline | undefined {
  if (bornAt > pausingBornAt || isPast(pausedUntil, now)) return undefined;
  return pausedUntil;
}

/**
 * Computes the milliseconds after which a caller that was refused for a pause
 * should return: after its end, and not all callers at the same instant.
 */
export function computeReturnDelay(
  returnAt: Deadline,
  now: Instant,
  random: Random,
): number {
  const left = Math.max(0, returnAt - now);
  const spread = Math.max(
    minReturnSpreadMilliseconds,
    left * returnSpreadShare,
  );
  return left + random() * spread;
}
