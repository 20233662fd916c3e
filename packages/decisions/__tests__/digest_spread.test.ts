import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EndpointId, VmId} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import type {SentEntries} from '../src/membership/digest_entries.js';
import {chooseEntries} from '../src/membership/digest_entries.js';
import {demandKind} from '../src/membership/digest_kinds.js';
import {chooseWatchers} from '../src/index.js';

test('the most changed entries are sent first and none is starved', () => {
  const sent: SentEntries<string, number> = new Map();
  const current = new Map([
    ['a', 5],
    ['b', 50],
    ['c', 500],
  ]);
  const limits = {changed: 1, refreshed: 0};
  const order: string[] = [];
  for (let i = 0; i < 3; i += 1) {
    const chosen = chooseEntries(sent, current, demandKind, limits);
    order.push(...chosen.map(([key]) => key));
  }
  assert.deepEqual(order, ['c', 'b', 'a']);
  assert.deepEqual(chooseEntries(sent, current, demandKind, limits), []);
});

test('entries are refreshed, and removed ones are sent as empty', () => {
  const sent: SentEntries<string, number> = new Map();
  const limits = {changed: 9, refreshed: 1};
  const send = (current: Map<string, number>) =>
    chooseEntries(sent, current, demandKind, limits);
  send(new Map([['a', 5]]));
  assert.deepEqual(send(new Map([['a', 5]])), [['a', 5]]);
  assert.deepEqual(send(new Map()), [['a', 0]]);
  assert.deepEqual(send(new Map()), [['a', 0]]);
  assert.deepEqual(send(new Map()), []);
});

test('watchers are balanced, and few change when a VM leaves', () => {
  const peers = Array.from({length: 28}, (_, i) => toId<VmId>(`v${i}`));
  const counts = new Map<VmId, number>();
  let moved = 0;
  for (let i = 0; i < 1000; i += 1) {
    const endpoint = toId<EndpointId>(`e${i}`);
    const watchers = chooseWatchers(endpoint, peers, 2);
    for (const vm of watchers) counts.set(vm, (counts.get(vm) ?? 0) + 1);
    const fewer = chooseWatchers(endpoint, peers.slice(1), 2);
    if (fewer.join() !== watchers.join()) moved += 1;
  }
  const most = Math.max(...counts.values());
  assert.ok(
    most <= 110,
    `the busiest VM watches ${most} endpoints, the mean is 71`,
  );
  assert.ok(moved <= 110, `${moved} of 1000 endpoints changed watchers`);
});
