import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  addWaiter,
  computeLateWait,
  createWaitQueue,
  getWaitEnd,
  recordLate,
  type Waiter,
} from '@zinniaspindle/decisions';

const target = 500;

function makeWaiter(receivedAt: number, fields: Partial<Waiter> = {}): Waiter {
  return {
    isResumed: false,
    priority: 0,
    receivedAt,
    waitUntil: receivedAt + 200,
    lateUntil: receivedAt + computeLateWait(target),
    ...fields,
  };
}

// Guards against late requests that make the next ones late as well in a burst.
test('late requests go behind all that can be in time, of any rank', () => {
  const queue = createWaitQueue<Waiter>();
  const late = makeWaiter(0);
  const first = makeWaiter(150, {priority: 2});
  for (const waiter of [late, first]) addWaiter(queue, waiter, 150);
  assert.ok(recordLate(queue, late, 200));
  const second = makeWaiter(210, {priority: 1});
  addWaiter(queue, second, 210);
  assert.deepEqual(queue.waiters, [second, first, late]);
});

test('a late request keeps its end, and is deferred once', () => {
  const queue = createWaitQueue<Waiter>();
  const waiter = makeWaiter(0);
  addWaiter(queue, waiter, 0);
  assert.equal(getWaitEnd(waiter), 200);
  assert.ok(recordLate(queue, waiter, 200));
  assert.equal(getWaitEnd(waiter), 2 * target);
  assert.equal(recordLate(queue, waiter, 300), false);
});

// Guards against streams that were cut losing their place before new ones.
test('cut streams and requests without a late end are not deferred', () => {
  const queue = createWaitQueue<Waiter>();
  const cut = makeWaiter(0, {isResumed: true});
  const strict = makeWaiter(0, {lateUntil: undefined});
  const over = makeWaiter(0, {lateUntil: 100});
  for (const waiter of [cut, strict, over]) {
    addWaiter(queue, waiter, 0);
    assert.equal(recordLate(queue, waiter, 200), false);
  }
  assert.equal(queue.waiters.length, 3);
});

// Guards against callers held longer than a retry would take.
test('nobody waits late for longer than the shortest retry delay', () => {
  assert.equal(computeLateWait(500), 1000);
  assert.equal(computeLateWait(1000), 1500);
  assert.equal(computeLateWait(20_000), 1500);
});
