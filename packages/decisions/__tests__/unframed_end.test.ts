import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  findSourceState,
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

test('an endpoint with a later start is another process', () => {
  assert.equal(findSourceState(5, 5), SourceState.Alive);
  assert.equal(findSourceState(5, 6), SourceState.Ended);
  assert.equal(findSourceState(undefined, 6), SourceState.Alive);
  assert.equal(findSourceState(5, undefined), SourceState.Alive);
});
