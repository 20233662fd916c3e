import type {Instant} from '@zinniaspindle/shared';

/** What a connection has to be written to its caller. */
export interface UnreadConnection {
  readonly unwrittenBytes: number;
  /** Since when its caller has taken nothing. */
  readonly unreadSince: Instant;
}

/**
 * Chooses the connections to close so that what is unwritten on all of them is
 * within a limit: those whose callers have taken nothing for longest.
 */
export function chooseUnread<Unread extends UnreadConnection>(
  connections: readonly Unread[],
  maxBytes: number,
): Unread[] {
  let bytes = 0;
  for (const {unwrittenBytes} of connections) bytes += unwrittenBytes;
  const chosen: Unread[] = [];
  if (bytes <= maxBytes) return chosen;
  const sorted = [...connections].sort((a, b) => a.unreadSince - b.unreadSince);
  for (const connection of sorted) {
    if (bytes <= maxBytes) break;
    chosen.push(connection);
    bytes -= connection.unwrittenBytes;
  }
  return chosen;
}
