import type {Instant} from '@zinniaspindle/shared';

/** A caller that reads takes bytes more often than this. */
const unreadMilliseconds = 1000;
/** A caller that opens a connection for a request has sent it by then. */
const arrivingMilliseconds = 250;
/** A caller that has begun a body sends it within this time. */
const receivingMilliseconds = 1000;

/** What a connection is closed for. */
export enum RoomFor {
  /** A new connection of a client. */
  Connection = 'connection',
  /** The connection to an endpoint that a request needs. */
  Request = 'request',
}

/** How a connection is used. */
export interface ConnectionUse {
  /** Whether a whole request, with its body, has come on it. */
  readonly hasSentRequest: boolean;
  readonly openRequests: number;
  /** Since when the only open request waits for its body; undefined for none. */
  readonly receivingSince: Instant | undefined;
  /** When its last request ended, or when it was opened. */
  readonly idleSince: Instant;
  /** Since when its caller has taken nothing of an answer; undefined for none. */
  readonly unreadSince: Instant | undefined;
}

/** In this order connections are closed to make room for others. */
enum ClosingRank {
  Silent,
  Idle,
  Receiving,
  Unread,
}

/** What a connection may be closed for, and since when. */
interface ClosingGround {
  readonly rank: ClosingRank;
  readonly since: Instant;
}

/**
 * Chooses the connection to close for another one: one that never sent a whole request,
 * then the one that is idle longest, the one that waits longest for a body, and the one
 * whose answers are unread longest. Undefined if all have requests under way, or may
 * have them at once where room is made for a request: that request can be refused, while
 * the caller of a closed connection learns nothing.
 */
export function chooseClosed<Use extends ConnectionUse>(
  connections: Iterable<Use>,
  now: Instant,
  roomFor: RoomFor,
): Use | undefined {
  let chosen: Use | undefined;
  let best: ClosingGround = {rank: Infinity, since: Infinity};
  for (const connection of connections) {
    const ground = findGround(connection, now, roomFor);
    if (ground === undefined || ground.rank > best.rank) continue;
    if (ground.rank === best.rank && ground.since >= best.since) continue;
    chosen = connection;
    best = ground;
  }
  return chosen;
}

function findGround(
  use: ConnectionUse,
  now: Instant,
  roomFor: RoomFor,
): ClosingGround | undefined {
  const {idleSince, receivingSince, unreadSince} = use;
  if (!use.hasSentRequest) {
    const mayClose =
      roomFor === RoomFor.Connection ||
      hasPassed(idleSince, arrivingMilliseconds, now);
    if (!mayClose) return undefined;
    return {rank: ClosingRank.Silent, since: idleSince};
  }
  if (use.openRequests === 0) {
    return {rank: ClosingRank.Idle, since: idleSince};
  }
  if (hasPassed(receivingSince, receivingMilliseconds, now)) {
    return {rank: ClosingRank.Receiving, since: receivingSince};
  }
  if (hasPassed(unreadSince, unreadMilliseconds, now)) {
    return {rank: ClosingRank.Unread, since: unreadSince};
  }
  return undefined;
}

function hasPassed(
  since: Instant | undefined,
  milliseconds: number,
  now: Instant,
): since is Instant {
  return since !== undefined && now - since >= milliseconds;
}
