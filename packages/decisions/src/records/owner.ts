import type {RequestId, VmId} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import {sortHolders, sortHoldersForOwner} from './holders.js';
import type {PutAckMessage} from './messages.js';
import {PutOutcome, RecordMessageKind} from './messages.js';
import type {Ownership, RequestRecord} from './record.js';
import {compareOwnership, getRequest} from './record.js';
import type {OwnedRecord, RecordTurn} from './state.js';
import {RecordCommandKind} from './state.js';

/**
 * Replicates a record that this VM owns to its holders, and to the peers that
 * were searched when the request was resumed.
 */
export function addOwned(
  turn: RecordTurn,
  record: RequestRecord,
  searchedPeers: readonly VmId[] = [],
): OwnedRecord {
  const request = getRequest(record);
  const before = turn.state.owned.get(request);
  const owned: OwnedRecord = {
    record,
    pending: new Map(),
    holders: new Set(),
    refused: new Set(),
    storedReported: false,
    resumeDeadline: undefined,
    searchedPeers,
    reassertAt: turn.now + turn.state.options.reassertMilliseconds,
  };
  turn.state.owned.set(request, owned);
  const known = [...(before?.holders ?? []), ...(before?.pending.keys() ?? [])];
  for (const vm of [...known, ...searchedPeers]) sendPut(turn, owned, vm);
  addHolders(turn, owned);
  return owned;
}

/** Handles a holder's answer to a put. */
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

/** Ends this VM's ownership if the given owner is later. */
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

/** Ends the ownership of a request and tells its holders to drop the record. */
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

/** Resends unanswered puts, reasserts ownership and drops expired records. */
export function updateOwned(turn: RecordTurn): void {
  for (const [request, owned] of turn.state.owned) {
    if (isPast(owned.record.spec.deadline, turn.now)) {
      turn.state.owned.delete(request);
      continue;
    }
    sendPutsAgain(turn, owned);
    if (turn.now >= owned.reassertAt) assertOwnership(turn, owned);
    if (
      owned.resumeDeadline !== undefined &&
      isPast(owned.resumeDeadline, turn.now)
    ) {
      reportUnderReplicated(turn, owned);
      reportResumed(turn, owned);
    }
  }
}

/** Chooses new holders in place of peers that are no longer alive. */
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
    const count = owned.holders.size + owned.pending.size;
    if (count >= options.holdersPerRecord) return;
    const used = owned.holders.has(vm) || owned.pending.has(vm);
    if (!used && !owned.refused.has(vm)) sendPut(turn, owned, vm);
  }
  const count = owned.holders.size + owned.pending.size;
  if (count < options.holdersPerRecord) reportUnderReplicated(turn, owned);
}

function sortCandidates(turn: RecordTurn, record: RequestRecord): VmId[] {
  const {options, peers, self} = turn.state;
  const request = getRequest(record);
  if (options.guards.dataCentres) {
    return sortHoldersForOwner(request, self, peers);
  }
  const local = peers.filter(peer => peer.dataCentre === self.dataCentre);
  return sortHolders(request, local).map(peer => peer.vm);
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

function assertOwnership(turn: RecordTurn, owned: OwnedRecord): void {
  owned.reassertAt = turn.now + turn.state.options.reassertMilliseconds;
  for (const vm of owned.searchedPeers) {
    if (!owned.pending.has(vm)) sendPut(turn, owned, vm);
  }
}

function sendPutsAgain(turn: RecordTurn, owned: OwnedRecord): void {
  let hasUnanswered = false;
  for (const [vm, put] of owned.pending) {
    if (turn.now < put.resendAt) continue;
    if (put.sends < turn.state.options.maxSends) {
      sendPut(turn, owned, vm);
      continue;
    }
    hasUnanswered = true;
    owned.pending.delete(vm);
    owned.refused.add(vm);
  }
  if (hasUnanswered) addHolders(turn, owned);
}

function reportHeld(turn: RecordTurn, owned: OwnedRecord): void {
  if (owned.resumeDeadline !== undefined) reportResumed(turn, owned);
  if (owned.storedReported) return;
  owned.storedReported = true;
  turn.commands.push({
    kind: RecordCommandKind.Stored,
    request: getRequest(owned.record),
    attempt: owned.record.attempt,
  });
}

function reportResumed(turn: RecordTurn, owned: OwnedRecord): void {
  owned.resumeDeadline = undefined;
  const {record} = owned;
  turn.commands.push({kind: RecordCommandKind.Resume, record});
}

function reportUnderReplicated(turn: RecordTurn, owned: OwnedRecord): void {
  const fields = {
    request: getRequest(owned.record),
    holders: owned.holders.size,
    wanted: turn.state.options.holdersPerRecord,
  };
  turn.logEvents.push({event: MembershipEvent.RecordUnderReplicated, fields});
}
