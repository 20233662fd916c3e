import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  hashText,
  maxDemandCount,
  type StagePath,
} from '@zinniaspindle/decisions';
import type {PathTable} from '../src/fleet/path_table.js';
import {SecondCounter} from '../src/fleet/second_counter.js';
import {WaiterTable} from '../src/fleet/waiter_table.js';
import {Metrics} from '../src/log/metrics.js';
import {
  decodeHeartbeat,
  encodeHeartbeat,
} from '../src/peers/heartbeat_codec.js';
import {
  PeerMessageKind,
  PeerPhase,
  type Heartbeat,
} from '../src/peers/messages.js';
import {
  RouteKind,
  type Account,
  type ServiceModel,
} from '../src/ports/index.js';
import {PathQueue, type PathWaiter} from '../src/requests/path_queue.js';
import {makeRoute} from './rank_fleet.js';

const service = 'letters';
const hash = hashText(service);
const path = {key: 'p'} as StagePath;
/** The heartbeat period of so few peers. */
const periodMilliseconds = 250;

interface FleetState {
  now: number;
  fill: number;
}

/** A VM with three ranks and a path of 100 slots, in virtual time. */
function makeVm(priorities: readonly number[] = [0, 1, 2]) {
  const state: FleetState = {now: 0, fill: 0};
  const metrics = new Metrics();
  const table = new WaiterTable(
    () => state.now,
    () => 2,
    metrics,
  );
  table.applyConfiguration({
    routes: priorities.map(makeRoute),
    accounts: undefined,
  });
  const reserved: number[] = [];
  const paths = {
    pick: (...args: Parameters<PathTable['pick']>) => {
      reserved.push(args[2].reservedShare ?? 0);
      return state.fill <= 0.9 - (args[2].reservedShare ?? 0)
        ? path
        : undefined;
    },
    countSlots: () => 100,
    findReturn: () => undefined,
  } as Partial<PathTable> as PathTable;
  const quarantine = {find: () => undefined, recordSent: () => undefined};
  const queue = new PathQueue(paths, quarantine, () => state.now, table);
  const outcomes: (boolean | undefined)[] = [];
  const add = (level: number, changes: Partial<PathWaiter> = {}) => {
    const index = outcomes.push(undefined) - 1;
    const waiter: PathWaiter = {
      ...{isResumed: false, priority: level, level, receivedAt: state.now},
      ...{waitUntil: state.now + 300, model: {} as ServiceModel, tokens: 1},
      ...{request: '', traits: []},
      resolve: found => void (outcomes[index] = found !== undefined),
      ...changes,
    };
    queue.add(service, waiter);
    return waiter;
  };
  const getReserved = () => reserved.at(-1);
  return {state, table, queue, metrics, add, outcomes, getReserved};
}

test('a request leaves room free for higher ranks that wait at peers', () => {
  const {table, state, add, outcomes, getReserved} = makeVm();
  table.setPeer('a', [[hash, 0, 10, 0, 10, 0]]);
  state.fill = 0.85;
  add(1);
  assert.equal(outcomes[0], undefined);
  // For 10 that wait and 5 that come in the next half second.
  assert.equal(getReserved(), 0.15);
  add(0);
  assert.equal(outcomes[1], true);
});

test('a request that waited for half of its time uses the room', () => {
  const {table, state, queue, add, outcomes} = makeVm();
  table.setPeer('a', [[hash, 0, 10, 0, 10, 0]]);
  state.fill = 0.85;
  add(1);
  state.now = 149;
  queue.run();
  assert.equal(outcomes[0], undefined);
  state.now = 151;
  queue.run();
  assert.equal(outcomes[0], true);
});

// The peer reported requests and then its process ended.
test('rows of a peer that has died last two heartbeats', () => {
  const {table, state} = makeVm();
  table.setPeer('a', [[hash, 0, 10, 0, 10, 0]]);
  state.now = 2 * periodMilliseconds;
  assert.equal(table.findFleet(service)![0]!.waiting, 10);
  state.now += 1;
  assert.equal(table.findFleet(service), undefined);
  assert.equal(table.findPeerWaits(service, 1), undefined);
});

test('rows are dropped with the loads of a peer that is lost', () => {
  const {table} = makeVm();
  table.setPeer('a', [[hash, 0, 10, 0, 10, 0]]);
  table.removePeer('a');
  assert.equal(table.findFleet(service), undefined);
});

// This VM hears one peer and no longer the other, which goes on to hear it.
test('on a link cut in one direction the rows of one side age out', () => {
  const {table, state} = makeVm();
  table.setPeer('cut', [[hash, 0, 10, 5, 10, 0]]);
  for (let at = 0; at < 4; at += 1) {
    state.now += periodMilliseconds;
    table.setPeer('heard', [[hash, 0, 4, 3, 4, 0]]);
  }
  const [first] = table.findFleet(service)!;
  assert.deepEqual(first, {waiting: 4, placed: 3, arrivals: 4, refused: 0});
});

test('a peer that stops reporting rows counts as one without requests', () => {
  const {table} = makeVm();
  table.setPeer('a', [[hash, 0, 10, 0, 10, 0]]);
  table.setPeer('b', [[hash, 1, 1, 0, 1, 0]]);
  table.setPeer('a', []);
  assert.equal(table.findFleet(service)![0]!.waiting, 0);
});

test('a peer with false rows blocks no more than its bounded share', () => {
  const {table, state, add, outcomes, getReserved} = makeVm();
  const most = maxDemandCount;
  table.setPeer('liar', [
    [hash, 0, most, 0, most, most],
    [hash, 1, most, 0, most, most],
  ]);
  state.fill = 0.69;
  add(2);
  assert.equal(outcomes[0], true);
  assert.ok(Math.abs(getReserved()! - 0.2) < 1e-9, `${getReserved()}`);
  state.fill = 0.89;
  add(2);
  // Held back only by the room, it is not refused at once.
  assert.equal(outcomes[1], undefined);
});

test('a request that cannot be served in time in the fleet is refused at once', () => {
  const {table, state, add, outcomes} = makeVm();
  for (const vm of ['a', 'b', 'c']) {
    table.setPeer(vm, [
      [hash, 0, 20, 40, 60, 0],
      [hash, 1, 5, 0, 5, 4],
    ]);
  }
  state.fill = 1;
  add(1);
  assert.equal(outcomes[0], false);
  add(0, {waitUntil: state.now + 600});
  assert.equal(outcomes[1], undefined);
});

test('a resumed stream leaves no room free and is not refused', () => {
  const {table, state, add, outcomes, getReserved} = makeVm();
  table.setPeer('a', [[hash, 0, 90, 5, 90, 9]]);
  state.fill = 0.89;
  add(2, {isResumed: true});
  assert.equal(outcomes[0], true);
  assert.equal(getReserved(), 0);
});

test('the rows of a VM count its requests by rank', () => {
  const {table, state, queue, add} = makeVm();
  assert.deepEqual(table.listRows(), []);
  add(0);
  state.fill = 1;
  const left = add(1);
  add(1);
  add(2, {left: path});
  queue.cancel(service, left);
  assert.deepEqual(table.listRows(), [
    [hash, 0, 0, 1, 1, 0],
    [hash, 1, 1, 0, 2, 0],
  ]);
  state.now = 400;
  queue.run();
  assert.deepEqual(table.listRows(), [
    [hash, 0, 0, 1, 1, 0],
    [hash, 1, 0, 0, 2, 1],
  ]);
  state.now = 2000;
  assert.deepEqual(table.listRows(), []);
});

// Deployments without ranks are served as before.
test('where all requests have one rank, nothing is sent, known or left free', () => {
  const {table, state, add, outcomes, getReserved} = makeVm([3, 3]);
  table.setPeer('a', [[hash, 0, 90, 5, 90, 9]]);
  state.fill = 0.89;
  add(0);
  assert.equal(outcomes[0], true);
  assert.equal(getReserved(), 0);
  assert.equal(table.findFleet(service), undefined);
  assert.equal(table.countLevels(), 1);
  assert.deepEqual(table.listRows(), []);
});

test('only streaming routes and accounts make ranks', () => {
  const {table} = makeVm();
  const safe = {...makeRoute(4), kind: RouteKind.Safe};
  const routes = [makeRoute(1), safe];
  table.applyConfiguration({routes, accounts: undefined});
  assert.equal(table.countLevels(), 1);
  const account: Account = {name: 'a', priority: 0};
  const accounts = new Map([['key', account]]);
  table.applyConfiguration({routes, accounts});
  assert.equal(table.countLevels(), 2);
  assert.equal(table.findRank(account, routes[0]!).level, 0);
  assert.equal(table.findRank(undefined, routes[0]!).level, 1);
});

test('ten thousand accounts make few rows and metrics', () => {
  const {table, metrics, queue} = makeVm();
  const accounts = new Map<string, Account>();
  for (let i = 0; i < 10_000; i += 1) {
    accounts.set(`key${i}`, {name: `a${i}`, priority: i});
  }
  table.applyConfiguration({routes: [0, 1, 2].map(makeRoute), accounts});
  for (const account of accounts.values()) {
    const {level} = table.findRank(account, makeRoute(1));
    table.recordArrival(service, {isResumed: false, level});
  }
  queue.run();
  assert.ok(table.listRows().length <= 8);
  const lines = metrics.render().split('\n');
  const waiting = lines.filter(line => line.includes('rank_waiting'));
  assert.ok(waiting.length <= 8, `${waiting.length}`);
});

const heartbeat: Heartbeat = {
  ...{kind: PeerMessageKind.Heartbeat, phase: PeerPhase.Ready, isOwner: false},
  ...{canRead: true, sentAt: 5, topics: [], loads: [], storeEra: 4},
  quarantines: [],
};

test('a heartbeat without rows is that of the build before', () => {
  const row = encodeHeartbeat({...heartbeat, demands: []});
  assert.deepEqual(row, encodeHeartbeat(heartbeat));
  const fields = 7;
  assert.equal(row.length, fields);
  assert.equal(decodeHeartbeat(row)!.demands, undefined);
});

test('a heartbeat with rows has those of the build before in their places', () => {
  const demands = [[hash, 1, 2, 3, 4, 5] as const];
  const row = encodeHeartbeat({...heartbeat, demands});
  assert.deepEqual(row.slice(0, 8), [...encodeHeartbeat(heartbeat), []]);
  assert.deepEqual(decodeHeartbeat(row), {...heartbeat, demands});
});

test('a heartbeat with malformed or later rows is read without them', () => {
  const row = [...encodeHeartbeat(heartbeat), []];
  for (const odd of ['rows', 5, null, {a: 1}, [['x']], [[hash, 9, 1, 1, 1]]]) {
    assert.deepEqual(decodeHeartbeat([...row, odd]), heartbeat);
  }
  const later = [[hash, 1, 2, 3, 4, 5, 'later']];
  const decoded = decodeHeartbeat([...row, later, 'later'])!;
  assert.deepEqual(decoded.demands, [[hash, 1, 2, 3, 4, 5]]);
});

test('a counter holds the last second only', () => {
  const counter = new SecondCounter();
  for (let now = 0; now < 3000; now += 10) counter.add(now);
  const count = counter.count(2999);
  assert.ok(count >= 90 && count <= 100, `${count}`);
  assert.equal(counter.count(4500), 0);
});
