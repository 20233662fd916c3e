/** Requests of one connection that are open at once. */
export const maxOpenRequests = 32;

/** What is done with the next request that has come on a connection. */
export enum ReadingStep {
  /** It is read now. */
  Take = 'take',
  /** It is read in a later turn of the loop, after other connections. */
  NextTurn = 'nextTurn',
  /** It is read when a request of its connection has ended. */
  Wait = 'wait',
}

/** What is open when another request has come on a connection. */
export interface ReadingState {
  /** Requests that are open on the connection. */
  readonly openRequests: number;
  /** Requests behind others of their connections, on all connections. */
  readonly requestsAhead: number;
  readonly maxRequestsAhead: number;
  /** Whether there is memory for a further request of the connection. */
  readonly hasMemory: () => boolean;
  /** Takes one of the requests ahead that a turn of the loop may read. */
  readonly takeTurn: () => boolean;
}

/**
 * Decides when the next request of a connection is read. The first one always is:
 * where there is no room for it, it is refused.
 */
export function decideReading({
  openRequests,
  requestsAhead,
  maxRequestsAhead,
  hasMemory,
  takeTurn,
}: ReadingState): ReadingStep {
  if (openRequests === 0) return ReadingStep.Take;
  if (openRequests >= maxOpenRequests) return ReadingStep.Wait;
  if (requestsAhead >= maxRequestsAhead) return ReadingStep.Wait;
  if (!hasMemory()) return ReadingStep.Wait;
  return takeTurn() ? ReadingStep.Take : ReadingStep.NextTurn;
}
