import {ActionEvent} from '@zinniaspindle/shared';
import type {Offset} from '../log/records.js';
import {answerNotRun, isDue} from './answers.js';
import {ActionCommandKind} from './commands.js';
import type {ActionRequest} from './inputs.js';
import {ActionGuard} from './options.js';
import {
  AttemptStage,
  formatClaimKey,
  isGuarded,
  type ActionsTurn,
  type Attempt,
  type WaitingRequest,
} from './state.js';
import {appendAbandonment, appendClaim} from './submissions.js';

/** Starts an attempt with a claim on the waiting request's key. */
export function startAttempt(turn: ActionsTurn, waiting: WaitingRequest): void {
  const {state} = turn;
  const attempt: Attempt = {
    number: state.nextAttempt,
    starter: waiting.request,
    deadline: waiting.deadline,
    stage: AttemptStage.Claiming,
    claim: -1,
    callExpiresAt: 0,
  };
  state.nextAttempt += 1;
  state.attempts.set(attempt.number, attempt);
  state.attemptOfKey.set(formatStarterKey(attempt), attempt);
  appendClaim(turn, attempt);
  turn.logEvents.push({
    event: ActionEvent.ClaimSubmitted,
    fields: {key: waiting.request.key, attempt: attempt.number},
  });
  if (!isGuarded(state, ActionGuard.ReadBack)) sendCall(turn, attempt);
}

/** Goes on with an attempt whose claim was read back and is first. */
export function resumeWonAttempt(
  turn: ActionsTurn,
  attempt: Attempt,
  claim: Offset,
): void {
  attempt.claim = claim;
  turn.logEvents.push({
    event: ActionEvent.ClaimWon,
    fields: {key: attempt.starter.key, offset: claim},
  });
  if (attempt.stage === AttemptStage.Calling) return;
  const keeps = isGuarded(turn.state, ActionGuard.AbandonmentIsFinal);
  if (keeps && isDue(turn, attempt.deadline)) {
    cancelAttempt(turn, attempt, 'the claim was read back past the deadline');
    return;
  }
  if (!turn.state.ready) {
    cancelAttempt(turn, attempt, 'this VM has not read the whole log window');
    return;
  }
  attempt.stage = AttemptStage.Queued;
  sendQueuedCalls(turn, attempt.starter.service);
}

/**
 * Gives up an attempt that sent nothing and answers its starter. A claim that
 * was read back is abandoned in the log at once; one that was not is
 * abandoned when it appears.
 */
export function cancelAttempt(
  turn: ActionsTurn,
  attempt: Attempt,
  reason: string,
): void {
  dropAttempt(turn, attempt);
  if (attempt.claim >= 0) {
    appendAbandonment(turn, attempt.starter, attempt.claim);
  }
  if (!isGuarded(turn.state, ActionGuard.AbandonmentIsFinal)) {
    turn.state.attempts.set(attempt.number, attempt);
  }
  if (!turn.state.waiting.has(attempt.starter.request)) return;
  answerNotRun(turn, attempt.starter, reason);
}

/** Forgets an attempt, whose fate is decided. */
export function dropAttempt(turn: ActionsTurn, attempt: Attempt): void {
  const {state} = turn;
  state.attempts.delete(attempt.number);
  const claimKey = formatStarterKey(attempt);
  if (state.attemptOfKey.get(claimKey) !== attempt) return;
  state.attemptOfKey.delete(claimKey);
}

/** Sends queued calls to a service while it has free places. */
export function sendQueuedCalls(
  turn: ActionsTurn,
  service: ActionRequest['service'],
): void {
  const {attempts, options} = turn.state;
  let free =
    options.maxCallsPerService -
    countAttempts(turn, service, AttemptStage.Calling);
  for (const attempt of attempts.values()) {
    if (free <= 0) return;
    if (attempt.starter.service !== service) continue;
    if (attempt.stage !== AttemptStage.Queued) continue;
    sendCall(turn, attempt);
    free -= 1;
  }
}

/** Counts this VM's attempts at a service, in one stage or in any. */
export function countAttempts(
  turn: ActionsTurn,
  service: ActionRequest['service'],
  stage?: AttemptStage,
): number {
  let count = 0;
  for (const attempt of turn.state.attempts.values()) {
    if (attempt.starter.service !== service) continue;
    if (stage === undefined || attempt.stage === stage) count += 1;
  }
  return count;
}

function sendCall(turn: ActionsTurn, attempt: Attempt): void {
  const {request, account, key, service, callMilliseconds} = attempt.starter;
  attempt.stage = AttemptStage.Calling;
  attempt.callExpiresAt = turn.now + callMilliseconds;
  turn.commands.push({
    kind: ActionCommandKind.CallService,
    attempt: attempt.number,
    request,
    account,
    key,
    service,
    expiresAt: attempt.callExpiresAt,
  });
  turn.logEvents.push({
    event: ActionEvent.CallSent,
    fields: {key, service, attempt: attempt.number},
  });
}

function formatStarterKey(attempt: Attempt): string {
  return formatClaimKey(attempt.starter.account, attempt.starter.key);
}
