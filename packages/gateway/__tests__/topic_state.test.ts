import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeMaxAge, deriveReadSchedule} from '@zinniaspindle/decisions';
import {TopicState} from '../src/following/topic_state.js';
import {Topic, type KeyedRecord} from '../src/ports/index.js';

function makeRecord(key: string, offset: number, text?: string): KeyedRecord {
  const value = text === undefined ? undefined : Buffer.from(text);
  return {key, offset, value};
}

function makeState(): {state: TopicState; applied: string[]} {
  const applied: string[] = [];
  const state = new TopicState(Topic.Endpoints, ({key, value, offset}) => {
    applied.push(`${key}@${offset}=${value?.toString() ?? 'gone'}`);
  });
  return {state, applied};
}

test('records before the first snapshot are ignored', () => {
  const {state} = makeState();
  assert.equal(state.acceptBatch(0, [makeRecord('a', 0, 'x')], 10), false);
});

test('consecutive records advance the position', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 3, 'x')], 4, 10);
  assert.equal(state.acceptBatch(4, [makeRecord('a', 4, 'y')], 20), true);
  assert.deepEqual(applied, ['a@3=x', 'a@4=y']);
  assert.equal(state.next, 5);
  assert.equal(state.asOf, 20);
});

test('a gap is reported and no record is applied', () => {
  const {state, applied} = makeState();
  state.acceptNewest([], 4, 10);
  assert.equal(state.acceptBatch(6, [makeRecord('a', 6, 'y')], 20), false);
  assert.deepEqual(applied, []);
  assert.equal(state.asOf, 10);
});

test('records that are known already change nothing', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 3, 'x')], 4, 10);
  state.acceptBatch(3, [makeRecord('a', 3, 'x')], 20);
  assert.deepEqual(applied, ['a@3=x']);
});

test('an older snapshot does not move the position back', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 3, 'x')], 4, 10);
  state.acceptNewest([makeRecord('a', 1, 'w')], 2, 20);
  assert.equal(state.next, 4);
  assert.deepEqual(applied, ['a@3=x']);
});

test('keys that a snapshot lacks are removed', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 1, 'x'), makeRecord('b', 2, 'y')], 3, 1);
  state.acceptNewest([makeRecord('b', 2, 'y')], 5, 2);
  assert.deepEqual(applied, ['a@1=x', 'b@2=y', 'a@5=gone']);
  assert.equal(state.listNewest().length, 1);
});

test('a record without a value removes its key', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 1, 'x')], 2, 1);
  state.acceptBatch(2, [makeRecord('a', 2)], 2);
  assert.equal(applied.at(-1), 'a@2=gone');
  assert.equal(state.listNewest().length, 0);
});

test('the age of a peer is used only at the same or an earlier position', () => {
  const {state} = makeState();
  state.acceptNewest([], 4, 10);
  state.updateAge(5, 30);
  assert.equal(state.asOf, 10);
  state.updateAge(4, 25);
  assert.equal(state.asOf, 25);
  state.expireAge();
  assert.equal(state.asOf, -Infinity);
});

test('the VM of rank 0 reads at once, the others staggered by rank', () => {
  const schedule = deriveReadSchedule(2000);
  assert.equal(schedule.waitMilliseconds, 1000);
  assert.equal(computeMaxAge(0, schedule), 0);
  assert.equal(computeMaxAge(1, schedule), 1310);
  assert.equal(computeMaxAge(300, schedule), 1550);
  assert.equal(computeMaxAge(undefined, schedule), 1550);
});

test('the read schedule follows the bound of the deployment', () => {
  for (const bound of [2000, 3000, 4000]) {
    const schedule = deriveReadSchedule(bound);
    let before = schedule.waitMilliseconds;
    for (let rank = 1; rank < 340; rank += 1) {
      const age = computeMaxAge(rank, schedule);
      assert.ok(age >= before, `rank ${rank} at bound ${bound}`);
      before = age;
    }
    assert.ok(before <= bound - 400, `${before} of ${bound}`);
  }
});

test('changes are applied once each key, and removals among them', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 1, 'x'), makeRecord('b', 2, 'y')], 3, 1);
  const changes = [makeRecord('a', 3, 'v'), makeRecord('a', 7, 'w')];
  state.acceptChanges(3, [...changes, makeRecord('b', 9)], 9, 2);
  assert.deepEqual(applied.slice(2), ['a@7=w', 'b@9=gone']);
  assert.equal(state.next, 9);
});

test('changes older than the position do not bring back a removed key', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 1, 'x')], 2, 1);
  state.acceptBatch(2, [makeRecord('a', 2)], 2);
  assert.equal(state.acceptChanges(1, [makeRecord('a', 1, 'x')], 2, 3), true);
  assert.deepEqual(applied, ['a@1=x', 'a@2=gone']);
});

test('a snapshot gives the changes that it brought', () => {
  const {state} = makeState();
  state.acceptNewest([makeRecord('a', 1, 'x'), makeRecord('b', 2, 'y')], 3, 1);
  const changes = state.acceptNewest(
    [makeRecord('b', 2, 'y'), makeRecord('c', 5, 'z')],
    6,
    2,
  );
  assert.deepEqual(
    changes.map(({key, offset}) => `${key}@${offset}`),
    ['a@6', 'c@5'],
  );
});

test('a snapshot of a later era replaces records at the same offsets', () => {
  const {state, applied} = makeState();
  state.acceptNewest(
    [makeRecord('a', 3, 'x'), makeRecord('b', 4, 'y')],
    5,
    1,
    1,
  );
  state.acceptNewest([makeRecord('a', 3, 'z')], 4, 2, 2);
  assert.deepEqual(applied.slice(2), ['b@4=gone', 'a@3=z']);
  assert.equal(state.next, 4);
  assert.equal(state.era, 2);
  assert.equal(state.asOf, 2);
});

test('records of another era are not taken for those of this one', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 3, 'x')], 4, 1, 2);
  assert.equal(state.acceptBatch(4, [makeRecord('a', 4, 'y')], 9, 1), true);
  assert.equal(state.acceptBatch(4, [makeRecord('a', 4, 'y')], 9), true);
  assert.equal(state.acceptBatch(4, [makeRecord('a', 4, 'y')], 9, 3), false);
  state.acceptNewest([makeRecord('a', 8, 'z')], 9, 9, 1);
  state.acceptNewest([makeRecord('a', 8, 'z')], 9, 9);
  assert.deepEqual(applied, ['a@3=x']);
  assert.equal(state.next, 4);
});

test('the age of a peer in another era is not used', () => {
  const {state} = makeState();
  state.acceptNewest([], 4, 10, 2);
  state.updateAge(4, 30, 1);
  state.updateAge(4, 30);
  assert.equal(state.asOf, 10);
});

test('a position before any era is known is void once one is known', () => {
  const {state, applied} = makeState();
  state.acceptNewest([makeRecord('a', 3, 'x')], 4, 1);
  state.acceptNewest([makeRecord('a', 1, 'w')], 2, 2, 1);
  assert.deepEqual(applied, ['a@3=x', 'a@1=w']);
  assert.equal(state.next, 2);
});
