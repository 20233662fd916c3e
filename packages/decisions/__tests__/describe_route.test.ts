import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  describeRoute,
  maxListedPaths,
  RouteDenial,
  RouteLoss,
  type RouteCandidate,
} from '../src/index.js';

function makeCandidate(
  path: string,
  score: number,
  denial?: RouteDenial,
  returnAt?: number,
): RouteCandidate {
  return {path, score, denial, returnAt};
}

test('the path with the lowest score is described as picked', () => {
  const description = describeRoute(
    [
      makeCandidate('slow', 0.75),
      makeCandidate('full', 0.1, RouteDenial.Full),
      makeCandidate('good', 0.25),
      makeCandidate('fair', 0.5),
    ],
    1000,
  );
  assert.deepEqual(description.picked, {path: 'good', score: 0.25});
  assert.equal(description.refusal, undefined);
  const others = description.others.map(one => [one.path, one.loss]);
  assert.deepEqual(others, [
    ['fair', RouteLoss.Outscored],
    ['slow', RouteLoss.Outscored],
    ['full', RouteLoss.Denied],
  ]);
  const excesses = description.others.map(({excess}) => excess);
  assert.deepEqual(excesses.slice(0, 2), [0.25, 0.5]);
  assert.equal(description.others[2]!.denial, RouteDenial.Full);
});

test('of equal scores the first path is described as picked', () => {
  const both = [makeCandidate('a', 0.5), makeCandidate('b', 0.5)];
  assert.equal(describeRoute(both, 0).picked!.path, 'a');
});

test('a refusal tells its reasons and the earliest return', () => {
  const {picked, refusal, others} = describeRoute(
    [
      makeCandidate('a', 0.1, RouteDenial.Pausing, 5000),
      makeCandidate('b', 0.2, RouteDenial.Avoided, 3000),
      makeCandidate('c', 0.3, RouteDenial.Pausing, 4000),
      makeCandidate('d', 0.4, RouteDenial.Full),
      makeCandidate('e', 0.4, RouteDenial.Left, 2000),
    ],
    1000,
  );
  assert.equal(picked, undefined);
  assert.equal(refusal!.returnAt, 3000);
  assert.deepEqual(
    [...refusal!.denials],
    [
      [RouteDenial.Pausing, 2],
      [RouteDenial.Avoided, 1],
      [RouteDenial.Full, 1],
      [RouteDenial.Left, 1],
    ],
  );
  assert.equal(others.length, 5);
});

test('a return that has passed is now, an endless one is unknown', () => {
  const describe = (returnAt: number) =>
    describeRoute([makeCandidate('a', 1, RouteDenial.Limited, returnAt)], 1000)
      .refusal!.returnAt;
  assert.equal(describe(10), 1000);
  for (const odd of [NaN, Infinity, -Infinity]) {
    assert.equal(describe(odd), undefined);
  }
});

test('a service without paths is refused without a reason of a path', () => {
  const {paths, refusal, others} = describeRoute([], 1000);
  assert.deepEqual([paths, others.length, refusal!.denials.size], [0, 0, 0]);
  assert.equal(refusal!.returnAt, undefined);
});

test('a score that is no number is never described as picked', () => {
  const odd = makeCandidate('odd', NaN);
  const {picked, others} = describeRoute([odd, makeCandidate('a', 9)], 0);
  assert.equal(picked!.path, 'a');
  assert.deepEqual(
    [others[0]!.loss, others[0]!.excess],
    [RouteLoss.NoScore, undefined],
  );
  assert.equal(describeRoute([odd], 0).picked, undefined);
  const endless = [makeCandidate('a', Infinity), makeCandidate('b', Infinity)];
  assert.equal(describeRoute(endless, 0).picked!.path, 'a');
});

test('the description of thousands of paths is bounded to the best', () => {
  const many = Array.from({length: 3000}, (_, index) =>
    makeCandidate(`p${index}`, 3000 - index),
  );
  const {others, omitted, paths} = describeRoute(many, 0);
  assert.deepEqual([paths, others.length], [3000, maxListedPaths]);
  assert.equal(omitted, 2999 - maxListedPaths);
  assert.equal(others[0]!.path, 'p2998');
});
