import {
  ActionEvent,
  FinalAnswer,
  isPast,
  type Instant,
} from '@zinniaspindle/shared';
import {ActionCommandKind, type ActionAnswer} from './commands.js';
import type {ActionRequest} from './inputs.js';
import {formatClaimKey, type ActionsTurn} from './state.js';

/** Answers a request and removes it from the state. */
export function answerRequest(
  turn: ActionsTurn,
  request: ActionRequest,
  answer: Omit<ActionAnswer, 'request'>,
): void {
  removeWaiting(turn, request);
  turn.commands.push({
    kind: ActionCommandKind.Answer,
    request: request.request,
    ...answer,
  });
  turn.logEvents.push({
    event: ActionEvent.ActionAnswered,
    fields: {key: request.key, answer: answer.answer, reason: answer.detail},
  });
}

/** Answers with the result of the service. */
export function answerCompleted(
  turn: ActionsTurn,
  request: ActionRequest,
  result: string,
): void {
  const detail = 'the service answered';
  answerRequest(turn, request, {answer: FinalAnswer.Completed, detail, result});
}

/**
 * Answers that the request did not run. A request that repeats an earlier one
 * is answered with `outcomeUnknown`, since the earlier one may still run.
 */
export function answerNotRun(
  turn: ActionsTurn,
  request: ActionRequest,
  detail: string,
): void {
  const retryAt = computeRetryAt(turn);
  if (!request.repeats) {
    const answer = FinalAnswer.NotRun;
    answerRequest(turn, request, {answer, detail, retryAt});
    return;
  }
  answerRequest(turn, request, {
    answer: FinalAnswer.OutcomeUnknown,
    detail: `${detail}; an earlier request with this key may have run`,
    retryAt,
  });
}

/** Answers that the action may or may not have run. */
export function answerOutcomeUnknown(
  turn: ActionsTurn,
  request: ActionRequest,
  detail: string,
): void {
  const answer = FinalAnswer.OutcomeUnknown;
  const retryAt = computeRetryAt(turn);
  answerRequest(turn, request, {answer, detail, retryAt});
}

/** Rejects the request's idempotency key. */
export function answerRejected(
  turn: ActionsTurn,
  request: ActionRequest,
  detail: string,
): void {
  answerRequest(turn, request, {
    answer: FinalAnswer.Rejected,
    detail,
    field: 'idempotencyKey',
    value: request.key,
  });
}

/** Tells whether a deadline has been reached. */
export function isDue(turn: ActionsTurn, deadline: Instant): boolean {
  return isPast(deadline, turn.now);
}

function computeRetryAt(turn: ActionsTurn): Instant {
  const {retryMilliseconds} = turn.state.options;
  return turn.now + Math.ceil(retryMilliseconds * (1 + turn.random()));
}

function removeWaiting(turn: ActionsTurn, request: ActionRequest): void {
  const {state} = turn;
  state.waiting.delete(request.request);
  const claimKey = formatClaimKey(request.account, request.key);
  const tokens = state.waitingByKey.get(claimKey);
  tokens?.delete(request.request);
  if (tokens?.size === 0) state.waitingByKey.delete(claimKey);
}
