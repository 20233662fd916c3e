/** What an answer proves about the request that was sent before it. */
export enum AnswerProof {
  /** It is the request's own answer; the endpoint has run the request. */
  Run = 'run',
  /** The endpoint has not run the request and will not. */
  NotRun = 'notRun',
  /** Nothing: another request's answer may come before the request's own. */
  Nothing = 'nothing',
}

/** What the head of an answer states. */
export interface AnswerClaims {
  /** Id of the request that it answers; undefined if it states none. */
  readonly attemptId: string | undefined;
  /** Whether it states that its request has not run. */
  readonly isNotRun: boolean;
}

/**
 * Verifies an answer by its id. A refusal needs the id as well: a faulty endpoint
 * may write that of an earlier request again and run this one nevertheless.
 * @param attemptId id of the request; empty for a request that has none
 */
export function verifyAnswer(
  answer: AnswerClaims,
  attemptId: string,
): AnswerProof {
  if ((answer.attemptId ?? '') !== attemptId) return AnswerProof.Nothing;
  return answer.isNotRun ? AnswerProof.NotRun : AnswerProof.Run;
}

/** Statuses that promise callers that the request has not run and never will. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Tells whether a status promises that the request has not run and never will. */
export function isPromise(status: number): boolean {
  return promiseStatuses.has(status);
}

/**
 * Tells whether the caller of a request that has run may get the status that its
 * endpoint answered with. The caller of a request that may run once only would send
 * it again after a promise.
 */
export function canForwardStatus(
  status: number,
  canRunAgain: boolean,
): boolean {
  return canRunAgain || !isPromise(status);
}
