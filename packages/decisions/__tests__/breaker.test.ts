import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BreakerPhase,
  canSend,
  computeSilentAt,
  createBreaker,
  createGapEstimator,
  FailureCertainty,
  recordFailure,
  recordGap,
  recordSend,
  recordSuccess,
} from '../src/index.js';

const getHalf = () => 0.5;

test('a breaker opens, allows one probe and closes on its success', () => {
  const breaker = createBreaker();
  recordFailure(breaker, FailureCertainty.Certain, 0, getHalf);
  assert.equal(canSend(breaker, 999), false);
  recordSuccess(breaker);
  assert.equal(breaker.phase, BreakerPhase.Open);
  assert.equal(canSend(breaker, 1000), true);
  recordSend(breaker, 1000);
  assert.equal(canSend(breaker, 1001), false);
  recordSuccess(breaker);
  assert.equal(breaker.phase, BreakerPhase.Closed);
});

test('an old success does not close a breaker whose open time is over', () => {
  const breaker = createBreaker();
  recordFailure(breaker, FailureCertainty.Certain, 0, getHalf);
  assert.equal(canSend(breaker, 1000), true);
  recordSuccess(breaker);
  assert.equal(breaker.phase, BreakerPhase.Open);
});

test('a failed probe doubles the open time', () => {
  const breaker = createBreaker();
  recordFailure(breaker, FailureCertainty.Certain, 0, getHalf);
  recordSend(breaker, 1000);
  recordFailure(breaker, FailureCertainty.Suspected, 1100, getHalf);
  assert.equal(canSend(breaker, 3099), false);
  assert.equal(canSend(breaker, 3100), true);
});

test('suspected failures open a breaker only if repeated in time', () => {
  const breaker = createBreaker();
  const recordSuspicion = (now: number) =>
    recordFailure(breaker, FailureCertainty.Suspected, now, getHalf);
  recordSuspicion(0);
  recordSuspicion(1);
  recordSuspicion(20_000);
  assert.equal(breaker.phase, BreakerPhase.Closed);
  recordSuspicion(20_001);
  recordSuspicion(20_002);
  assert.equal(breaker.phase, BreakerPhase.Open);
});

test('the silence timeout follows recent gaps and own lateness', () => {
  const estimator = createGapEstimator();
  assert.equal(computeSilentAt(estimator, 100, 0), 2100);
  for (let i = 0; i < 40; i += 1) recordGap(estimator, i % 2 === 0 ? 80 : 120);
  const silentAt = computeSilentAt(estimator, 1000, 0);
  assert.ok(silentAt > 1150 && silentAt < 1500);
  assert.equal(computeSilentAt(estimator, 1000, 70), silentAt + 70);
});
