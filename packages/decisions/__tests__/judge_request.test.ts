import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  isRequestAccused,
  type RequestComparison,
  type RequestEnd,
} from '../src/quarantine/judge_request.js';

const calm: RequestComparison = {
  attempts: 90,
  otherEnds: 0,
  endpoints: 3,
  requests: 2,
  isNew: true,
};

function makeEnds(
  count: number,
  isAlone: boolean,
  exposure = 60,
): RequestEnd[] {
  const end = {exposureMilliseconds: exposure, isAlone};
  return Array<RequestEnd>(count).fill(end);
}

test('a request that is alone at two ends is accused', () => {
  assert.equal(isRequestAccused(makeEnds(1, true), calm, 0), false);
  assert.equal(isRequestAccused(makeEnds(2, true), calm, 0), true);
});

test('one request that moves on at once is accused by three ends', () => {
  const once = {...calm, requests: 1};
  assert.equal(isRequestAccused(makeEnds(2, true), once, 0), false);
  assert.equal(isRequestAccused(makeEnds(3, true), once, 0), true);
});

test('a request beside others is accused by three ends', () => {
  const ends = [...makeEnds(1, true), ...makeEnds(1, false)];
  assert.equal(isRequestAccused(ends, calm, 0), false);
  assert.equal(isRequestAccused(ends, calm, 1), true);
  assert.equal(isRequestAccused(makeEnds(3, false), calm, 0), true);
});

test('a request that was answered before is accused by four ends', () => {
  const known = {...calm, isNew: false};
  assert.equal(isRequestAccused(makeEnds(3, true), known, 0), false);
  assert.equal(isRequestAccused(makeEnds(4, true), known, 0), true);
});

test('one request alone is accused where hardly any other comes', () => {
  const quiet = {...calm, attempts: 1, endpoints: 1};
  assert.equal(isRequestAccused(makeEnds(3, true, 1000), quiet, 0), true);
});

test('the more endpoints end without a request, the more ends accuse it', () => {
  const stormy = {...calm, attempts: 450, otherEnds: 30};
  assert.equal(isRequestAccused(makeEnds(3, false), stormy, 0), false);
  assert.equal(isRequestAccused(makeEnds(5, false), stormy, 0), true);
});

test('requests that are long at endpoints need more ends', () => {
  assert.equal(isRequestAccused(makeEnds(3, false, 4000), calm, 0), false);
  assert.equal(isRequestAccused(makeEnds(2, true, 4000), calm, 0), false);
});

test('fewer ends than there are may be asked for', () => {
  assert.equal(isRequestAccused(makeEnds(4, false), calm, -2), false);
  assert.equal(isRequestAccused(makeEnds(5, false), calm, -2), true);
  assert.equal(isRequestAccused([], calm, 2), false);
});
