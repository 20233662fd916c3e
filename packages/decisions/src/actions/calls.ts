import {ActionEvent, isPast} from '@zinniaspindle/shared';
import {answerCompleted} from './answers.js';
import {cancelAttempt, dropAttempt, sendQueuedCalls} from './attempts.js';
import {CallFailure, type AttemptNumber, type RequestToken} from './inputs.js';
import {resolveWaiting} from './requests.js';
import {
  AttemptStage,
  ClaimFate,
  formatClaimKey,
  type ActionsTurn,
  type Attempt,
} from './state.js';
import {appendOutcome} from './submissions.js';

/** Concludes an attempt with the service's answer. */
export function applyCallAnswer(
  turn: ActionsTurn,
  number: AttemptNumber,
  result: string,
): void {
  const attempt = findCall(turn, number);
  if (attempt) closeCall(turn, attempt, result);
}

/** Concludes an attempt whose call failed. */
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
  const {account, key, service} = attempt.starter;
  cancelAttempt(turn, attempt, 'the service could not be reached');
  sendQueuedCalls(turn, service);
  resolveWaiting(turn, formatClaimKey(account, key));
}

/** Concludes the calls whose answer did not come in time. */
export function expireCalls(turn: ActionsTurn): void {
  for (const attempt of [...turn.state.attempts.values()]) {
    if (attempt.stage !== AttemptStage.Calling) continue;
    if (isPast(attempt.callExpiresAt, turn.now)) closeCall(turn, attempt);
  }
}

/** Applies what the service says of a call with unknown outcome. */
export function applyLookup(
  turn: ActionsTurn,
  token: RequestToken,
  result: string | undefined,
): void {
  const waiting = turn.state.waiting.get(token);
  // "Not executed" proves nothing: the call may still be on its way.
  if (!waiting || result === undefined) return;
  const {request} = waiting;
  const claimKey = formatClaimKey(request.account, request.key);
  const entry = turn.state.claims.get(claimKey);
  answerCompleted(turn, request, result);
  if (entry?.writer !== turn.state.options.writer) return;
  if (entry.fate !== ClaimFate.OutcomeUnknown) return;
  entry.fate = ClaimFate.Completed;
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

/** Records the outcome of a call and tells everyone who waits for it. */
function closeCall(turn: ActionsTurn, attempt: Attempt, result?: string): void {
  const {starter, claim} = attempt;
  const claimKey = formatClaimKey(starter.account, starter.key);
  const entry = turn.state.claims.get(claimKey);
  dropAttempt(turn, attempt);
  if (entry?.offset === claim) {
    entry.fate =
      result === undefined ? ClaimFate.OutcomeUnknown : ClaimFate.Completed;
    if (result !== undefined) entry.result = result;
  }
  appendOutcome(turn, starter, claim, result);
  turn.logEvents.push({
    event:
      result === undefined
        ? ActionEvent.CallOutcomeUnknown
        : ActionEvent.CallAnswered,
    fields: {key: starter.key, service: starter.service, offset: claim},
  });
  resolveWaiting(turn, claimKey);
  sendQueuedCalls(turn, starter.service);
}
