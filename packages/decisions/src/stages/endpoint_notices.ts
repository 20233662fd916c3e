import type {Deadline, Instant} from '@zinniaspindle/shared';

/** What the incarnations of one endpoint have stated about themselves. */
export interface EndpointNotices {
  /**
   * When the newest incarnation that stated that it leaves was started;
   * -Infinity before any did.
   */
  leavingBornAt: Instant;
  /** The notices may be forgotten from here, unless the endpoint is listed. */
  keepUntil: Deadline;
}

/**
 * How long notices outlast the endpoint's entry: the entry of a leaving endpoint
 * may be lost with the store's newest records and written again. Endpoints exit
 * within seconds of their notice.
 */
export const noticeRetentionMilliseconds = 600_000;

/** Creates the notices of an endpoint that has stated nothing. */
export function createEndpointNotices(): EndpointNotices {
  return {leavingBornAt: -Infinity, keepUntil: -Infinity};
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
