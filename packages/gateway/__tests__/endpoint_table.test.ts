import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GatewayEvent, type LayerRange} from '@zinniaspindle/shared';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import type {EventFields} from '../src/log/event_log.js';
import {makeEntry} from './make_entry.js';

const id = 'e1';

function makeTable(): {table: EndpointTable; clock: {now: number}} {
  const clock = {now: 1000};
  const table = new EndpointTable(
    () => undefined,
    () => clock.now,
  );
  table.applyEntry(makeEntry({bornAt: 100}));
  return {table, clock};
}

function report(
  table: EndpointTable,
  orderCount: number,
  held: LayerRange | undefined,
  bornAt = 100,
): boolean {
  return table.applyReport({id, bornAt, orderCount, held});
}

test('an order removes the layers outside its range at once', () => {
  const {table} = makeTable();
  report(table, 1, {first: 13, end: 18});
  table.applyOrder(id, 100, {first: 16, end: 22}, 2);
  assert.deepEqual(table.find(id)!.held, {first: 16, end: 18});
});

test('layers only increase between two orders', () => {
  const {table} = makeTable();
  table.applyOrder(id, 100, {first: 28, end: 35}, 2);
  assert.equal(report(table, 2, {first: 28, end: 35}), true);
  assert.equal(report(table, 2, {first: 29, end: 35}), false);
  assert.deepEqual(table.find(id)!.held, {first: 28, end: 35});
});

test('a report from before an order does not revert it', () => {
  const {table} = makeTable();
  report(table, 1, {first: 0, end: 5});
  table.applyOrder(id, 100, {first: 2, end: 7}, 2);
  report(table, 1, {first: 0, end: 5});
  assert.equal(table.find(id)!.orderCount, 2);
  assert.deepEqual(table.find(id)!.held, {first: 2, end: 5});
});

test('an order count that stays lower is accepted after the report lag', () => {
  const {table, clock} = makeTable();
  table.applyOrder(id, 100, {first: 2, end: 7}, 2);
  clock.now += 2000;
  report(table, 1, {first: 0, end: 5});
  assert.equal(table.find(id)!.orderCount, 1);
});

test('a restart clears the layers and orders of an endpoint', () => {
  const {table} = makeTable();
  report(table, 3, {first: 0, end: 5});
  table.applyOrder(id, 100, {first: 0, end: 7}, 4);
  table.applyEntry(makeEntry({bornAt: 200}));
  const state = table.find(id)!;
  assert.equal(state.held, undefined);
  assert.equal(state.orderCount, 0);
  assert.equal(table.findPending(state), undefined);
});

test('a lagging entry does not replace a newer report', () => {
  const {table, clock} = makeTable();
  report(table, 1, {first: 0, end: 5});
  clock.now += 1000;
  table.applyEntry(makeEntry({bornAt: 100, held: undefined}));
  assert.deepEqual(table.find(id)!.held, {first: 0, end: 5});
  clock.now += 6000;
  table.applyEntry(makeEntry({bornAt: 100, held: {first: 0, end: 4}}));
  assert.deepEqual(table.find(id)!.held, {first: 0, end: 4});
});

test('a removal is deferred while the store recovers', () => {
  const {table, clock} = makeTable();
  table.removeEntry(id, clock.now + 2300);
  assert.ok(table.find(id) !== undefined);
  table.applyEntry(makeEntry({bornAt: 100}));
  clock.now += 3000;
  table.expireRemovals();
  assert.ok(table.find(id) !== undefined);
  table.removeEntry(id, clock.now + 2300);
  clock.now += 2300;
  table.expireRemovals();
  assert.equal(table.find(id), undefined);
});

test('suspicions withhold requests until they expire', () => {
  const {table, clock} = makeTable();
  const state = table.find(id)!;
  table.recordSuspicion(state, clock.now + 500, 'test');
  assert.equal(table.isUsable(state), false);
  clock.now += 500;
  assert.equal(table.isUsable(state), true);
});

const leaving = {isLeaving: true, pauseMilliseconds: undefined};

test('a ready entry does not take back that an endpoint leaves', () => {
  const {table} = makeTable();
  table.acceptNotice({id, bornAt: 100}, leaving, 'request r1');
  assert.equal(table.isUsable(table.find(id)!), false);
  table.applyEntry(makeEntry({bornAt: 100, held: {first: 0, end: 4}}));
  assert.equal(table.isUsable(table.find(id)!), false);
});

// The entry is lost with the newest records of the store and written again.
test('an entry that is removed and written again does not take it back', () => {
  const {table, clock} = makeTable();
  table.acceptNotice({id, bornAt: 100}, leaving, 'request r1');
  table.removeEntry(id, clock.now);
  clock.now += 5000;
  table.expireRemovals();
  table.applyEntry(makeEntry({bornAt: 100}));
  assert.equal(table.isUsable(table.find(id)!), false);
});

test('a new incarnation of an endpoint that left is used', () => {
  const {table} = makeTable();
  table.acceptNotice({id, bornAt: 100}, leaving, 'request r1');
  const {revision} = table;
  table.applyEntry(makeEntry({bornAt: 200}));
  assert.equal(table.isUsable(table.find(id)!), true);
  assert.ok(table.revision > revision);
});

test('an endpoint that leaves is told to the peers once', () => {
  const told: string[] = [];
  const table = new EndpointTable(
    () => undefined,
    () => 1000,
    one => told.push(one.id),
  );
  table.applyEntry(makeEntry({bornAt: 100}));
  table.acceptNotice({id, bornAt: 100}, leaving, 'request r1');
  table.acceptNotice({id, bornAt: 100}, leaving, 'request r2');
  assert.deepEqual(told, [id]);
  table.recordLeaving({id: 'e2', bornAt: 100}, 'peer vm-2');
  table.applyEntry(makeEntry({id: 'e2', bornAt: 100}));
  assert.equal(table.isUsable(table.find('e2')!), false);
  assert.deepEqual(told, [id]);
});

test('a pause is not told to the peers, and one without sense is logged once', () => {
  const told: string[] = [];
  const logged: string[] = [];
  const table = new EndpointTable(
    (_event, fields) => logged.push(String(fields['askedMs'])),
    () => 1000,
    one => told.push(one.id),
  );
  for (const pauseMilliseconds of [NaN, NaN, -3, 9000, 9500]) {
    const notice = {isLeaving: false, pauseMilliseconds};
    table.acceptNotice({id, bornAt: 100}, notice, 'request r1');
  }
  assert.deepEqual(told, []);
  assert.deepEqual(logged, ['NaN', '9000']);
});

test('an endpoint whose entry is written again still pauses', () => {
  const {table, clock} = makeTable();
  const notice = {isLeaving: false, pauseMilliseconds: 4000};
  table.acceptNotice({id, bornAt: 100}, notice, 'request r1');
  table.removeEntry(id, clock.now);
  clock.now += 1000;
  table.applyEntry(makeEntry({bornAt: 100}));
  assert.equal(table.findReturn('letters'), clock.now + 3000);
  table.applyEntry(makeEntry({bornAt: 200}));
  assert.equal(table.findReturn('letters'), undefined);
});

test('an endpoint that peers reach and this VM does not is named with them', () => {
  const lines: EventFields[] = [];
  const table = new EndpointTable(
    (event, fields) => {
      if (event === GatewayEvent.EndpointUnreached) lines.push(fields);
    },
    () => 1000,
  );
  table.applyEntry(makeEntry({}));
  const state = table.find('e1')!;
  state.health.failedProbes = 1;
  for (const vm of ['vm-1', 'vm-2', 'vm-3']) {
    table.recordRefutation('e1', state.bornAt, vm);
  }
  assert.deepEqual(lines, [{endpoint: 'e1', peers: 'vm-1 vm-2'}]);
});

const model = {
  shape: {
    ...{layerCount: 8, layerMegabytes: 100, tokenMegabytesPerLayer: 0.001},
    ...{stepMilliseconds: 1, loadsAtOnce: 6},
  },
  kinds: new Map([['card', {name: 'card', sizeMegabytes: 2000, pace: 1}]]),
  meanAnswerTokens: 10,
};

function listLeaving(table: EndpointTable): string[] {
  return table.listLeaving('letters', model).map(stage => stage.id);
}

// Some endpoints leave without a report; streams on them still run.
test('a sound endpoint whose entry is removed counts as leaving for a while', () => {
  const {table, clock} = makeTable();
  report(table, 1, {first: 0, end: 5});
  assert.deepEqual(listLeaving(table), []);
  table.removeEntry(id, clock.now);
  assert.deepEqual(listLeaving(table), [id]);
  clock.now += 11_000;
  assert.deepEqual(listLeaving(table), []);
});

test('an endpoint that has failed, ended or come back does not count as leaving', () => {
  const {table, clock} = makeTable();
  table.find(id)!.health.failedProbes = 2;
  table.removeEntry(id, clock.now);
  assert.deepEqual(listLeaving(table), []);
  table.applyEntry(makeEntry({bornAt: 200}));
  table.removeReplaced(id);
  assert.deepEqual(listLeaving(table), []);
  table.applyEntry(makeEntry({bornAt: 300}));
  table.removeEntry(id, clock.now);
  table.applyEntry(makeEntry({bornAt: 300}));
  assert.deepEqual(listLeaving(table), []);
});
