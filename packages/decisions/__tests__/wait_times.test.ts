import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computePatience, computeReturn} from '@zinniaspindle/decisions';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of numbers in [0, 1) that repeats. */
function makeRandom(): () => number {
  const generator = xoroshiro128plus(7);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

const usualPerSecond = 43;
const deadlineMilliseconds = 20_000;

/** Counts the returns a second of callers refused through an outage. */
function countReturns(outageSeconds: number): number[] {
  const random = makeRandom();
  const returns: number[] = [];
  for (let i = 0; i < outageSeconds * usualPerSecond; i += 1) {
    const refusedAt = (i / usualPerSecond) * 1000;
    const at = refusedAt + computeReturn(deadlineMilliseconds, random);
    const second = Math.floor(at / 1000);
    returns[second] = (returns[second] ?? 0) + 1;
  }
  return Array.from(returns, count => count ?? 0);
}

// All paths are gone for 3 s, about the time of a repair. A caller that is
// refused twice is lost.
test('most refused callers return after the outage', () => {
  const returns = countReturns(3);
  const total = returns.reduce((sum, count) => sum + count, 0);
  const early = returns.slice(0, 3).reduce((sum, count) => sum + count, 0);
  assert.ok(early <= total * 0.15, `${early} of ${total} return into it`);
});

test('refused callers return spread over seconds', () => {
  const most = Math.max(...countReturns(3));
  assert.ok(most <= usualPerSecond * 0.75, `${most} returns in a second`);
});

test('callers are not sent beyond the time they honour', () => {
  const random = makeRandom();
  for (let i = 0; i < 50; i += 1) {
    assert.ok(computeReturn(6000, random) <= 2000);
    assert.ok(computeReturn(0, random) >= 0);
  }
});

// A place on a full path frees up every 70 ms at 14 streams a second; a path
// that is gone takes longer than any request can wait.
test('a request waits for a place, hardly for a path', () => {
  assert.equal(computePatience(500, true), 200);
  assert.equal(computePatience(500, false), 60);
});
