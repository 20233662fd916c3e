import type {Instant, CodedError, Random} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import {
  applyCallAnswer,
  applyCallFailure,
  applyLookup,
  expireCalls,
} from './calls.js';
import {expireClaims} from './claims.js';
import type {ActionCommand} from './commands.js';
import {makeDuplicateRequestError, type ActionsErrorCode} from './errors.js';
import {applySubmitOutcome, foldRecord, loadWindow} from './folding.js';
import {ActionInputKind, type ActionInput} from './inputs.js';
import {
  acceptRequest,
  answerWaiting,
  cancelRequest,
  expireRequests,
  sendLookups,
} from './requests.js';
import type {ActionsState, ActionsTurn} from './state.js';
import {appendDueRecords} from './submissions.js';

/**
 * Runs one step of the state machine for protected actions. Each action runs at
 * most once, however many requests with its key reach any VMs. Fails only if
 * the host reuses the token of a request that still waits.
 */
export function decideActions(
  state: ActionsState,
  input: ActionInput,
  now: Instant,
  random: Random,
): Result<Step<ActionsState, ActionCommand>, CodedError<ActionsErrorCode>> {
  if (input.kind === ActionInputKind.Requested) {
    const {request} = input.request;
    if (state.waiting.has(request)) {
      return Result.err(makeDuplicateRequestError(request));
    }
  }
  const turn: ActionsTurn = startTurn(state, now, random);
  applyInput(turn, input);
  return Result.ok(toStep(turn));
}

function applyInput(turn: ActionsTurn, input: ActionInput): void {
  switch (input.kind) {
    case ActionInputKind.CallAnswered:
      applyCallAnswer(turn, input.attempt, input.result);
      return;
    case ActionInputKind.CallFailed:
      applyCallFailure(turn, input.attempt, input.failure);
      return;
    case ActionInputKind.CallerGone:
      cancelRequest(turn, input.request);
      return;
    case ActionInputKind.Folded:
      foldRecord(turn, input.record);
      return;
    case ActionInputKind.LookupAnswered:
      applyLookup(turn, input.request, input.result);
      return;
    case ActionInputKind.ReadyChanged:
      turn.state.ready = input.ready;
      return;
    case ActionInputKind.Requested:
      acceptRequest(turn, input.request);
      return;
    case ActionInputKind.StopReached:
      answerWaiting(turn);
      return;
    case ActionInputKind.SubmitResolved:
      applySubmitOutcome(turn, input.token, input.outcome);
      return;
    case ActionInputKind.Tick:
      applyTick(turn);
      return;
    case ActionInputKind.WindowLoaded:
      loadWindow(turn, input.window);
      return;
  }
}

function applyTick(turn: ActionsTurn): void {
  expireCalls(turn);
  expireRequests(turn);
  sendLookups(turn);
  appendDueRecords(turn);
  expireClaims(turn.state, turn.now);
}
