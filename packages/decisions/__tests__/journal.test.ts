import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  toId,
  type AccountId,
  type DataCentreId,
  type PublishId,
  type StoredRecord,
  type VmId,
} from '@zinniaspindle/shared';
import {
  AppendFailure,
  createJournal,
  decideJournal,
  defaultJournalOptions,
  encodeRecord,
  JournalCommandKind,
  JournalEventKind,
  RecordKind,
  SubmitOutcome,
  type JournalCommand,
  type JournalEvent,
  type JournalOptions,
  type JournalState,
  type RecordBody,
  type SubmitToken,
  type WriterId,
} from '../src/index.js';

const getHalf = (): number => 0.5;
const dataCentre = toId<DataCentreId>('dc1');
const tick: JournalEvent = {kind: JournalEventKind.Tick};

function makeJournal(options: Partial<JournalOptions> = {}): JournalState {
  const state = createJournal(
    {
      ...defaultJournalOptions,
      vm: toId<VmId>('vm1'),
      dataCentre,
      writer: toId<WriterId>('w1'),
      ...options,
    },
    0,
  );
  run(state, {kind: JournalEventKind.PeersChanged, peers: []}, 0);
  return state;
}

function run(
  state: JournalState,
  event: JournalEvent,
  now: number,
): readonly JournalCommand[] {
  const step = decideJournal(state, event, now, getHalf);
  if (step.isErr) throw step.error;
  return step.value.commands;
}

function pick<Kind extends JournalCommandKind>(
  commands: readonly JournalCommand[],
  kind: Kind,
): Extract<JournalCommand, {kind: Kind}>[] {
  const isWanted = (
    command: JournalCommand,
  ): command is Extract<JournalCommand, {kind: Kind}> => command.kind === kind;
  return commands.filter(isWanted);
}

function listOutcomes(commands: readonly JournalCommand[]): SubmitOutcome[] {
  const resolved = pick(commands, JournalCommandKind.SubmitResolved);
  return resolved.map(command => command.outcome);
}

function makeBody(name: string): RecordBody {
  const publish = toId<PublishId>(name);
  const operator = toId<AccountId>('root');
  return {kind: RecordKind.Publish, publish, operator, changes: []};
}

function makeSubmit(name: string, giveUpAt = 10_000): JournalEvent {
  const token = toId<SubmitToken>(name);
  const body = makeBody(name);
  return {kind: JournalEventKind.Submit, body, token, giveUpAt};
}

function encode(writer: string, sequence: number, name: string): string {
  const body = makeBody(name);
  return encodeRecord({writer: toId<WriterId>(writer), sequence, body});
}

function makeStored(offset: number, data: string): StoredRecord {
  return {offset, time: 1, data};
}

function makeAnswer(texts: readonly string[], first = 0): JournalEvent {
  const records = texts.map((text, index) => makeStored(first + index, text));
  const response = {oldest: first, next: first + texts.length, records};
  return {kind: JournalEventKind.ReadAnswered, read: 0, response};
}

function makeFailure(failure: AppendFailure, append = 0): JournalEvent {
  return {kind: JournalEventKind.AppendFailed, append, failure};
}

function makeAppendAnswer(append: number, firstOffset: number): JournalEvent {
  return {kind: JournalEventKind.AppendAnswered, append, firstOffset};
}

test('submits during an append are batched into the next one', () => {
  const state = makeJournal({maxBatchRecords: 2});
  const first = run(state, makeSubmit('a'), 0);
  assert.equal(pick(first, JournalCommandKind.SendAppend).length, 1);
  for (const name of ['b', 'c', 'd']) {
    assert.deepEqual(run(state, makeSubmit(name), 1), []);
  }
  run(state, makeAppendAnswer(0, 0), 2);
  const appends = pick(run(state, tick, 100), JournalCommandKind.SendAppend);
  assert.deepEqual(
    appends.map(append => append.texts),
    [[encode('w1', 1, 'b'), encode('w1', 2, 'c')]],
  );
});

test('a record is committed when it is read back', () => {
  const state = makeJournal();
  run(state, makeSubmit('a'), 0);
  assert.deepEqual(listOutcomes(run(state, makeAppendAnswer(0, 0), 5)), []);
  const commands = run(state, makeAnswer([encode('w1', 0, 'a')]), 6);
  assert.equal(pick(commands, JournalCommandKind.Deliver).length, 1);
  assert.deepEqual(listOutcomes(commands), [SubmitOutcome.Committed]);
});

test('an append without an answer is resolved when its record is read back', () => {
  const state = makeJournal();
  run(state, makeSubmit('a'), 0);
  run(state, makeFailure(AppendFailure.Unknown), 5);
  const commands = run(state, makeAnswer([encode('w1', 0, 'a')]), 6);
  assert.deepEqual(listOutcomes(commands), [SubmitOutcome.Committed]);
  const later = run(state, tick, 9000);
  assert.equal(pick(later, JournalCommandKind.SendAppend).length, 0);
});

test('a record that was appended twice is delivered once', () => {
  const texts = [encode('w2', 4, 'a'), encode('w2', 4, 'a')];
  const state = makeJournal();
  const commands = run(state, makeAnswer(texts), 1);
  assert.equal(pick(commands, JournalCommandKind.Deliver).length, 1);
  assert.equal(state.position, 2);
});

test('an expired record is never sent, or unknown if it may be in the log', () => {
  const expected = [
    [AppendFailure.NotAppended, SubmitOutcome.NeverSent],
    [AppendFailure.RateLimited, SubmitOutcome.NeverSent],
    [AppendFailure.Unknown, SubmitOutcome.Unknown],
  ] as const;
  for (const [failure, outcome] of expected) {
    const state = makeJournal();
    run(state, makeSubmit('a', 50), 0);
    run(state, makeFailure(failure), 5);
    assert.deepEqual(listOutcomes(run(state, tick, 50)), [outcome]);
  }
});

test('a submit that expires during its append is unknown until the append fails', () => {
  const state = makeJournal();
  run(state, makeSubmit('a', 50), 0);
  assert.deepEqual(listOutcomes(run(state, tick, 50)), [SubmitOutcome.Unknown]);
  const failed = run(state, makeFailure(AppendFailure.NotAppended), 60);
  assert.deepEqual(listOutcomes(failed), [SubmitOutcome.NeverSent]);
});

test('a fence resolves a record whose outcome is unknown', () => {
  const state = makeJournal();
  run(state, makeSubmit('a', 50), 0);
  run(state, makeFailure(AppendFailure.Unknown), 5);
  const [append] = pick(run(state, tick, 60), JournalCommandKind.SendAppend);
  const texts = [append!.texts[0]!, encode('w1', 0, 'a')];
  const commands = run(state, makeAnswer(texts), 300);
  assert.deepEqual(listOutcomes(commands), [SubmitOutcome.Superseded]);
  assert.equal(pick(commands, JournalCommandKind.Deliver).length, 1);
});

test('records below the position are not delivered again', () => {
  const state = makeJournal();
  const texts = [encode('w2', 0, 'a'), encode('w2', 1, 'b')];
  run(state, makeAnswer(texts), 1);
  const again = run(state, makeAnswer(texts), 2);
  assert.equal(pick(again, JournalCommandKind.Deliver).length, 0);
  assert.equal(state.position, 2);
});

test('a malformed record is skipped', () => {
  const state = makeJournal();
  const texts = [
    '{',
    '[]',
    '{"writer":"w","sequence":1,"body":{"kind":"toString"}}',
    '{"writer":"w","sequence":1,"body":{"kind":"publish","publish":7}}',
    encode('w2', 0, 'a'),
  ];
  const delivered = pick(
    run(state, makeAnswer(texts), 1),
    JournalCommandKind.Deliver,
  );
  assert.deepEqual(
    delivered.map(command => command.record.offset),
    [4],
  );
});

test('a gap is reported before the records after it', () => {
  const state = makeJournal();
  const commands = run(state, makeAnswer([encode('w2', 9, 'a')], 7), 1);
  const kinds = commands.slice(0, 2).map(command => command.kind);
  assert.deepEqual(kinds, [
    JournalCommandKind.GapFound,
    JournalCommandKind.Deliver,
  ]);
  assert.equal(state.position, 8);
});

test('two VMs of a data centre read the log, the others if they lack records', () => {
  const vms = ['vm1', 'vm2', 'vm3', 'vm4', 'vm5', 'vm6'].map(toId<VmId>);
  const peers = vms.map(vm => ({vm, dataCentre}));
  const states = vms.map(vm => makeJournal({vm}));
  for (const state of states) {
    run(state, makeAnswer([]), 1);
    run(state, {kind: JournalEventKind.PeersChanged, peers}, 1);
  }
  assert.equal(states.filter(state => state.isReader).length, 2);
  const listener = states.find(state => !state.isReader)!;
  const quiet = run(listener, tick, 200);
  assert.equal(pick(quiet, JournalCommandKind.SendRead).length, 0);
  const records = [makeStored(1, encode('w2', 1, 'b'))];
  const relay = {records, oldest: 0, next: 2, kept: 0, ageMilliseconds: 0};
  const missed = run(listener, {kind: JournalEventKind.Relayed, relay}, 300);
  assert.equal(pick(missed, JournalCommandKind.Deliver).length, 0);
  assert.equal(pick(missed, JournalCommandKind.SendRead).length, 1);
});

test('records for a peer are split into relays of bounded size', () => {
  const texts = ['a', 'b', 'c'].map((name, index) => encode('w2', index, name));
  const state = makeJournal({maxRelayCharacters: texts[0]!.length + 1});
  run(state, makeAnswer(texts), 1);
  const peer = toId<VmId>('vm2');
  const recordRequest: JournalEvent = {
    kind: JournalEventKind.PeerAsked,
    peer,
    from: 0,
  };
  const relays = pick(
    run(state, recordRequest, 2),
    JournalCommandKind.RelayToPeers,
  );
  assert.deepEqual(
    relays.map(command => command.relay.records.map(record => record.offset)),
    [[0, 1], [2]],
  );
});

test('the append interval grows while the log limits the rate', () => {
  const state = makeJournal();
  run(state, makeSubmit('a', Infinity), 0);
  const gaps: number[] = [];
  let now = 0;
  for (let append = 0; append < 5; append += 1) {
    run(state, makeFailure(AppendFailure.RateLimited, append), now);
    gaps.push(state.nextAppendAt - now);
    now = state.nextAppendAt;
    run(state, tick, now);
  }
  assert.deepEqual(gaps, [40, 80, 160, 320, 640]);
});
