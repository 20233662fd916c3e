/** What the end of an answer says of its stream; the texts are for the log. */
export enum EndVerdict {
  Complete = 'complete',
  WithinEvent = 'stream ended within an event',
  /** It brought no event, and it is not certain that none is left. */
  WithoutEvent = 'stream ended without an event',
}

/** What is known when the answer of an attempt at a stream has ended. */
export interface EndEvidence {
  /** Whether the answer stated where it ends, by a length or chunks. */
  readonly isFramed: boolean;
  /** Whether it brought an event. */
  readonly hasEvents: boolean;
  /** Whether anything followed its last whole event. */
  readonly hasPartialEvent: boolean;
  /** Whether it was to go on after an event that the caller has. */
  readonly isResumed: boolean;
  /** Whether an earlier attempt had begun a further event. */
  readonly hasNextEvent: boolean;
  /** Endpoints whose framed answer brought no further event, this one included. */
  readonly emptyEnds: number;
}

/** Endpoints that must agree that no event is left. */
const minEmptyEnds = 2;

/**
 * Verifies that a stream is complete at the end of an answer. One without an
 * event shows that only together with that of another endpoint: the earlier
 * attempt has broken off, so that nothing else tells whether an event is left.
 */
export function verifyStreamEnd(evidence: EndEvidence): EndVerdict {
  if (evidence.hasPartialEvent) return EndVerdict.WithinEvent;
  if (evidence.hasEvents) return EndVerdict.Complete;
  const isPossible =
    evidence.isFramed && evidence.isResumed && !evidence.hasNextEvent;
  const isConfirmed = evidence.emptyEnds >= minEmptyEnds;
  return isPossible && isConfirmed
    ? EndVerdict.Complete
    : EndVerdict.WithoutEvent;
}

/**
 * Verifies that a stream of a service without a model is complete at the end of
 * its answer. One that no length or chunk ends, and that brought no event, may have
 * been broken off before its first one.
 */
export function verifyPlainStreamEnd({
  isFramed,
  hasEvents,
  hasPartialEvent,
}: Pick<
  EndEvidence,
  'isFramed' | 'hasEvents' | 'hasPartialEvent'
>): EndVerdict {
  if (hasPartialEvent) return EndVerdict.WithinEvent;
  return isFramed || hasEvents ? EndVerdict.Complete : EndVerdict.WithoutEvent;
}
