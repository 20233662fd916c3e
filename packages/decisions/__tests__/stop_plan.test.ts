import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  canExit,
  canFinish,
  computeStopRetryDelay,
  planStop,
} from '../src/index.js';

const settings = {directoryTtlMilliseconds: 1000, graceMilliseconds: 8000};
const plan = planStop(settings, 10_000);

test('a stop serves until cached directory answers have expired', () => {
  assert.deepEqual(plan, {
    startedAt: 10_000,
    lingerUntil: 13_500,
    exitAt: 17_500,
  });
});

test('a short grace period shortens the time of cached answers', () => {
  const short = planStop({...settings, graceMilliseconds: 2000}, 0);
  assert.deepEqual(short, {startedAt: 0, lingerUntil: 1500, exitAt: 1500});
});

test('a request whose deadline is before the exit is taken', () => {
  const work = {deadline: 17_400, longMilliseconds: undefined};
  assert.ok(canFinish(plan, work, 16_000));
});

test('a stream that may outlast the exit is refused', () => {
  const work = {deadline: 30_000, longMilliseconds: 4000};
  assert.ok(canFinish(plan, work, 12_400));
  assert.ok(!canFinish(plan, work, 12_600));
});

test('a stream of unknown length is refused', () => {
  const work = {deadline: 30_000, longMilliseconds: undefined};
  assert.ok(!canFinish(plan, work, 10_000));
});

test('a stopping VM waits for requests in flight until its exit', () => {
  assert.ok(!canExit(plan, 0, true, 13_400));
  assert.ok(canExit(plan, 0, true, 13_500));
  assert.ok(!canExit(plan, 1, true, 17_400));
  assert.ok(canExit(plan, 1, true, 17_500));
});

test('a stopping VM serves to the end while no other is ready', () => {
  assert.ok(!canExit(plan, 0, false, 17_400));
  assert.ok(canExit(plan, 0, false, 17_500));
});

test('callers refused by a stop come back when a VM is ready', () => {
  assert.equal(
    computeStopRetryDelay(plan, true, 12_000, () => 0.5),
    0,
  );
  assert.equal(
    computeStopRetryDelay(plan, false, 12_000, () => 0.5),
    7500,
  );
});
