import type {Instant} from '@zinniaspindle/shared';

/** A caller that reads takes bytes more often than this. */
const unreadMilliseconds = 1000;

/** How a connection is used. */
export interface ConnectionUse {
  /** Whether a whole head of a request has come on it. */
  readonly hasSentRequest: boolean;
  readonly openRequests: number;
  /** When its last request ended, or when it was opened. */
  readonly idleSince: Instant;
  /** Since when its caller has taken nothing of an answer; undefined for none. */
  readonly unreadSince: Instant | undefined;
}

/** In this order connections are closed to make room for others. */
enum ClosingRank {
  Silent,
  Idle,
  Unread,
}

/**
 * Chooses the connection to close for a new one: one that never sent a request,
 * then the one that is idle longest, then the one whose answers are unread longest.
 * Undefined if all have requests under way.
 */
export function chooseClosed<Use extends ConnectionUse>(
  connections: Iterable<Use>,
  now: Instant,
): Use | undefined {
  let chosen: Use | undefined;
  let lowestRank = Infinity;
  let earliest = Infinity;
  for (const connection of connections) {
    const rank = findRank(connection, now);
    if (rank === undefined || rank > lowestRank) continue;
    const {idleSince, unreadSince = idleSince} = connection;
    const since = rank === ClosingRank.Unread ? unreadSince : idleSince;
    if (rank === lowestRank && since >= earliest) continue;
    chosen = connection;
    lowestRank = rank;
    earliest = since;
  }
  return chosen;
}

function findRank(
  {hasSentRequest, openRequests, unreadSince}: ConnectionUse,
  now: Instant,
): ClosingRank | undefined {
  if (!hasSentRequest) return ClosingRank.Silent;
  if (openRequests === 0) return ClosingRank.Idle;
  if (unreadSince === undefined) return undefined;
  return now - unreadSince >= unreadMilliseconds
    ? ClosingRank.Unread
    : undefined;
}
