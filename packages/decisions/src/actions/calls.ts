import {ActionEvent, isPast} from '@zinniaspindle/shared';
import {answerCompleted} from './answers.js';
import {cancelAttempt, dropAttempt, sendQueuedCalls} from './attempts.js';
import {CallFailure, type AttemptNumber, type RequestToken} from './inputs.js';
import {resolveWaiting} from './requests.js';
import {
  AttemptStage,
  ClaimStatus,
  formatClaimKey,
  type ActionsTurn,
  type Attempt,
} from './state.js';
import {appendOutcome} from './submissions.js';

/** Completes an attempt with the answer of the service. */
export function applyCallAnswer(
  turn: ActionsTurn,
  number: AttemptNumber,
  result: string,
): void {
  const attempt = findCall(turn, number);
  if (attempt) closeCall(turn, attempt, result);
}

/**
 * Ends an attempt whose call failed: cancels it if the call was certainly not
 * sent, else records its outcome as unknown.
 */
export function applyCallFailure(
  turn: ActionsTurn,
  number: AttemptNumber,
  failure: CallFailure,
): void {
  const attempt = findCall(turn, number);
  if (!attempt) return;
  if (failure === CallFailure.Unknown) {
    closeCall(turn, attempt);
    return;
  }
  const {account, key, service} = attempt.initiator;
  cancelAttempt(turn, attempt, 'the service could not be reached');
  sendQueuedCalls(turn, service);
  resolveWaiting(turn, formatClaimKey(account, key));
}

/** Records an unknown outcome for each call whose answer is overdue. */
export function expireCalls(turn: ActionsTurn): void {
  for (const attempt of [...turn.state.attempts.values()]) {
    if (attempt.stage !== AttemptStage.Calling) continue;
    if (isPast(attempt.callExpiresAt, turn.now)) closeCall(turn, attempt);
  }
}

/** Applies the answer to a look-up of a call with unknown outcome. */
export function applyLookup(
  turn: ActionsTurn,
  token: RequestToken,
  result: string | undefined,
): void {
  const waiting = turn.state.waiting.get(token);
  // A missing result proves nothing: the call may still be in transit.
  if (!waiting || result === undefined) return;
  const {request} = waiting;
  const claimKey = formatClaimKey(request.account, request.key);
  const entry = turn.state.claims.get(claimKey);
  answerCompleted(turn, request, result);
  if (entry?.writer !== turn.state.options.writer) return;
  if (entry.fate !== ClaimStatus.OutcomeUnknown) return;
  entry.fate = ClaimStatus.Completed;
  entry.result = result;
  appendOutcome(turn, request, entry.offset, result);
  resolveWaiting(turn, claimKey);
}

function findCall(
  turn: ActionsTurn,
  number: AttemptNumber,
): Attempt | undefined {
  const attempt = turn.state.attempts.get(number);
  return attempt?.stage === AttemptStage.Calling ? attempt : undefined;
}

/** Records the outcome of a call and answers all requests that wait for it. */
function closeCall(turn: ActionsTurn, attempt: Attempt, result?: string): void {
  const {initiator, claim} = attempt;
  const claimKey = formatClaimKey(initiator.account, initiator.key);
  const entry = turn.state.claims.get(claimKey);
  dropAttempt(turn, attempt);
  if (entry?.offset === claim) {
    entry.fate =
      result === undefined ? ClaimStatus.OutcomeUnknown : ClaimStatus.Completed;
    if (result !== undefined) entry.result = result;
  }
  appendOutcome(turn, initiator, claim, result);
  turn.logEvents.push({
    event:
      result === undefined
        ? ActionEvent.CallOutcomeUnknown
        : ActionEvent.CallAnswered,
    fields: {key: initiator.key, service: initiator.service, offset: claim},
  });
  resolveWaiting(turn, claimKey);
  sendQueuedCalls(turn, initiator.service);
}
