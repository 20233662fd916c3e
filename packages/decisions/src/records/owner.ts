import type {RequestId, VmId} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import {sortHolders, sortHoldersForOwner} from './holders.js';
import type {PutAckMessage} from './messages.js';
import {PutOutcome, RecordMessageKind} from './messages.js';
import type {Ownership, RequestRecord} from './record.js';
import {compareOwnership, getRequest} from './record.js';
import type {OwnedRecord, RecordTurn} from './state.js';
import {RecordCommandKind} from './state.js';

/** Stores a record that this VM owns at its holders. */
export function addOwned(
  turn: RecordTurn,
  record: RequestRecord,
  common: readonly VmId[] = [],
): OwnedRecord {
  const request = getRequest(record);
  const before = turn.state.owned.get(request);
  const owned: OwnedRecord = {
    record,
    pending: new Map(),
    holders: new Set(),
    refused: new Set(),
    reported: false,
    beginAt: undefined,
    common,
    assertAt: turn.now + turn.state.options.assertMilliseconds,
  };
  turn.state.owned.set(request, owned);
  const again = [...(before?.holders ?? []), ...(before?.pending.keys() ?? [])];
  for (const vm of [...again, ...common]) sendPut(turn, owned, vm);
  addHolders(turn, owned);
  return owned;
}

/** Takes a holder's answer. */
export function handlePutAck(turn: RecordTurn, message: PutAckMessage): void {
  const owned = turn.state.owned.get(message.request);
  if (owned === undefined) return;
  if (compareOwnership(owned.record, message.put) !== 0) return;
  owned.pending.delete(message.sender);
  switch (message.outcome) {
    case PutOutcome.Held:
      owned.holders.add(message.sender);
      reportHeld(turn, owned);
      return;
    case PutOutcome.Full:
      owned.refused.add(message.sender);
      addHolders(turn, owned);
      return;
    case PutOutcome.Superseded:
      if (message.winner !== undefined) {
        handleWinner(turn, message.request, message.winner);
      }
  }
}

/** Ends this VM's ownership when another owner has won. */
export function handleWinner(
  turn: RecordTurn,
  request: RequestId,
  winner: Ownership,
): void {
  const owned = turn.state.owned.get(request);
  if (owned === undefined || !turn.state.options.guards.ownership) return;
  if (compareOwnership(owned.record, winner) >= 0) return;
  turn.state.owned.delete(request);
  const kind = RecordCommandKind.EndStream;
  turn.commands.push({kind, request, winner});
  const {attempt} = owned.record;
  const fields = {
    request,
    attempt,
    owner: winner.owner,
    winner: winner.attempt,
  };
  turn.logEvents.push({event: MembershipEvent.ResumeLost, fields});
}

/** Tells the holders that a request is over. */
export function releaseOwned(turn: RecordTurn, request: RequestId): void {
  const owned = turn.state.owned.get(request);
  if (owned === undefined) return;
  turn.state.owned.delete(request);
  const {attempt, owner} = owned.record;
  const message = {
    kind: RecordMessageKind.Drop,
    sender: turn.state.self.vm,
    request,
    by: {attempt, owner},
  } as const;
  for (const to of [...owned.holders, ...owned.pending.keys()]) {
    turn.commands.push({kind: RecordCommandKind.Send, to, message});
  }
}

/** Sends unanswered puts again and drops what has expired. */
export function updateOwned(turn: RecordTurn): void {
  for (const [request, owned] of turn.state.owned) {
    if (isPast(owned.record.spec.deadline, turn.now)) {
      turn.state.owned.delete(request);
      continue;
    }
    sendPutsAgain(turn, owned);
    if (turn.now >= owned.assertAt) assertOwned(turn, owned);
    if (owned.beginAt !== undefined && isPast(owned.beginAt, turn.now)) {
      reportUnprotected(turn, owned);
      reportResumed(turn, owned);
    }
  }
}

/** Chooses new holders in place of those that are gone. */
export function updateHolders(turn: RecordTurn): void {
  const alive = new Set(turn.state.peers.map(peer => peer.vm));
  for (const owned of turn.state.owned.values()) {
    for (const vm of [...owned.holders, ...owned.pending.keys()]) {
      if (alive.has(vm)) continue;
      owned.holders.delete(vm);
      owned.pending.delete(vm);
    }
    addHolders(turn, owned);
  }
}

function addHolders(turn: RecordTurn, owned: OwnedRecord): void {
  const {options} = turn.state;
  for (const vm of sortCandidates(turn, owned.record)) {
    const wanted = owned.holders.size + owned.pending.size;
    if (wanted >= options.holdersPerRecord) return;
    const used = owned.holders.has(vm) || owned.pending.has(vm);
    if (!used && !owned.refused.has(vm)) sendPut(turn, owned, vm);
  }
  const found = owned.holders.size + owned.pending.size;
  if (found < options.holdersPerRecord) reportUnprotected(turn, owned);
}

function sortCandidates(turn: RecordTurn, record: RequestRecord): VmId[] {
  const {options, peers, self} = turn.state;
  const request = getRequest(record);
  if (options.guards.dataCentres) {
    return sortHoldersForOwner(request, self, peers);
  }
  const near = peers.filter(peer => peer.dataCentre === self.dataCentre);
  return sortHolders(request, near).map(peer => peer.vm);
}

function sendPut(turn: RecordTurn, owned: OwnedRecord, to: VmId): void {
  const {self, options} = turn.state;
  if (to === self.vm) return;
  const sends = (owned.pending.get(to)?.sends ?? 0) + 1;
  const resendAt = turn.now + options.resendMilliseconds;
  owned.pending.set(to, {sends, resendAt});
  const message = {
    kind: RecordMessageKind.Put,
    sender: self.vm,
    record: owned.record,
  } as const;
  turn.commands.push({kind: RecordCommandKind.Send, to, message});
}

function assertOwned(turn: RecordTurn, owned: OwnedRecord): void {
  owned.assertAt = turn.now + turn.state.options.assertMilliseconds;
  for (const vm of owned.common) {
    if (!owned.pending.has(vm)) sendPut(turn, owned, vm);
  }
}

function sendPutsAgain(turn: RecordTurn, owned: OwnedRecord): void {
  let lost = false;
  for (const [vm, put] of owned.pending) {
    if (turn.now < put.resendAt) continue;
    if (put.sends < turn.state.options.maxSends) {
      sendPut(turn, owned, vm);
      continue;
    }
    lost = true;
    owned.pending.delete(vm);
    owned.refused.add(vm);
  }
  if (lost) addHolders(turn, owned);
}

function reportHeld(turn: RecordTurn, owned: OwnedRecord): void {
  if (owned.beginAt !== undefined) reportResumed(turn, owned);
  if (owned.reported) return;
  owned.reported = true;
  turn.commands.push({
    kind: RecordCommandKind.Stored,
    request: getRequest(owned.record),
    attempt: owned.record.attempt,
  });
}

function reportResumed(turn: RecordTurn, owned: OwnedRecord): void {
  owned.beginAt = undefined;
  const {record} = owned;
  turn.commands.push({kind: RecordCommandKind.Resume, record});
}

function reportUnprotected(turn: RecordTurn, owned: OwnedRecord): void {
  const fields = {
    request: getRequest(owned.record),
    holders: owned.holders.size,
    wanted: turn.state.options.holdersPerRecord,
  };
  turn.logEvents.push({event: MembershipEvent.RecordUnderReplicated, fields});
}
