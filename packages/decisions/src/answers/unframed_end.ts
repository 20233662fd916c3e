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
  AfterStall = 'it came after a silence like that of a stalled path',
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

/** The silence of an answer before its end. */
export interface EndSilence {
  readonly milliseconds: number;
  /** Whether the answer depended on further endpoints. */
  readonly isOfPath: boolean;
  /**
   * Time for which an endpoint waits for another one that is gone, before it ends
   * the answer.
   */
  readonly stallMilliseconds: number;
}

/**
 * Share of the stall time from which a silence counts as a stall: the last bytes may
 * be on their way for longer than the end.
 */
const stallShare = 0.6;

/**
 * Tells whether an endpoint may have ended an answer because another endpoint of its
 * path was gone. It is sound itself, so that only the silence shows this.
 */
export function isAfterStall(silence: EndSilence): boolean {
  const {milliseconds, isOfPath, stallMilliseconds} = silence;
  return isOfPath && milliseconds >= stallShare * stallMilliseconds;
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
