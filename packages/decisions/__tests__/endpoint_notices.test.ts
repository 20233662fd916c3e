import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  computeReturnDelay,
  createEndpointNotices,
  findPauseEnd,
  isLeaving,
  maxPauseMilliseconds,
  PauseOutcome,
  recordLeaving,
  recordPause,
} from '../src/stages/index.js';

const now = 1000;

test('an incarnation that states that it leaves does so to its end', () => {
  const notices = createEndpointNotices();
  assert.equal(isLeaving(notices, 100), false);
  assert.equal(recordLeaving(notices, 100, now), true);
  assert.equal(isLeaving(notices, 100), true);
  assert.equal(isLeaving(notices, 99), true);
});

test('a new incarnation does not leave', () => {
  const notices = createEndpointNotices();
  recordLeaving(notices, 100, now);
  assert.equal(isLeaving(notices, 101), false);
});

test('the late notice of an old incarnation does not undo a newer one', () => {
  const notices = createEndpointNotices();
  recordLeaving(notices, 200, now);
  assert.equal(recordLeaving(notices, 100, now), false);
  assert.equal(isLeaving(notices, 200), true);
});

test('a pause lasts until its instant, and the longest of several holds', () => {
  const notices = createEndpointNotices();
  assert.equal(recordPause(notices, 100, 2500, now), PauseOutcome.Started);
  assert.equal(recordPause(notices, 100, 500, now), PauseOutcome.Extended);
  assert.equal(findPauseEnd(notices, 100, now + 2499), now + 2500);
  assert.equal(findPauseEnd(notices, 100, now + 2500), undefined);
});

test('a new incarnation does not pause, and its own pause counts alone', () => {
  const notices = createEndpointNotices();
  recordPause(notices, 100, 9000, now);
  assert.equal(findPauseEnd(notices, 101, now), undefined);
  assert.equal(recordPause(notices, 101, 500, now), PauseOutcome.Started);
  assert.equal(findPauseEnd(notices, 101, now), now + 500);
  recordPause(notices, 100, 9000, now);
  assert.equal(findPauseEnd(notices, 101, now), now + 500);
});

test('a pause without sense is none, and is reported once for an incarnation', () => {
  const notices = createEndpointNotices();
  for (const milliseconds of [NaN, -1, -Infinity]) {
    const outcome = recordPause(notices, 100, milliseconds, now);
    const isFirst = Number.isNaN(milliseconds);
    const expected = isFirst ? PauseOutcome.Faulty : PauseOutcome.FaultyAgain;
    assert.equal(outcome, expected);
    assert.equal(findPauseEnd(notices, 100, now), undefined);
  }
  assert.equal(recordPause(notices, 101, NaN, now), PauseOutcome.Faulty);
});

test('an absurd pause is bounded', () => {
  for (const milliseconds of [1e12, Infinity]) {
    const notices = createEndpointNotices();
    recordPause(notices, 100, milliseconds, now);
    const until = now + maxPauseMilliseconds;
    assert.equal(findPauseEnd(notices, 100, now), until);
  }
});

test('refused callers return after the pause, spread over time', () => {
  const returnAt = now + 4000;
  assert.equal(
    computeReturnDelay(returnAt, now, () => 0),
    4000,
  );
  assert.equal(
    computeReturnDelay(returnAt, now, () => 1),
    6000,
  );
  assert.equal(
    computeReturnDelay(now - 1, now, () => 1),
    400,
  );
});
