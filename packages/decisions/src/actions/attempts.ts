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

/** Starts an attempt by submitting a claim on the request's key. */
export function startAttempt(turn: ActionsTurn, waiting: WaitingRequest): void {
  const {state} = turn;
  const attempt: Attempt = {
    number: state.nextAttempt,
    initiator: waiting.request,
    deadline: waiting.deadline,
    stage: AttemptStage.Claiming,
    claim: -1,
    callExpiresAt: 0,
  };
  state.nextAttempt += 1;
  state.attempts.set(attempt.number, attempt);
  state.attemptByKey.set(formatAttemptKey(attempt), attempt);
  appendClaim(turn, attempt);
  turn.logEvents.push({
    event: ActionEvent.ClaimSubmitted,
    fields: {key: waiting.request.key, attempt: attempt.number},
  });
  if (!isGuarded(state, ActionGuard.ReadBack)) sendCall(turn, attempt);
}

/** Continues an attempt whose claim was read back from the log and won. */
export function resumeWonAttempt(
  turn: ActionsTurn,
  attempt: Attempt,
  claim: Offset,
): void {
  attempt.claim = claim;
  turn.logEvents.push({
    event: ActionEvent.ClaimWon,
    fields: {key: attempt.initiator.key, offset: claim},
  });
  if (attempt.stage === AttemptStage.Calling) return;
  const keeps = isGuarded(turn.state, ActionGuard.AbandonmentIsFinal);
  if (keeps && isDue(turn, attempt.deadline)) {
    cancelAttempt(turn, attempt, 'the claim was read back after the deadline');
    return;
  }
  if (!turn.state.ready) {
    cancelAttempt(turn, attempt, 'this VM has not read all claims of the log');
    return;
  }
  attempt.stage = AttemptStage.Queued;
  sendQueuedCalls(turn, attempt.initiator.service);
}

/**
 * Cancels an attempt that has not sent its call and answers its initiator. A
 * claim that was read back is abandoned in the log at once; otherwise it is
 * abandoned when it appears in the log.
 */
export function cancelAttempt(
  turn: ActionsTurn,
  attempt: Attempt,
  reason: string,
): void {
  dropAttempt(turn, attempt);
  if (attempt.claim >= 0) {
    appendAbandonment(turn, attempt.initiator, attempt.claim);
  }
  if (!isGuarded(turn.state, ActionGuard.AbandonmentIsFinal)) {
    turn.state.attempts.set(attempt.number, attempt);
  }
  if (!turn.state.waiting.has(attempt.initiator.request)) return;
  answerNotRun(turn, attempt.initiator, reason);
}

/** Removes an attempt that has ended. */
export function dropAttempt(turn: ActionsTurn, attempt: Attempt): void {
  const {state} = turn;
  state.attempts.delete(attempt.number);
  const claimKey = formatAttemptKey(attempt);
  if (state.attemptByKey.get(claimKey) !== attempt) return;
  state.attemptByKey.delete(claimKey);
}

/** Sends queued calls to a service up to its limit of concurrent calls. */
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
    if (attempt.initiator.service !== service) continue;
    if (attempt.stage !== AttemptStage.Queued) continue;
    sendCall(turn, attempt);
    free -= 1;
  }
}

/** Counts this VM's attempts for a service, optionally in one stage only. */
export function countAttempts(
  turn: ActionsTurn,
  service: ActionRequest['service'],
  stage?: AttemptStage,
): number {
  let count = 0;
  for (const attempt of turn.state.attempts.values()) {
    if (attempt.initiator.service !== service) continue;
    if (stage === undefined || attempt.stage === stage) count += 1;
  }
  return count;
}

function sendCall(turn: ActionsTurn, attempt: Attempt): void {
  const {request, account, key, service, callMilliseconds} = attempt.initiator;
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

function formatAttemptKey(attempt: Attempt): string {
  return formatClaimKey(attempt.initiator.account, attempt.initiator.key);
}
