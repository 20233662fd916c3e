import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  AnswerStage,
  createQuarantine,
  FailureCause,
  startTrial,
  type Quarantine,
} from '@zinniaspindle/decisions';
import {GatewayEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {encodeMessage} from '../src/peers/message_codec.js';
import {EndReason, EndWatch} from '../src/fleet/end_watch.js';
import type {EventFields} from '../src/log/event_log.js';
import {Metrics} from '../src/log/metrics.js';
import {
  makeStoreError,
  StoreErrorCode,
  Topic,
  type KeyedRecord,
} from '../src/ports/index.js';
import type {PeerMessage} from '../src/peers/messages.js';
import {AnswerNews, computeNewsTime} from '../src/quarantine/answer_news.js';
import {PartMessages} from '../src/quarantine/part_messages.js';
import {PartQuarantine} from '../src/quarantine/part_quarantine.js';
import {QuarantineKeeper} from '../src/quarantine/quarantine_keeper.js';

const service = 's';
/** Longer than the time from an end to the decision on it. */
const decidedMilliseconds = 80;

interface Vm {
  readonly ends: EndWatch;
  readonly quarantine: PartQuarantine;
  readonly messages: PartMessages;
  readonly lines: {event: GatewayEvent; fields: EventFields}[];
  /** Whether messages reach it. */
  isCut: boolean;
}

/** VMs that exchange their messages at once. */
function createFleet(count: number) {
  const clock = {now: 10_000};
  const sent: PeerMessage[] = [];
  const vms: Vm[] = [];
  const sendFrom = (from: number, message: PeerMessage) => {
    sent.push(message);
    for (const [index, {messages, isCut}] of vms.entries()) {
      if (index === from || isCut) continue;
      if ('ended' in message && message.ended !== undefined) {
        messages.acceptEnded(message, message.ended, clock.now);
      }
      if ('answered' in message && message.answered !== undefined) {
        messages.acceptAnswered(message.answered, clock.now);
      }
    }
  };
  for (let index = 0; index < count; index += 1) {
    const getNow = () => clock.now;
    const clocks = {getNow, getWallClock: () => clock.now + 1_000_000};
    const lines: Vm['lines'] = [];
    const write = (event: GatewayEvent, fields: EventFields) => {
      lines.push({event, fields});
    };
    const ends = new EndWatch(write, getNow, one => messages.handleEnd(one));
    const makeNews = (stage: AnswerStage) =>
      new AnswerNews(
        (of, answeredAt) => messages.sendAnswered(of, answeredAt, stage),
        () => true,
        () => 0,
      );
    const news = {
      [AnswerStage.Begun]: makeNews(AnswerStage.Begun),
      [AnswerStage.Lasting]: makeNews(AnswerStage.Lasting),
    };
    const quarantine = new PartQuarantine(
      clocks,
      () => count,
      () => 3,
      () => computeNewsTime(false),
      news,
      new Metrics(),
      write,
    );
    const messages: PartMessages = new PartMessages(
      ends,
      quarantine,
      message => sendFrom(index, message),
      clocks,
    );
    vms.push({ends, quarantine, messages, lines, isCut: false});
  }
  let requests = 0;
  const answer = (vm: number, parts: readonly string[]) => {
    vms[vm]!.quarantine.recordAnswer(service, parts);
  };
  const addEnd = (vm: number, ...prompts: (readonly string[])[]) => {
    const endpoint = {id: `e${(requests += 1)}`, bornAt: 1};
    clock.now += 100;
    for (const traits of prompts) {
      const request = `r${(requests += 1)}`;
      const attempt = {request, traits, sentAt: clock.now - 50};
      vms[vm]!.ends.recordBreak(endpoint, service, attempt);
    }
    vms[vm]!.ends.recordEnd(endpoint, service, EndReason.NotListening);
  };
  const startLoad = () => {
    for (let i = 0; i < 100; i += 1) {
      for (let vm = 0; vm < count; vm += 1) answer(vm, [`sound${i}`]);
    }
  };
  startLoad();
  return {clock, sent, vms, answer, addEnd};
}

function isRefused({quarantine}: Vm, ...prompt: string[]): boolean {
  return quarantine.find(service, prompt) !== undefined;
}

test('ends that several VMs see lead all of them to one quarantine', async () => {
  const {vms, addEnd} = createFleet(3);
  for (const vm of [0, 1, 2]) addEnd(vm, [`own${vm}`, 'bad']);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, 'x', 'bad'), true);
    assert.equal(isRefused(vm, 'own1'), false);
    const lines = vm.lines.filter(
      ({event}) => event === GatewayEvent.PartsQuarantined,
    );
    assert.equal(lines.length, 1);
  }
});

test('an answer at one VM clears a part at all of them', async () => {
  const {vms, answer, addEnd} = createFleet(3);
  addEnd(0, ['first', 'bad']);
  addEnd(1, ['first', 'bad']);
  answer(2, ['first']);
  await waitMilliseconds(decidedMilliseconds);
  addEnd(0, ['first', 'bad']);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, 'first', 'own'), false);
    assert.equal(isRefused(vm, 'bad'), true);
  }
});

test('an answer takes a part out of a quarantine', async () => {
  const {vms, clock, answer, addEnd} = createFleet(2);
  for (const vm of [0, 1, 0]) addEnd(vm, ['rare', 'bad']);
  await waitMilliseconds(decidedMilliseconds);
  assert.equal(isRefused(vms[0]!, 'rare', 'bad'), true);
  assert.equal(isRefused(vms[0]!, 'rare'), false);
  clock.now += 10;
  answer(1, ['rare']);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, 'bad'), true);
    assert.equal(isRefused(vm, 'rare'), false);
  }
});

test('many answers on an accused part are told once', async () => {
  const {vms, sent, answer, addEnd} = createFleet(5);
  addEnd(0, ['first', 'bad']);
  sent.length = 0;
  for (let i = 0; i < 100; i += 1) answer(i % vms.length, ['first']);
  await waitMilliseconds(decidedMilliseconds);
  const told = sent.filter(one => 'answered' in one && one.answered);
  assert.ok(told.length >= 1 && told.length <= vms.length, `${told.length}`);
});

test('nothing is told while no endpoint ends', async () => {
  const {sent, answer} = createFleet(3);
  for (let i = 0; i < 100; i += 1) answer(i % 3, ['first', `p${i}`]);
  await waitMilliseconds(decidedMilliseconds);
  assert.equal(sent.length, 0);
});

test('a VM that missed the ends learns the quarantine from a peer', async () => {
  const {vms, addEnd} = createFleet(3);
  vms[2]!.isCut = true;
  for (const vm of [0, 1, 0]) addEnd(vm, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  assert.equal(isRefused(vms[2]!, 'bad'), false);
  vms[2]!.messages.acceptQuarantines(vms[0]!.quarantine.listRows(), 'vm-0');
  assert.equal(isRefused(vms[2]!, 'bad'), true);
});

test('a lifted quarantine is not set again by a peer that holds it', async () => {
  const {vms, clock, answer, addEnd} = createFleet(2);
  for (const vm of [0, 1, 0]) addEnd(vm, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  const before = vms[1]!.quarantine.listRows();
  clock.now += 10;
  answer(0, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  vms[0]!.messages.acceptQuarantines(before, 'vm-1');
  assert.equal(isRefused(vms[0]!, 'bad'), false);
});

test('malformed rows of a peer change nothing', () => {
  const {vms} = createFleet(1);
  vms[0]!.messages.acceptQuarantines([null, 3, ['s', [], 1], {}], 'vm-9');
  assert.deepEqual(vms[0]!.quarantine.listRows(), []);
});

test('earlier versions take the messages for ones that they know', async () => {
  const {sent, clock, answer, addEnd} = createFleet(2);
  addEnd(0, ['first', 'bad']);
  clock.now += 10;
  answer(1, ['first']);
  await waitMilliseconds(decidedMilliseconds);
  const [ended, answered] = sent;
  assert.ok(ended !== undefined && 'cause' in ended);
  assert.equal(ended.cause, FailureCause.Ended);
  assert.ok(answered !== undefined && 'answered' in answered);
  assert.equal(answered.id, '');
});

/** A store with one record, which fails where `fails` says so. */
function createStore() {
  const state = {records: [] as KeyedRecord[], fails: false, calls: 0};
  const error = makeStoreError(StoreErrorCode.Unavailable, 'down');
  const store = {
    readNewest: (topic: Topic) => {
      assert.equal(topic, Topic.Quarantines);
      state.calls += 1;
      if (state.fails) return Promise.resolve(Result.err(error));
      const {records} = state;
      return Promise.resolve(Result.ok({records, next: 1, era: undefined}));
    },
    appendRecord: (_topic: Topic, key: string, value: Buffer | undefined) => {
      state.calls += 1;
      if (state.fails) return Promise.resolve(Result.err(error));
      state.records = [{key, value, offset: 0}];
      return Promise.resolve(Result.ok({era: undefined}));
    },
  };
  return {state, store: store as unknown as KeeperStore};
}

type KeeperStore = ConstructorParameters<typeof QuarantineKeeper>[1];

function createKeeper(
  {quarantine}: Vm,
  store: KeeperStore,
  clock: {now: number},
  isOwner: boolean,
) {
  return new QuarantineKeeper(
    quarantine,
    store,
    {known: undefined, isPast: () => false, acceptAnswer: () => true},
    () => isOwner,
    () => undefined,
    new Metrics(),
    () => clock.now,
    () => clock.now + 1_000_000,
    false,
  );
}

async function poll(keeper: QuarantineKeeper, times = 3): Promise<void> {
  for (let i = 0; i < times; i += 1) {
    keeper.poll();
    await waitMilliseconds(1);
  }
}

test('a fleet that starts again knows its quarantines from the store', async () => {
  const {state, store} = createStore();
  const before = createFleet(2);
  for (const vm of [0, 1, 0]) before.addEnd(vm, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  const owner = createKeeper(before.vms[0]!, store, before.clock, true);
  await poll(owner);
  assert.equal(state.records.length, 1);
  const after = createFleet(1);
  await poll(createKeeper(after.vms[0]!, store, after.clock, false));
  assert.equal(isRefused(after.vms[0]!, 'bad'), true);
});

test('the store is read until it answers, and written only after changes', async () => {
  const {state, store} = createStore();
  const {vms, clock, addEnd} = createFleet(2);
  const keeper = createKeeper(vms[0]!, store, clock, true);
  state.fails = true;
  await poll(keeper);
  assert.equal(state.calls, 1);
  state.fails = false;
  clock.now += 1000;
  await poll(keeper);
  assert.equal(state.calls, 2);
  for (const vm of [0, 1, 0]) addEnd(vm, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  await poll(keeper, 10);
  assert.equal(state.calls, 3);
});

test('a malformed record of the store is named and left out', async () => {
  const {state, store} = createStore();
  const value = Buffer.from('[["s"]]');
  state.records = [{key: 'quarantines', value, offset: 3}];
  const {vms, clock} = createFleet(1);
  await poll(createKeeper(vms[0]!, store, clock, false));
  assert.deepEqual(vms[0]!.quarantine.listRows(), []);
});

async function addBad(fleet: ReturnType<typeof createFleet>) {
  for (const vm of [0, 1, 0]) fleet.addEnd(vm, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
}

test('a trial lets one request pass, and an answer to it ends the quarantine', async () => {
  const {state, store} = createStore();
  const fleet = createFleet(2);
  await addBad(fleet);
  const {vms, clock, answer} = fleet;
  const [owner] = vms;
  const keeper = createKeeper(owner!, store, clock, true);
  await poll(keeper);
  clock.now += 60_001;
  await poll(keeper);
  assert.match(state.records[0]!.value!.toString(), /"bad"\],2,false/);
  assert.equal(isRefused(owner!, 'bad'), false);
  owner!.quarantine.recordSent(service, ['bad'], 'trial');
  assert.equal(isRefused(owner!, 'bad'), true);
  answer(0, ['bad']);
  await waitMilliseconds(decidedMilliseconds);
  assert.equal(isRefused(owner!, 'bad'), false);
  assert.equal(isRefused(vms[1]!, 'bad'), false);
});

test('no trial begins that the store does not know of', async () => {
  const {state, store} = createStore();
  const fleet = createFleet(2);
  await addBad(fleet);
  const {vms, clock} = fleet;
  const keeper = createKeeper(vms[0]!, store, clock, true);
  await poll(keeper);
  state.fails = true;
  clock.now += 60_001;
  await poll(keeper);
  assert.equal(isRefused(vms[0]!, 'bad'), true);
});

test('only the owner of the orders begins trials', async () => {
  const {store} = createStore();
  const fleet = createFleet(2);
  await addBad(fleet);
  const {vms, clock} = fleet;
  const keeper = createKeeper(vms[1]!, store, clock, false);
  clock.now += 60_001;
  await poll(keeper);
  assert.equal(isRefused(vms[1]!, 'bad'), true);
});

test('the number of quarantines is bounded, lifted ones go first', () => {
  const {vms} = createFleet(1);
  const {quarantine} = vms[0]!;
  const make = (i: number): Quarantine =>
    startTrial(createQuarantine(service, [`p${i}`], i, i), i);
  for (let i = 0; i < 100; i += 1) quarantine.acceptQuarantine(make(i), 'peer');
  assert.equal(quarantine.listRows().length, 64);
  assert.equal(isRefused(vms[0]!, 'p99'), true);
});

test('another key of an account is refused once it ends an endpoint too', async () => {
  const {vms, clock, addEnd, answer} = createFleet(2);
  const [first, account] = ['request:key-1', 'request:account'];
  for (let i = 0; i < 3; i += 1) addEnd(i % 2, [first, account]);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, first, account), true);
    assert.equal(isRefused(vm, 'request:key-2', account), false);
  }
  addEnd(0, ['request:key-2', account]);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, 'request:key-2', account), true);
    assert.equal(isRefused(vm, 'request:key-3', account), true);
  }
  // One that is served shows that it is not the account's.
  clock.now += 1000;
  answer(1, ['request:key-3', account]);
  await waitMilliseconds(decidedMilliseconds);
  for (const vm of vms) {
    assert.equal(isRefused(vm, 'request:key-3', account), false);
  }
});

/** Fills the largest header that callers may send with parts of short names. */
const manyParts = Array.from({length: 1600}, (_, i) => `p${i.toString(36)}`);

// A part behind the first 30 of a prompt accused nobody.
test('a part behind many others is found and refused by all VMs', async () => {
  const {clock, vms, sent} = createFleet(3);
  for (let i = 0; i < 100; i += 1) {
    vms[i % 3]!.quarantine.recordAnswer(service, manyParts);
  }
  for (const [index, at] of [
    10_100, 10_300, 10_500, 10_700, 10_900, 11_100,
  ].entries()) {
    clock.now = at;
    const {ends} = vms[index % 3]!;
    const endpoint = {id: `e${index}`, bornAt: 1};
    const traits = [...manyParts, 'bad'];
    const attempt = {request: `r${index}`, traits, sentAt: at - 50};
    ends.recordBreak(endpoint, service, {...attempt, hasBegun: true});
    ends.recordEnd(endpoint, service, EndReason.NotListening);
    for (const {quarantine} of vms) {
      quarantine.recordAnswer(service, manyParts);
    }
  }
  await waitMilliseconds(decidedMilliseconds);
  const traits = [...manyParts, 'bad'];
  for (const {quarantine} of vms) {
    assert.deepEqual(quarantine.find(service, traits)?.parts, ['bad']);
    assert.equal(quarantine.find(service, manyParts), undefined);
  }
  const bytes = sent.map(message => encodeMessage(message).length);
  assert.ok(Math.max(...bytes) < 64 * 1024, `${Math.max(...bytes)} bytes`);
});

test('an attempt that broke after its answer began accuses nothing for older builds', () => {
  const {vms, sent} = createFleet(1);
  const endpoint = {id: 'e1', bornAt: 1};
  const attempt = {request: 'r1', traits: ['a'], sentAt: 9950, hasBegun: true};
  vms[0]!.ends.recordBreak(endpoint, service, attempt);
  vms[0]!.ends.recordEnd(endpoint, service, EndReason.NotListening);
  const [message] = sent;
  assert.ok(message !== undefined && 'ended' in message);
  assert.deepEqual(message.ended?.attempts, []);
  assert.deepEqual(message.ended?.begun, [['r1', ['a'], 50]]);
});
