import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeQueueTimeout, computeRetryDelay} from '@zinniaspindle/decisions';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Makes a reproducible source of numbers in [0, 1). */
function makeRandom(): () => number {
  const generator = xoroshiro128plus(7);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

const usualPerSecond = 43;
const deadlineMilliseconds = 20_000;

/** Counts the retries in each second by callers refused during an outage. */
function countRetries(outageSeconds: number): number[] {
  const random = makeRandom();
  const retriesPerSecond: number[] = [];
  for (let i = 0; i < outageSeconds * usualPerSecond; i += 1) {
    const refusedAt = (i / usualPerSecond) * 1000;
    const at = refusedAt + computeRetryDelay(deadlineMilliseconds, random);
    const second = Math.floor(at / 1000);
    retriesPerSecond[second] = (retriesPerSecond[second] ?? 0) + 1;
  }
  return Array.from(retriesPerSecond, count => count ?? 0);
}

// All paths are down for 3 s, about the time of a repair. A caller that is
// refused twice gives up.
test('most refused callers retry after the outage', () => {
  const retryCounts = countRetries(3);
  const total = retryCounts.reduce((sum, count) => sum + count, 0);
  const early = retryCounts.slice(0, 3).reduce((sum, count) => sum + count, 0);
  assert.ok(early <= total * 0.15, `${early} of ${total} retry too early`);
});

test('retries of refused callers are spread over seconds', () => {
  const most = Math.max(...countRetries(3));
  assert.ok(most <= usualPerSecond * 0.75, `${most} retries in a second`);
});

test('a retry delay stays within the share that callers honour', () => {
  const random = makeRandom();
  for (let i = 0; i < 50; i += 1) {
    assert.ok(computeRetryDelay(6000, random) <= 2000);
    assert.ok(computeRetryDelay(0, random) >= 0);
  }
});

// At 14 streams a second a slot of a full path frees up every 70 ms; the repair
// of a lost path takes longer than any request can wait.
test('a request waits longer for a slot than for a path', () => {
  assert.equal(computeQueueTimeout(500, true, undefined), 200);
  assert.equal(computeQueueTimeout(500, false, undefined), 60);
  assert.equal(computeQueueTimeout(500, false, 100), 60);
});

test('a request waits for a slot as long as its target can be met', () => {
  assert.equal(computeQueueTimeout(600, true, 100), 450);
  assert.equal(computeQueueTimeout(600, true, 380), 240);
});
