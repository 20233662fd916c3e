/**
 * The read path of the journal: reads of the log, relays between VMs, and
 * queries to peers.
 */
import {
  PlatformEvent,
  type Instant,
  type StoredRecord,
  type VmId,
} from '@zinniaspindle/shared';
import {applyRecords, resumeAtOldest} from './journal_delivery.js';
import type {JournalState, JournalTurn} from './journal_state.js';
import {
  JournalCommandKind,
  type JournalEvent,
  type JournalEventKind,
  type LogRelay,
} from './journal_types.js';
import {pickRanked} from '../hashing/rendezvous.js';
import type {Offset} from './records.js';

type EventOf<Kind extends JournalEventKind> = Extract<
  JournalEvent,
  {kind: Kind}
>;

/** @internal Handles the log's answer to a read. */
export function acceptReadAnswer(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.ReadAnswered>,
): void {
  const {state, now} = turn;
  const {response, read} = event;
  const isCurrentRead = state.read?.read === read;
  const sentAt = isCurrentRead ? state.read!.sentAt : -Infinity;
  if (isCurrentRead) state.read = undefined;
  setLogAvailable(turn, true, '');
  state.oldest = Math.max(state.oldest, response.oldest);
  recordLogEnd(turn, response.next, sentAt);
  if (state.position < response.oldest) resumeAtOldest(turn, response.oldest);
  acceptRecords(turn, response.records);
  state.nextReadAt = now;
  if (!isBehind(state)) state.nextReadAt += state.options.readDelayMilliseconds;
  sendRead(turn);
}

/** @internal Handles the failure of a read; it is retried later. */
export function acceptReadFailure(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.ReadFailed>,
): void {
  if (turn.state.read?.read === event.read) failRead(turn, event.detail);
}

/** @internal Handles a relay of the log from a peer. */
export function acceptRelay(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.Relayed>,
): void {
  const {state, now} = turn;
  const {relay} = event;
  const wasBehind = isBehind(state);
  recordLogEnd(turn, relay.next, now - relay.ageMilliseconds);
  acceptRecords(turn, relay.records);
  if (isBehind(state)) {
    if (!wasBehind) state.nextAskAt = now + state.options.askDelayMilliseconds;
    sendStateRequest(turn, relay);
  }
  sendRead(turn);
}

/** @internal Answers a peer that asks for records. */
export function answerPeer(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.PeerAsked>,
): void {
  const {state} = turn;
  if (state.logEndOffset < 0) return;
  const start = event.from - getOldestKept(state);
  const end = start + state.options.maxReadRecords;
  const records = start < 0 ? [] : state.recent.slice(start, end);
  sendRelays(turn, [event.peer], records);
}

/** @internal Updates the live VMs and whether this VM is a reader. */
export function setPeers(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.PeersChanged>,
): void {
  const {state} = turn;
  const {vm, dataCentre, readersPerDataCentre} = state.options;
  state.peers = event.peers.filter(peer => peer.vm !== vm);
  const localVms: VmId[] = [vm, ...listLocalPeers(state)];
  const readers = pickRanked(dataCentre, localVms, readersPerDataCentre);
  const isReader = readers.includes(vm);
  if (isReader !== state.isReader) {
    turn.logEvents.push({
      event: PlatformEvent.ReaderChanged,
      fields: {reads: isReader},
    });
  }
  state.isReader = isReader;
  sendRead(turn);
}

/**
 * @internal
 * Starts what is due: reads, relays without records, peer queries.
 */
export function pollLog(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.read !== undefined && now >= state.read.timeoutAt) {
    failRead(turn, 'no answer in time');
  }
  sendRead(turn);
  if (now >= state.nextRelayAt && isCaughtUp(state) && !isStale(turn)) {
    sendRelay(turn, []);
  }
  pollPeers(turn);
}

/** Tells whether the end of the log is known and every record is delivered. */
export function isCaughtUp(state: JournalState): boolean {
  return state.logEndOffset >= 0 && !isBehind(state);
}

function isBehind(state: JournalState): boolean {
  return state.position < state.logEndOffset;
}

function isStale(turn: JournalTurn): boolean {
  const {state, now} = turn;
  return now >= state.caughtUpAsOf + state.options.staleMilliseconds;
}

function sendRead(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.read !== undefined || now < state.nextReadAt) return;
  const behind = isBehind(state) || state.logEndOffset < 0;
  if (!state.isReader && !behind && !isStale(turn)) return;
  const {options} = state;
  const waitMilliseconds = behind ? 0 : options.readWaitMilliseconds;
  const read = state.nextRead;
  state.nextRead += 1;
  const timeoutAt = now + waitMilliseconds + options.readTimeoutMilliseconds;
  state.read = {read, sentAt: now, timeoutAt};
  turn.commands.push({
    kind: JournalCommandKind.SendRead,
    read,
    from: state.position,
    max: options.maxReadRecords,
    waitMilliseconds,
  });
}

function failRead(turn: JournalTurn, detail: string): void {
  const {state, now, random} = turn;
  state.read = undefined;
  setLogAvailable(turn, false, detail);
  const delay = state.options.readRetryMilliseconds;
  state.nextReadAt = now + delay * (0.5 + random());
}

function setLogAvailable(
  turn: JournalTurn,
  available: boolean,
  detail: string,
): void {
  const {state, logEvents} = turn;
  if (state.logAvailable === available) return;
  state.logAvailable = available;
  if (available) {
    const fields = {next: state.logEndOffset};
    logEvents.push({event: PlatformEvent.LogAvailable, fields});
  } else {
    logEvents.push({event: PlatformEvent.LogUnavailable, fields: {detail}});
  }
}

/** Records the log's end offset, as it was at `asOf`; it never decreases. */
function recordLogEnd(turn: JournalTurn, next: Offset, asOf: Instant): void {
  const {state, now} = turn;
  state.lastContactAt = now;
  state.logEndOffset = Math.max(state.logEndOffset, next);
  state.logEndAsOf = Math.max(state.logEndAsOf, asOf);
}

function acceptRecords(
  turn: JournalTurn,
  records: readonly StoredRecord[],
): void {
  const {state} = turn;
  const delivered = applyRecords(turn, records);
  if (!isBehind(state)) state.caughtUpAsOf = state.logEndAsOf;
  if (delivered.length > 0) sendRelay(turn, delivered);
}

/** Sends new records to the VMs of this data centre if this VM is a reader. */
function sendRelay(turn: JournalTurn, records: StoredRecord[]): void {
  const {state, now} = turn;
  if (!state.isReader) return;
  state.nextRelayAt = now + state.options.relayIntervalMilliseconds;
  const peers = listLocalPeers(state);
  if (peers.length === 0) return;
  sendRelays(turn, peers, records);
}

/**
 * Splits records into relays of bounded size; sends one even if it is empty.
 */
function sendRelays(
  turn: JournalTurn,
  peers: readonly VmId[],
  records: readonly StoredRecord[],
): void {
  const kind = JournalCommandKind.RelayToPeers;
  const maxCharacters = turn.state.options.maxRelayCharacters;
  let start = 0;
  let characters = 0;
  for (const [index, record] of records.entries()) {
    characters += record.data.length;
    if (characters < maxCharacters) continue;
    const relay = makeRelay(turn, records.slice(start, index + 1));
    turn.commands.push({kind, peers, relay});
    start = index + 1;
    characters = 0;
  }
  if (start > 0 && start === records.length) return;
  const relay = makeRelay(turn, records.slice(start));
  turn.commands.push({kind, peers, relay});
}

function makeRelay(
  turn: JournalTurn,
  records: readonly StoredRecord[],
): LogRelay {
  const {state, now} = turn;
  return {
    records,
    oldest: state.oldest,
    next: state.logEndOffset,
    kept: getOldestKept(state),
    ageMilliseconds: now - state.logEndAsOf,
  };
}

function listLocalPeers(state: JournalState): VmId[] {
  const localVms: VmId[] = [];
  for (const peer of state.peers) {
    if (peer.dataCentre === state.options.dataCentre) localVms.push(peer.vm);
  }
  return localVms;
}

/** Returns the lowest offset that this VM can relay. */
function getOldestKept(state: JournalState): Offset {
  return state.recent[0]?.offset ?? state.position;
}

/**
 * Asks a few peers while this VM lacks records, or was last known to have all
 * of them longer than `staleMilliseconds` ago.
 */
function pollPeers(turn: JournalTurn): void {
  const {state, now, random} = turn;
  if (now < state.nextAskAt || state.peers.length === 0) return;
  const behind = isBehind(state);
  if (!behind && !isStale(turn)) return;
  state.nextAskAt = now + state.options.askDelayMilliseconds;
  const peers = sampleMembers(
    state.peers.map(peer => peer.vm),
    state.options.askedPeers,
    random,
  );
  const from = state.position;
  turn.commands.push({kind: JournalCommandKind.AskPeers, peers, from});
  turn.logEvents.push({
    event: PlatformEvent.PeersAsked,
    fields: {from, reason: behind ? 'behind' : 'stale'},
  });
}

/**
 * Requests a state transfer if the log does not answer and the peer no longer
 * keeps the next record.
 */
function sendStateRequest(turn: JournalTurn, relay: LogRelay): void {
  const {state} = turn;
  if (state.logAvailable || relay.kept <= state.position) return;
  const from = state.position;
  turn.commands.push({kind: JournalCommandKind.RequestState, from});
}

function sampleMembers<Member>(
  members: Member[],
  count: number,
  random: () => number,
): Member[] {
  const remaining = [...members];
  const sampled: Member[] = [];
  while (sampled.length < count && remaining.length > 0) {
    const index = Math.floor(random() * remaining.length);
    sampled.push(...remaining.splice(index, 1));
  }
  return sampled;
}
