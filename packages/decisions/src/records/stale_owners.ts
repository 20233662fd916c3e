import type {RequestId, VmId} from '@zinniaspindle/shared';
import {isPast} from '@zinniaspindle/shared';
import type {SupersededAckMessage, SupersededMessage} from './messages.js';
import {RecordMessageKind} from './messages.js';
import {handleWinner} from './owner.js';
import type {RequestRecord} from './record.js';
import type {StaleOwner, RecordTurn} from './state.js';
import {RecordCommandKind} from './state.js';

const maxResendMilliseconds = 5000;

/** Notifies this VM and the owner of its held record of a later owner. */
export function applyWinner(
  turn: RecordTurn,
  request: RequestId,
  record: RequestRecord,
): void {
  const {attempt, owner} = record;
  const winner = {attempt, owner};
  handleWinner(turn, request, winner);
  const stale = turn.state.held.get(request)?.record.owner;
  if (stale !== undefined) addStaleOwner(turn, stale, record);
}

/** Notifies an owner that it was superseded, until it acknowledges. */
export function addStaleOwner(
  turn: RecordTurn,
  vm: VmId,
  record: RequestRecord,
): void {
  const {attempt, owner, spec} = record;
  if (vm === owner || vm === turn.state.self.vm) return;
  const stale: StaleOwner = {
    vm,
    request: spec.id,
    winner: {attempt, owner},
    expiresAt: spec.deadline,
    resendAt: 0,
    sends: 0,
  };
  turn.state.staleOwners.set(formatStaleOwnerKey(vm, spec.id), stale);
  sendSuperseded(turn, stale);
}

/** Ends this VM's ownership and acknowledges the message. */
export function handleSuperseded(
  turn: RecordTurn,
  message: SupersededMessage,
): void {
  const {request, sender, winner} = message;
  handleWinner(turn, request, winner);
  const kind = RecordMessageKind.SupersededAck;
  turn.commands.push({
    kind: RecordCommandKind.Send,
    to: sender,
    message: {kind, sender: turn.state.self.vm, request},
  });
}

/** Stops notifying an owner that acknowledged. */
export function handleSupersededAck(
  turn: RecordTurn,
  message: SupersededAckMessage,
): void {
  const key = formatStaleOwnerKey(message.sender, message.request);
  turn.state.staleOwners.delete(key);
}

/** Resends unacknowledged notifications and drops expired ones. */
export function updateStaleOwners(turn: RecordTurn): void {
  for (const [key, stale] of turn.state.staleOwners) {
    if (isPast(stale.expiresAt, turn.now)) turn.state.staleOwners.delete(key);
    else if (turn.now >= stale.resendAt) sendSuperseded(turn, stale);
  }
}

function sendSuperseded(turn: RecordTurn, stale: StaleOwner): void {
  const {options, self} = turn.state;
  const wait = options.resendMilliseconds * 2 ** stale.sends;
  stale.resendAt = turn.now + Math.min(wait, maxResendMilliseconds);
  stale.sends += 1;
  const {request, winner} = stale;
  const kind = RecordMessageKind.Superseded;
  turn.commands.push({
    kind: RecordCommandKind.Send,
    to: stale.vm,
    message: {kind, sender: self.vm, request, winner},
  });
}

function formatStaleOwnerKey(vm: VmId, request: RequestId): string {
  return `${vm}/${request}`;
}
