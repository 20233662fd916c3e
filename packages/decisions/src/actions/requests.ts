import {ActionEvent, FinalAnswer} from '@zinniaspindle/shared';
import {
  answerCompleted,
  answerNotRun,
  answerOutcomeUnknown,
  answerRejected,
  answerRequest,
  isDue,
} from './answers.js';
import {cancelAttempt, countAttempts, startAttempt} from './attempts.js';
import {ActionCommandKind} from './commands.js';
import type {ActionRequest, RequestToken} from './inputs.js';
import {checkKeyAge, computeKeyExpiry, KeyAge} from './key_age.js';
import {ActionGuard} from './options.js';
import {
  AttemptStage,
  ClaimStatus,
  formatClaimKey,
  isGuarded,
  type ActionsTurn,
  type Attempt,
  type ClaimEntry,
  type WaitingRequest,
} from './state.js';
import {appendAbandonment} from './submissions.js';

/** Accepts a request, or answers it at once if it can't run. */
export function acceptRequest(turn: ActionsTurn, request: ActionRequest): void {
  const fault = describeKeyFault(turn, request);
  if (fault !== undefined) {
    answerRejected(turn, request, fault);
    return;
  }
  const refusal = describeRefusal(turn, request);
  if (refusal !== undefined) {
    answerNotRun(turn, request, refusal);
    return;
  }
  const waiting = addWaiting(turn, request);
  joinOrStartAttempt(turn, waiting);
}

/** Re-evaluates every request that waits for a key. */
export function resolveWaiting(turn: ActionsTurn, claimKey: string): void {
  const tokens = turn.state.waitingByKey.get(claimKey) ?? [];
  for (const token of [...tokens]) {
    const waiting = turn.state.waiting.get(token);
    if (waiting) joinOrStartAttempt(turn, waiting);
  }
}

/** Answers every waiting request that has reached its deadline. */
export function expireRequests(turn: ActionsTurn): void {
  for (const waiting of [...turn.state.waiting.values()]) {
    if (!turn.state.waiting.has(waiting.request.request)) continue;
    if (!isDue(turn, waiting.deadline)) continue;
    expireRequest(turn, waiting, 'the deadline passed');
  }
}

/** Answers every waiting request, since this VM ends. */
export function answerWaiting(turn: ActionsTurn): void {
  for (const waiting of [...turn.state.waiting.values()]) {
    if (!turn.state.waiting.has(waiting.request.request)) continue;
    expireRequest(turn, waiting, 'the entry VM stops');
  }
}

/**
 * Cancels a request whose caller disconnected; a call already sent continues.
 */
export function cancelRequest(turn: ActionsTurn, token: RequestToken): void {
  const waiting = turn.state.waiting.get(token);
  if (!waiting) return;
  const {request} = waiting;
  const attempt = findAttempt(turn, request);
  const detail = 'the caller closed its connection';
  answerRequest(turn, request, {answer: FinalAnswer.Cancelled, detail});
  if (attempt?.initiator !== request) return;
  if (attempt.stage === AttemptStage.Calling) return;
  cancelAttempt(turn, attempt, detail);
  resolveWaiting(turn, formatClaimKey(request.account, request.key));
}

/** Looks up calls at their service whose outcome is not known here. */
export function sendLookups(turn: ActionsTurn): void {
  for (const waiting of turn.state.waiting.values()) {
    if (waiting.lookUpAt === undefined) continue;
    if (!isDue(turn, waiting.lookUpAt)) continue;
    const {request, service, key} = waiting.request;
    const kind = ActionCommandKind.LookUp;
    turn.commands.push({kind, request, service, key});
    waiting.lookUpAt = turn.now + turn.state.options.lookupMilliseconds;
  }
}

function describeKeyFault(
  turn: ActionsTurn,
  request: ActionRequest,
): string | undefined {
  switch (checkKeyAge(turn.state, request.key, turn.now)) {
    case KeyAge.FromFuture:
      return `key ${request.key} has a creation time in the future`;
    case KeyAge.NotUuidV7:
      return `key ${request.key} is not a UUIDv7`;
    case KeyAge.TooOld:
      return `key ${request.key} is older than half the log's retention`;
    case KeyAge.Valid:
      return undefined;
  }
}

function describeRefusal(
  turn: ActionsTurn,
  request: ActionRequest,
): string | undefined {
  if (!turn.state.ready) return 'this VM has not read all claims of the log';
  if (isDue(turn, request.deadline)) return 'the deadline has passed';
  const attempts = countAttempts(turn, request.service);
  if (attempts < turn.state.options.maxAttemptsPerService) return undefined;
  return `this VM already runs ${attempts} actions for ${request.service}`;
}

function addWaiting(turn: ActionsTurn, request: ActionRequest): WaitingRequest {
  const {state} = turn;
  const keyExpiry = computeKeyExpiry(state, request.key);
  const guarded = isGuarded(state, ActionGuard.KeyAge);
  const deadline = guarded
    ? Math.min(request.deadline, keyExpiry)
    : request.deadline;
  const waiting: WaitingRequest = {request, deadline};
  state.waiting.set(request.request, waiting);
  const claimKey = formatClaimKey(request.account, request.key);
  const tokens = state.waitingByKey.get(claimKey) ?? new Set();
  state.waitingByKey.set(claimKey, tokens.add(request.request));
  return waiting;
}

/** Joins the current attempt or claim of the key, or starts an attempt. */
function joinOrStartAttempt(turn: ActionsTurn, waiting: WaitingRequest): void {
  const {request} = waiting;
  const attempt = findAttempt(turn, request);
  if (attempt) {
    joinAttempt(turn, request, attempt);
    return;
  }
  const claimKey = formatClaimKey(request.account, request.key);
  const entry = turn.state.claims.get(claimKey);
  if (entry && !isSameAction(entry, request)) {
    answerKeyReused(turn, request);
    return;
  }
  if (!entry || entry.fate === ClaimStatus.Abandoned) {
    delete waiting.lookUpAt;
    if (!isDue(turn, waiting.deadline)) startAttempt(turn, waiting);
    return;
  }
  joinClaim(turn, waiting, entry);
}

function joinAttempt(
  turn: ActionsTurn,
  request: ActionRequest,
  attempt: Attempt,
): void {
  if (isSameAction(attempt.initiator, request)) return;
  answerKeyReused(turn, request);
}

function joinClaim(
  turn: ActionsTurn,
  waiting: WaitingRequest,
  entry: ClaimEntry,
): void {
  const {request} = waiting;
  if (entry.result !== undefined) {
    answerCompleted(turn, request, entry.result);
    return;
  }
  const unknown = entry.fate === ClaimStatus.OutcomeUnknown;
  if (unknown && !request.hasLookup) {
    const detail = 'the call was sent and its answer was lost';
    answerOutcomeUnknown(turn, request, detail);
    return;
  }
  turn.logEvents.push({
    event: ActionEvent.ActionJoined,
    fields: {key: request.key, offset: entry.offset, writer: entry.writer},
  });
  if (!request.hasLookup) return;
  const {lookupMilliseconds} = turn.state.options;
  waiting.lookUpAt = unknown ? turn.now : turn.now + lookupMilliseconds;
}

function expireRequest(
  turn: ActionsTurn,
  waiting: WaitingRequest,
  reason: string,
): void {
  const {request} = waiting;
  const attempt = findAttempt(turn, request);
  const claimKey = formatClaimKey(request.account, request.key);
  const entry = turn.state.claims.get(claimKey);
  if (
    attempt?.initiator === request &&
    attempt.stage !== AttemptStage.Calling
  ) {
    cancelAttempt(turn, attempt, `${reason} before the call`);
    resolveWaiting(turn, claimKey);
    return;
  }
  if (!attempt && !canHaveRun(turn, entry)) {
    answerNotRun(turn, request, `${reason} before a claim won`);
    return;
  }
  if (!isGuarded(turn.state, ActionGuard.OnlyClaimantAbandons) && entry) {
    appendAbandonment(turn, request, entry.offset);
    answerNotRun(turn, request, 'abandoned on behalf of the claimant');
    return;
  }
  const detail = `${reason} before the outcome was known`;
  answerOutcomeUnknown(turn, request, detail);
}

/**
 * Tells whether the action of a claim without a current attempt may have run or
 * may still run. This VM's own active claim without an attempt was cancelled.
 */
function canHaveRun(turn: ActionsTurn, entry: ClaimEntry | undefined): boolean {
  if (!entry || entry.fate === ClaimStatus.Abandoned) return false;
  const isOwn = entry.writer === turn.state.options.writer;
  return !isOwn || entry.fate !== ClaimStatus.Active;
}

function findAttempt(
  turn: ActionsTurn,
  request: ActionRequest,
): Attempt | undefined {
  const claimKey = formatClaimKey(request.account, request.key);
  return turn.state.attemptByKey.get(claimKey);
}

function isSameAction(
  known: Pick<ActionRequest, 'digest' | 'service'>,
  request: ActionRequest,
): boolean {
  return known.digest === request.digest && known.service === request.service;
}

function answerKeyReused(turn: ActionsTurn, request: ActionRequest): void {
  const detail = `key ${request.key} was used for a different action or body`;
  answerRejected(turn, request, detail);
}
