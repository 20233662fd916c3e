import type {RequestId} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import type {DropMessage, GetMessage, PutMessage} from './messages.js';
import {PutOutcome, RecordMessageKind} from './messages.js';
import {applyWinner} from './stale_owners.js';
import type {Ownership, RequestRecord} from './record.js';
import {compareOwnership, getRequest, measureRecord} from './record.js';
import type {RecordTurn} from './state.js';
import {RecordCommandKind} from './state.js';

/** Stores a record for its owner and answers with the outcome. */
export function handlePut(turn: RecordTurn, message: PutMessage): void {
  const {record} = message;
  const request = getRequest(record);
  const outcome = addRecord(turn, record);
  const winner = findOwnership(turn, request);
  const {attempt, owner} = record;
  const answer = {
    kind: RecordMessageKind.PutAck,
    sender: turn.state.self.vm,
    request,
    put: {attempt, owner},
    outcome,
  } as const;
  const superseded = outcome === PutOutcome.Superseded && winner !== undefined;
  turn.commands.push({
    kind: RecordCommandKind.Send,
    to: message.sender,
    message: superseded ? {...answer, winner} : answer,
  });
}

/** Answers with the record of a request that this VM holds or owns, if any. */
export function handleGet(turn: RecordTurn, message: GetMessage): void {
  const {request, sender} = message;
  const record = findRecord(turn, request);
  const answer = {
    kind: RecordMessageKind.GetAnswer,
    sender: turn.state.self.vm,
    request,
  } as const;
  turn.commands.push({
    kind: RecordCommandKind.Send,
    to: sender,
    message: record === undefined ? answer : {...answer, record},
  });
}

/** Drops the record of an ended request, unless a later owner runs it. */
export function handleDrop(turn: RecordTurn, message: DropMessage): void {
  const held = turn.state.held.get(message.request);
  if (held === undefined) return;
  if (compareOwnership(held.record, message.by) > 0) return;
  dropHeld(turn, message.request);
}

/** Drops the records whose deadline has passed. */
export function expireHeld(turn: RecordTurn): void {
  for (const [request, {record}] of turn.state.held) {
    if (isPast(record.spec.deadline, turn.now)) dropHeld(turn, request);
  }
}

/** Finds a record that this VM holds or owns. */
export function findRecord(
  turn: RecordTurn,
  request: RequestId,
): RequestRecord | undefined {
  const owned = turn.state.owned.get(request)?.record;
  const held = turn.state.held.get(request)?.record;
  if (owned === undefined || held === undefined) return owned ?? held;
  return compareOwnership(owned, held) >= 0 ? owned : held;
}

function addRecord(turn: RecordTurn, record: RequestRecord): PutOutcome {
  const {state} = turn;
  const request = getRequest(record);
  const current = findRecord(turn, request);
  const {guards, maxHeldBytes: maxBytes} = state.options;
  if (guards.ownership && current !== undefined) {
    const order = compareOwnership(current, record);
    if (order > 0) return PutOutcome.Superseded;
    // A delayed put of the same attempt must not replace a newer record.
    const isOlder = current.given.length > record.given.length;
    if (order === 0 && isOlder) return PutOutcome.Held;
  }
  const before = state.held.get(request);
  const bytes = measureRecord(record);
  const total = state.heldBytes - (before?.bytes ?? 0) + bytes;
  if (guards.ownership) applyWinner(turn, request, record);
  if (guards.memory && total > maxBytes) return refusePut(turn, request, bytes);
  state.held.set(request, {record, bytes});
  state.heldBytes = total;
  const {attempt, owner} = record;
  const fields = {request, attempt, owner};
  turn.logEvents.push({event: MembershipEvent.RecordStored, fields});
  return PutOutcome.Held;
}

function refusePut(
  turn: RecordTurn,
  request: RequestId,
  bytes: number,
): PutOutcome {
  const {heldBytes, options} = turn.state;
  dropHeld(turn, request);
  const reason = `${heldBytes} bytes held plus ${bytes} exceed the limit of ${options.maxHeldBytes}`;
  const fields = {request, reason};
  turn.logEvents.push({event: MembershipEvent.RecordRefused, fields});
  return PutOutcome.Full;
}

function findOwnership(
  turn: RecordTurn,
  request: RequestId,
): Ownership | undefined {
  const record = findRecord(turn, request);
  if (record === undefined) return undefined;
  return {attempt: record.attempt, owner: record.owner};
}

/** Drops a held record. */
export function dropHeld(turn: RecordTurn, request: RequestId): void {
  const held = turn.state.held.get(request);
  if (held === undefined) return;
  turn.state.held.delete(request);
  turn.state.heldBytes -= held.bytes;
}
