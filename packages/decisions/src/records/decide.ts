import type {Instant, CodedError, Random} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import type {RecordErrorCode} from './errors.js';
import {makeNotOwnerError} from './errors.js';
import {expireHeld, handleDrop, handleGet, handlePut} from './holder.js';
import {
  handleSuperseded,
  handleSupersededAck,
  updateStaleOwners,
} from './stale_owners.js';
import type {RecordMessage} from './messages.js';
import {RecordMessageKind} from './messages.js';
import {
  addOwned,
  handlePutAck,
  releaseOwned,
  updateHolders,
  updateOwned,
} from './owner.js';
import {getRequest} from './record.js';
import {handleGetAnswer, startSearch, updateSearches} from './search.js';
import type {
  RecordCommand,
  RecordInput,
  RecordState,
  RecordTurn,
} from './state.js';
import {RecordEventKind} from './state.js';

/** Decides where request records are replicated and which VM owns a request. */
export function decideRecords(
  state: RecordState,
  event: RecordInput,
  now: Instant,
  random: Random,
): Result<Step<RecordState, RecordCommand>, CodedError<RecordErrorCode>> {
  if (event.kind === RecordEventKind.StoreRequested) {
    const {owner} = event.record;
    const request = getRequest(event.record);
    if (owner !== state.self.vm) {
      return Result.err(makeNotOwnerError(request, owner, state.self.vm));
    }
  }
  const turn = startTurn<RecordState, RecordCommand>(state, now, random);
  handleEvent(turn, event);
  return Result.ok(toStep(turn));
}

function handleEvent(turn: RecordTurn, event: RecordInput): void {
  switch (event.kind) {
    case RecordEventKind.MessageReceived:
      handleMessage(turn, event.message);
      return;
    case RecordEventKind.PeersChanged:
      turn.state.peers = event.peers;
      updateHolders(turn);
      return;
    case RecordEventKind.ReleaseRequested:
      releaseOwned(turn, event.request);
      return;
    case RecordEventKind.ResumeRequested:
      startSearch(turn, event.request, event.deadline);
      return;
    case RecordEventKind.StoreRequested:
      addOwned(turn, event.record);
      return;
    case RecordEventKind.Tick:
      expireHeld(turn);
      updateOwned(turn);
      updateSearches(turn);
      updateStaleOwners(turn);
  }
}

function handleMessage(turn: RecordTurn, message: RecordMessage): void {
  switch (message.kind) {
    case RecordMessageKind.Drop:
      handleDrop(turn, message);
      return;
    case RecordMessageKind.Get:
      handleGet(turn, message);
      return;
    case RecordMessageKind.GetAnswer:
      handleGetAnswer(turn, message);
      return;
    case RecordMessageKind.Put:
      handlePut(turn, message);
      return;
    case RecordMessageKind.PutAck:
      handlePutAck(turn, message);
      return;
    case RecordMessageKind.Superseded:
      handleSuperseded(turn, message);
      return;
    case RecordMessageKind.SupersededAck:
      handleSupersededAck(turn, message);
  }
}
