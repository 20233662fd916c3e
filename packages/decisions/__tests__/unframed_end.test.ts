import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  findSourceState,
  isAfterStall,
  SourceState,
  UnframedVerdict,
  verifyUnframedEnd,
} from '../src/index.js';

test('only an endpoint that outlives its connection ends an answer', () => {
  const verdicts = Object.values(SourceState).map(verifyUnframedEnd);
  assert.deepEqual(verdicts, [
    UnframedVerdict.Whole,
    UnframedVerdict.SourceEnded,
    UnframedVerdict.SourceUnknown,
  ]);
});

test('an end after a long silence of a path of several endpoints is that of a stall', () => {
  const stallMilliseconds = 2500;
  const isStall = (milliseconds: number, isOfPath: boolean) =>
    isAfterStall({milliseconds, isOfPath, stallMilliseconds});
  assert.equal(isStall(2400, true), true);
  // A sound endpoint may be silent for about a second.
  assert.equal(isStall(1200, true), false);
  assert.equal(isStall(2400, false), false);
});

test('an endpoint with a later start is another process', () => {
  assert.equal(findSourceState(5, 5), SourceState.Alive);
  assert.equal(findSourceState(5, 6), SourceState.Ended);
  assert.equal(findSourceState(undefined, 6), SourceState.Alive);
  assert.equal(findSourceState(5, undefined), SourceState.Alive);
});
