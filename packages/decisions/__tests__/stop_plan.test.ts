import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AnswerSize,
  canClose,
  canTake,
  computeStopRetryDelay,
  findEarliestSending,
  planStop,
  type StopWork,
} from '../src/index.js';

const settings = {directoryTtlMilliseconds: 1000, graceMilliseconds: 8000};
const plan = planStop(settings, 10_000, 10_000);

/** A stream of a kind that takes up to eight seconds, evenly spread. */
function makeStream(refusingShare: number): StopWork {
  return {
    deadline: 30_000,
    answer: AnswerSize.Stream,
    findDuration: share => share * 8000,
    refusingShare,
  };
}

test('a stop serves until cached directory answers have expired', () => {
  assert.deepEqual(plan, {
    startedAt: 10_000,
    takeUntil: 12_700,
    lingerUntil: 13_500,
    closeAt: 17_250,
    exitAt: 17_500,
  });
});

test('a short grace period shortens the time of cached answers', () => {
  const short = planStop({...settings, graceMilliseconds: 2400}, 0, 0);
  assert.deepEqual(short, {
    startedAt: 0,
    takeUntil: 1950,
    lingerUntil: 1950,
    closeAt: 1950,
    exitAt: 2200,
  });
});

test('a stop counts from the earliest sending of its signal', () => {
  assert.deepEqual(planStop(settings, 9300, 10_000), {
    startedAt: 10_000,
    takeUntil: 12_000,
    lingerUntil: 13_500,
    closeAt: 16_550,
    exitAt: 16_800,
  });
});

test('a held up stop reaches the last part of the grace period', () => {
  const lastPartShare = 1 / 6;
  for (const graceMilliseconds of [2000, 4000, 8000, 30_000]) {
    for (const heldUpShare of [0, 0.05, 0.1, 0.125]) {
      const held = graceMilliseconds * heldUpShare;
      const plan = planStop({...settings, graceMilliseconds}, -held, 0);
      const text = `${graceMilliseconds} ${held}`;
      assert.ok(plan.exitAt < graceMilliseconds - held, text);
      assert.ok(plan.exitAt >= graceMilliseconds * (1 - lastPartShare), text);
    }
  }
});

test('a signal handled after the grace period closes the process at once', () => {
  const late = planStop(settings, 1000, 10_000);
  assert.equal(late.closeAt, 10_000);
  assert.equal(late.takeUntil, 3700);
});

test('a signal was sent after the last turn but one at the earliest', () => {
  assert.equal(findEarliestSending([9260, 9280], 10_000), 9260);
  assert.equal(findEarliestSending([9280], 10_000), 9280);
  assert.equal(findEarliestSending([], 10_000), 10_000);
});

test('a request whose deadline is before the exit is taken', () => {
  const work = {...makeStream(0), deadline: 17_400};
  assert.ok(canTake(plan, work, 16_000));
});

test('a stream that may be cut is refused while the other VMs are ready', () => {
  assert.ok(!canTake(plan, makeStream(0), 10_000));
});

test('a stream that may be cut is taken while most VMs would refuse it', () => {
  assert.ok(canTake(plan, makeStream(0.5), 10_000));
  assert.ok(canTake(plan, makeStream(0.5), 12_600));
  assert.ok(!canTake(plan, makeStream(0.2), 12_600));
});

test('a stream that is cut more likely than not is refused', () => {
  const findDuration = (share: number) => 4000 + share * 4000;
  const work = {...makeStream(1), findDuration};
  assert.ok(canTake(plan, work, 11_400));
  assert.ok(!canTake(plan, work, 11_600));
});

test('a stream that may be cut is refused once callers know of the stop', () => {
  assert.ok(!canTake(plan, makeStream(1), 12_700));
});

test('a short kind of stream is refused once callers know of the stop', () => {
  const work = {...makeStream(1), findDuration: () => 100};
  assert.ok(canTake(plan, work, 12_600));
  assert.ok(!canTake(plan, work, 12_700));
});

test('a plain answer is taken only if its deadline is before the exit', () => {
  for (const answer of [AnswerSize.Large, AnswerSize.Small]) {
    const work = {...makeStream(1), answer, findDuration: () => 10};
    assert.ok(!canTake(plan, work, 10_000));
    assert.ok(!canTake(plan, work, 12_700));
    assert.ok(canTake(plan, {...work, deadline: 17_500}, 10_000));
    assert.ok(canTake(plan, {...work, deadline: 17_500}, 17_000));
  }
});

test('a stream of unknown length is taken only if all VMs would refuse it', () => {
  const findDuration = () => undefined;
  assert.ok(!canTake(plan, {...makeStream(0.9), findDuration}, 10_000));
  assert.ok(canTake(plan, {...makeStream(1), findDuration}, 10_000));
});

test('a stopping VM waits for requests in flight until shortly before its exit', () => {
  assert.ok(!canClose(plan, 0, 13_400));
  assert.ok(canClose(plan, 0, 13_500));
  assert.ok(!canClose(plan, 1, 17_200));
  assert.ok(canClose(plan, 1, 17_250));
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
