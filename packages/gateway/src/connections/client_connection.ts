import type http from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionUse} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {ConnectionReader} from './connection_reader.js';

/** A connection of a client. */
export interface ClientConnection {
  readonly socket: Socket;
  readonly reader: ConnectionReader;
  requestBytes: number;
  aheadBytes: number;
  /** Heads of requests that have come. */
  requestCount: number;
  lastRequestAt: Instant;
  /** Answers that are not written out. */
  readonly responses: Set<http.ServerResponse>;
  idleSince: Instant;
  /** Since when its caller has taken nothing of an answer; undefined for none. */
  unreadSince: Instant | undefined;
  /** What the kernel had taken of its answers at the last check. */
  takenBytes: number;
}

/** Describes how a connection is used. */
export function describeUse({
  reader,
  requestCount,
  lastRequestAt,
  responses,
  idleSince,
  unreadSince,
}: ClientConnection): ConnectionUse {
  const isReceiving = reader.isReceiving();
  const openRequests = responses.size;
  return {
    hasSentRequest: requestCount > (isReceiving ? 1 : 0),
    openRequests,
    idleSince,
    receivingSince:
      isReceiving && openRequests === 1 ? lastRequestAt : undefined,
    unreadSince,
  };
}

/**
 * Updates since when the caller of a connection has taken nothing; returns the bytes
 * that are not written.
 */
export function updateUnread(
  connection: ClientConnection,
  now: Instant,
): number {
  const {socket, responses} = connection;
  let unwritten = socket.writableLength;
  for (const response of responses) {
    // An answer that waits behind another one keeps its bytes itself.
    if (response.socket === null) unwritten += response.writableLength;
  }
  const taken = socket.bytesWritten - socket.writableLength;
  const hasTaken = taken !== connection.takenBytes;
  connection.takenBytes = taken;
  if (unwritten === 0) connection.unreadSince = undefined;
  else if (hasTaken) connection.unreadSince = now;
  else connection.unreadSince ??= now;
  return unwritten;
}
