import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OrderHistory} from '../src/fleet/order_history.js';

const range = {first: 0, end: 4};

function makeOrder(orderCount: number) {
  return {orderCount, range, cutsRequests: true};
}

test('orders are those of one incarnation of an endpoint', () => {
  const history = new OrderHistory();
  history.record({id: 'e1', bornAt: 5, ...makeOrder(1)});
  assert.deepEqual(history.list('e1', 5), [makeOrder(1)]);
  assert.deepEqual(history.list('e1', undefined), [makeOrder(1)]);
  assert.deepEqual(history.list('e1', 6), []);
  assert.deepEqual(history.list('e2', 5), []);
  history.record({id: 'e1', bornAt: 6, ...makeOrder(2)});
  // A late message does not bring an earlier incarnation back.
  history.record({id: 'e1', bornAt: 5, ...makeOrder(3)});
  assert.deepEqual(history.list('e1', 6), [makeOrder(2)]);
});

test('the latest orders and endpoints are kept', () => {
  const history = new OrderHistory();
  for (let count = 1; count <= 100; count += 1) {
    history.record({id: 'e0', bornAt: 1, ...makeOrder(count)});
  }
  const kept = history.list('e0', 1);
  assert.equal(kept.length, 32);
  assert.equal(kept.at(-1)!.orderCount, 100);
  for (let index = 1; index <= 2000; index += 1) {
    history.record({id: `e${index}`, bornAt: 1, ...makeOrder(1)});
  }
  assert.equal(history.list('e0', 1).length, 0);
  assert.equal(history.list('e1', 1).length, 1);
});
