import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isWholeChain} from '../src/index.js';

test('contiguous ranges cover all layers', () => {
  const ranges = [
    {first: 0, end: 8},
    {first: 8, end: 24},
  ];
  assert.equal(isWholeChain(ranges, 24), true);
});

test('ranges with a gap, an overlap or missing last layers do not cover all layers', () => {
  const gap = [
    {first: 0, end: 8},
    {first: 9, end: 24},
  ];
  const overlap = [
    {first: 0, end: 9},
    {first: 8, end: 24},
  ];
  assert.equal(isWholeChain(gap, 24), false);
  assert.equal(isWholeChain(overlap, 24), false);
  assert.equal(isWholeChain([{first: 0, end: 23}], 24), false);
  assert.equal(isWholeChain([{first: 0, end: 0}], 0), false);
});
