/** The reading half of the journal: tailing the log, relays and questions. */
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

/** @internal Takes what the log answered to a read. */
export function acceptReadAnswer(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.ReadAnswered>,
): void {
  const {state, now} = turn;
  const {response, read} = event;
  const isAwaited = state.read?.read === read;
  const sentAt = isAwaited ? state.read!.sentAt : -Infinity;
  if (isAwaited) state.read = undefined;
  setLogAvailable(turn, true, '');
  state.oldest = Math.max(state.oldest, response.oldest);
  recordNext(turn, response.next, sentAt);
  if (state.position < response.oldest) resumeAtOldest(turn, response.oldest);
  takeRecords(turn, response.records);
  state.readAt = now;
  if (!isBehind(state)) state.readAt += state.options.readGapMilliseconds;
  sendRead(turn);
}

/** @internal Takes the failure of a read; it is repeated later. */
export function acceptReadFailure(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.ReadFailed>,
): void {
  if (turn.state.read?.read === event.read) failRead(turn, event.detail);
}

/** @internal Takes what a peer tells of the log. */
export function acceptRelay(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.Relayed>,
): void {
  const {state, now} = turn;
  const {relay} = event;
  const wasBehind = isBehind(state);
  recordNext(turn, relay.next, now - relay.ageMilliseconds);
  takeRecords(turn, relay.records);
  if (isBehind(state)) {
    if (!wasBehind) state.askAt = now + state.options.askMilliseconds;
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
  if (state.heardNext < 0) return;
  const start = event.from - getKept(state);
  const end = start + state.options.maxReadRecords;
  const records = start < 0 ? [] : state.ring.slice(start, end);
  sendRelays(turn, [event.peer], records);
}

/** @internal Takes the live VMs and decides whether this one reads the log. */
export function setPeers(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.PeersChanged>,
): void {
  const {state} = turn;
  const {vm, dataCentre, readersPerDataCentre} = state.options;
  state.peers = event.peers.filter(peer => peer.vm !== vm);
  const near: VmId[] = [vm, ...listNearPeers(state)];
  const readers = pickRanked(dataCentre, near, readersPerDataCentre);
  const reads = readers.includes(vm);
  if (reads !== state.isReader) {
    turn.logEvents.push({event: PlatformEvent.ReaderChanged, fields: {reads}});
  }
  state.isReader = reads;
  sendRead(turn);
}

/** @internal Does what is due: reads, relays without news, questions. */
export function pollLog(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.read !== undefined && now >= state.read.timeoutAt) {
    failRead(turn, 'no answer in time');
  }
  sendRead(turn);
  if (now >= state.relayAt && isEstablished(state) && !isSilent(turn)) {
    sendRelay(turn, []);
  }
  pollPeers(turn);
}

/** Tells whether the log's end was ever heard of, from it or a peer. */
export function isEstablished(state: JournalState): boolean {
  return state.heardNext >= 0 && !isBehind(state);
}

function isBehind(state: JournalState): boolean {
  return state.position < state.heardNext;
}

function isSilent(turn: JournalTurn): boolean {
  const {state, now} = turn;
  return now >= state.currentAsOf + state.options.silenceMilliseconds;
}

function sendRead(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.read !== undefined || now < state.readAt) return;
  const behind = isBehind(state) || state.heardNext < 0;
  if (!state.isReader && !behind && !isSilent(turn)) return;
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
  const gap = state.options.readRetryMilliseconds;
  state.readAt = now + gap * (0.5 + random());
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
    const fields = {next: state.heardNext};
    logEvents.push({event: PlatformEvent.LogAvailable, fields});
  } else {
    logEvents.push({event: PlatformEvent.LogUnavailable, fields: {detail}});
  }
}

/** Takes what the log's next offset was at an instant; it never falls. */
function recordNext(turn: JournalTurn, next: Offset, asOf: Instant): void {
  const {state, now} = turn;
  state.heardAt = now;
  state.heardNext = Math.max(state.heardNext, next);
  state.heardAsOf = Math.max(state.heardAsOf, asOf);
}

function takeRecords(
  turn: JournalTurn,
  records: readonly StoredRecord[],
): void {
  const {state} = turn;
  const delivered = applyRecords(turn, records);
  if (!isBehind(state)) state.currentAsOf = state.heardAsOf;
  if (delivered.length > 0) sendRelay(turn, delivered);
}

/** Readers pass on what is new to the VMs of their data centre. */
function sendRelay(turn: JournalTurn, records: StoredRecord[]): void {
  const {state, now} = turn;
  if (!state.isReader) return;
  state.relayAt = now + state.options.relayMilliseconds;
  const peers = listNearPeers(state);
  if (peers.length === 0) return;
  sendRelays(turn, peers, records);
}

/** Cuts records into relays of bounded size; at least one, if empty. */
function sendRelays(
  turn: JournalTurn,
  peers: readonly VmId[],
  records: readonly StoredRecord[],
): void {
  const kind = JournalCommandKind.RelayToPeers;
  const most = turn.state.options.maxRelayCharacters;
  let start = 0;
  let characters = 0;
  for (const [index, record] of records.entries()) {
    characters += record.data.length;
    if (characters < most) continue;
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
    next: state.heardNext,
    kept: getKept(state),
    ageMilliseconds: now - state.heardAsOf,
  };
}

function listNearPeers(state: JournalState): VmId[] {
  const near: VmId[] = [];
  for (const peer of state.peers) {
    if (peer.dataCentre === state.options.dataCentre) near.push(peer.vm);
  }
  return near;
}

/** Lowest offset that this VM can hand on. */
function getKept(state: JournalState): Offset {
  return state.ring[0]?.offset ?? state.position;
}

/** Asks a few peers while the log and the readers leave this VM without news. */
function pollPeers(turn: JournalTurn): void {
  const {state, now, random} = turn;
  if (now < state.askAt || state.peers.length === 0) return;
  const behind = isBehind(state);
  if (!behind && !isSilent(turn)) return;
  state.askAt = now + state.options.askMilliseconds;
  const peers = sampleMembers(
    state.peers.map(peer => peer.vm),
    state.options.askedPeers,
    random,
  );
  const from = state.position;
  turn.commands.push({kind: JournalCommandKind.AskPeers, peers, from});
  turn.logEvents.push({
    event: PlatformEvent.PeersAsked,
    fields: {from, reason: behind ? 'behind' : 'no news'},
  });
}

/** While the log does not answer, records that no peer keeps need a transfer. */
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
  const left = [...members];
  const sampled: Member[] = [];
  while (sampled.length < count && left.length > 0) {
    const index = Math.floor(random() * left.length);
    sampled.push(...left.splice(index, 1));
  }
  return sampled;
}
