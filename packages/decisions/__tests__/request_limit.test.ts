import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  createRequestCredit,
  createRequestLimit,
  findLimit,
  findNextCredit,
  hasCredit,
  LimitOutcome,
  recordLimit,
  takeCredit,
} from '../src/stages/index.js';

const windowMilliseconds = 4000;

/** Makes a reproducible source of numbers in [0, 1). */
function makeRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** What all VMs of a fleet want to send to one endpoint. */
interface Pattern {
  readonly perSecond: number;
  readonly vms: number;
  readonly wantedPerSecond: number;
  /** No VM wants to send anything before. */
  readonly idleMilliseconds?: number;
}

/** Gives when requests are sent to the endpoint. */
function simulate(pattern: Pattern, seed: number): number[] {
  const random = makeRandom(seed);
  const {perSecond, vms, wantedPerSecond, idleMilliseconds = 0} = pattern;
  const credits = Array.from({length: vms}, () =>
    createRequestCredit(perSecond / vms, 0, random),
  );
  const sentAt: number[] = [];
  for (let now = 0; now < 60_000; now += 1) {
    if (now < idleMilliseconds) continue;
    if (random() >= wantedPerSecond / 1000) continue;
    const credit = credits[Math.floor(random() * vms)]!;
    if (!hasCredit(credit, now)) continue;
    takeCredit(credit, now);
    sentAt.push(now);
  }
  return sentAt;
}

function countMost(times: readonly number[]): number {
  let most = 0;
  for (const [index, start] of times.entries()) {
    const after = times.filter(at => at >= start);
    const count = after.filter(at => at <= start + windowMilliseconds).length;
    most = Math.max(most, count);
    if (index + most >= times.length) break;
  }
  return most;
}

for (const vms of [1, 13, 195]) {
  for (const perSecond of [0.1, 1, 2.5, 8, 60]) {
    test(`${vms} VMs keep to ${perSecond} requests a second`, () => {
      const allowed = 1.5 * perSecond * (windowMilliseconds / 1000) + 5;
      for (let seed = 1; seed <= 5; seed += 1) {
        for (const idleMilliseconds of [0, 30_000]) {
          const load = {perSecond, vms, wantedPerSecond: 300, idleMilliseconds};
          assert.ok(countMost(simulate(load, seed)) <= allowed, `seed ${seed}`);
        }
      }
    });
  }
}

test('VMs with enough requests use the whole limit', () => {
  for (const perSecond of [1, 8, 60]) {
    const load = {perSecond, vms: 13, wantedPerSecond: 400};
    const sent = simulate(load, 3).length;
    assert.ok(sent >= 0.9 * perSecond * 60, `${sent} at ${perSecond}`);
  }
});

test('the next credit is when a request may be sent', () => {
  const credit = createRequestCredit(0.5, 0, () => 0.25);
  const next = findNextCredit(credit, 0);
  assert.equal(next, 1500);
  assert.equal(hasCredit(credit, next - 1), false);
  assert.equal(hasCredit(credit, next), true);
  takeCredit(credit, next);
  assert.equal(findNextCredit(credit, next), 3500);
});

test('a slot that is not used in time is given up', () => {
  const credit = createRequestCredit(0.5, 0, () => 0);
  assert.equal(hasCredit(credit, 3000), true);
  assert.equal(hasCredit(credit, 3001), false);
});

test('a limit holds until an answer states none', () => {
  const limit = createRequestLimit();
  assert.equal(recordLimit(limit, 1, 8, 10), LimitOutcome.Changed);
  assert.equal(recordLimit(limit, 1, 8.1, 11), LimitOutcome.Same);
  assert.equal(recordLimit(limit, 1, 4, 12), LimitOutcome.Changed);
  assert.equal(findLimit(limit, 1), 4);
  assert.equal(recordLimit(limit, 1, undefined, 11), LimitOutcome.Same);
  assert.equal(recordLimit(limit, 1, undefined, 13), LimitOutcome.Ended);
  assert.equal(findLimit(limit, 1), undefined);
});

test('a limit is that of one incarnation', () => {
  const limit = createRequestLimit();
  recordLimit(limit, 1, 8, 10);
  assert.equal(findLimit(limit, 2), undefined);
  assert.equal(recordLimit(limit, 2, undefined, 11), LimitOutcome.Same);
  assert.equal(recordLimit(limit, 1, 8, 12), LimitOutcome.Same);
  assert.equal(findLimit(limit, 2), undefined);
});

test('a limit ends after a time of values without sense', () => {
  const limit = createRequestLimit();
  recordLimit(limit, 1, 8, 0);
  recordLimit(limit, 1, NaN, 3000);
  assert.equal(findLimit(limit, 1), 8);
  assert.equal(recordLimit(limit, 1, NaN, 3001), LimitOutcome.Ended);
  assert.equal(findLimit(limit, 1), undefined);
});

test('a limit without sense changes nothing and is told once', () => {
  const limit = createRequestLimit();
  recordLimit(limit, 1, 8, 10);
  assert.equal(recordLimit(limit, 1, NaN, 11), LimitOutcome.Faulty);
  assert.equal(recordLimit(limit, 1, -3, 12), LimitOutcome.Same);
  assert.equal(findLimit(limit, 1), 8);
});

test('a limit of 0 lets a request pass at times, so that its end is heard', () => {
  const limit = createRequestLimit();
  recordLimit(limit, 1, 0, 10);
  assert.equal(findLimit(limit, 1), 0.1);
});
