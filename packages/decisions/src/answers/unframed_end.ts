import type {Instant} from '@zinniaspindle/shared';

/** What an endpoint shows of itself after the end of a connection to it. */
export enum SourceState {
  /** The process that the request was sent to answers. */
  Alive = 'alive',
  /** Nothing listens at its address, or it has started again. */
  Ended = 'ended',
  /** It has not answered in time. */
  Unknown = 'unknown',
}

/**
 * What the regular end of a connection says of an answer that has neither a length
 * nor chunks; the texts are for the log.
 */
export enum UnframedVerdict {
  Whole = 'whole',
  SourceEnded = 'the endpoint ended with the connection',
  SourceUnknown = 'the endpoint did not answer after the end of the connection',
}

/** Finds whether an endpoint has started again, by the starts it states. */
export function findSourceState(
  sentTo: Instant | undefined,
  stated: Instant | undefined,
): SourceState {
  const isLater =
    sentTo !== undefined && stated !== undefined && stated > sentTo;
  return isLater ? SourceState.Ended : SourceState.Alive;
}

/**
 * Verifies the end of an answer that has neither a length nor chunks. A system ends
 * the connections of a killed process in the regular way, so that only a process
 * that outlives its connection has ended the answer itself.
 */
export function verifyUnframedEnd(source: SourceState): UnframedVerdict {
  switch (source) {
    case SourceState.Alive:
      return UnframedVerdict.Whole;
    case SourceState.Ended:
      return UnframedVerdict.SourceEnded;
    case SourceState.Unknown:
      return UnframedVerdict.SourceUnknown;
  }
}
