import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  choosePromptPath,
  computeCacheTokens,
  countSavedTokens,
  createPromptCache,
  dropExcess,
  findHeldTokens,
  listPromptPrefixes,
  maxHeldPrefixes,
  maxPromptSegments,
  maxSegmentIdLength,
  recordHeld,
  type PromptSegment,
} from '../src/index.js';

const bounds = {ttlMilliseconds: 10_000, maxTokens: 100_000};

function listPrefixes(segments: readonly PromptSegment[], tokens = 1e6) {
  return listPromptPrefixes('chat', {model: 'm', segments}, tokens);
}

function makeSegments(...ids: readonly string[]): PromptSegment[] {
  return ids.map(id => ({id, tokens: 100}));
}

interface LoadedPath {
  readonly name: string;
  readonly prefillMillisecondsPerToken: number;
  streams: number;
  heldTokens: number;
}

/**
 * Sends requests with one prefix, each of which stays; a stream adds its wait to
 * its path. Returns the streams of each path.
 */
function runPopular(requests: number, sharedTokens: number) {
  const paths: LoadedPath[] = ['a', 'b', 'c', 'd'].map(name => ({
    name,
    prefillMillisecondsPerToken: 0.1,
    streams: 0,
    heldTokens: 0,
  }));
  for (let i = 0; i < requests; i += 1) {
    const candidates = paths.map(path => ({
      ...path,
      path,
      waitMilliseconds: path.streams * 4,
    }));
    const chosen = choosePromptPath(candidates, 760)!;
    chosen.path.streams += 1;
    chosen.path.heldTokens = sharedTokens;
  }
  return paths.map(({streams}) => streams);
}

test('a popular prefix spreads over paths once the wait exceeds the saving', () => {
  // 600 tokens save 60 ms, the wait of 15 streams.
  const early = runPopular(15, 600);
  assert.deepEqual(early, [15, 0, 0, 0]);
  const late = runPopular(400, 600);
  assert.ok(Math.max(...late) - Math.min(...late) <= 15, late.join(' '));
});

test('a held prefix does not attract to a path whose wait is longer', () => {
  const held = {
    waitMilliseconds: 61,
    prefillMillisecondsPerToken: 0.1,
    heldTokens: 600,
  };
  const idle = {...held, waitMilliseconds: 0, heldTokens: 0};
  assert.equal(choosePromptPath([held, idle], 760), idle);
  const soon = {...held, waitMilliseconds: 59};
  assert.equal(choosePromptPath([idle, soon], 760), soon);
});

test('the same tokens save more on a slow path', () => {
  const slow = {
    waitMilliseconds: 0,
    prefillMillisecondsPerToken: 0.2,
    heldTokens: 700,
  };
  const fast = {...slow, prefillMillisecondsPerToken: 0.05, heldTokens: 0};
  assert.equal(choosePromptPath([fast, slow], 760), slow);
  assert.equal(choosePromptPath([fast, {...slow, heldTokens: 400}], 760), fast);
});

test('odd predictions neither throw nor win', () => {
  const sound = {
    waitMilliseconds: 900,
    prefillMillisecondsPerToken: 1,
    heldTokens: 0,
  };
  const odd = [NaN, Infinity, 1e300].flatMap(value => [
    {...sound, waitMilliseconds: value},
    {...sound, prefillMillisecondsPerToken: value},
  ]);
  assert.equal(choosePromptPath([...odd, sound], 760), sound);
  assert.equal(choosePromptPath([odd[0]!], 760), odd[0]);
  assert.equal(choosePromptPath([], 760), undefined);
  for (const held of [NaN, -5, 0]) assert.equal(countSavedTokens(760, held), 0);
  for (const held of [760, 1e300, Infinity]) {
    assert.equal(countSavedTokens(760, held), 759);
  }
  for (const tokens of [NaN, -1, 0, 1]) {
    assert.equal(countSavedTokens(tokens, 5), 0);
  }
});

test('the longest held prefix counts, and only in its order', () => {
  const cache = createPromptCache();
  recordHeld(cache, listPrefixes(makeSegments('a', 'b')), bounds, 0);
  const find = (...ids: string[]) =>
    findHeldTokens(cache, listPrefixes(makeSegments(...ids)), bounds, 1);
  assert.equal(find('a', 'b', 'own'), 200);
  assert.equal(find('a', 'c'), 100);
  assert.equal(find('b', 'a'), 0);
  const other = {model: 'n', segments: makeSegments('a', 'b')};
  const foreign = listPromptPrefixes('chat', other, 1e6);
  assert.equal(findHeldTokens(cache, foreign, bounds, 1), 0);
});

test('thousands of rare prefixes stay within the bounds, the oldest go first', () => {
  const cache = createPromptCache();
  const wide = {...bounds, maxTokens: 1e9};
  for (let i = 0; i < 5000; i += 1) {
    // The system prompt is used by each request.
    const segments = makeSegments('system', `rare${i}`);
    recordHeld(cache, listPrefixes(segments), wide, i);
    assert.ok(cache.prefixes.size <= maxHeldPrefixes);
  }
  assert.equal(cache.prefixes.size, maxHeldPrefixes);
  assert.equal(cache.tokens, maxHeldPrefixes * 100);
  const find = (index: number) =>
    findHeldTokens(
      cache,
      listPrefixes(makeSegments('system', `rare${index}`)),
      wide,
      5000,
    );
  assert.equal(find(4999), 200);
  assert.equal(find(4999 - (maxHeldPrefixes - 2)), 200);
  assert.equal(find(4999 - (maxHeldPrefixes - 1)), 100);
});

test('the sum of tokens is bounded, longer prefixes go before their shorter ones', () => {
  const cache = createPromptCache();
  const narrow = {...bounds, maxTokens: 250};
  recordHeld(cache, listPrefixes(makeSegments('a', 'b')), narrow, 0);
  recordHeld(cache, listPrefixes(makeSegments('c')), narrow, 1);
  assert.equal(cache.tokens, 200);
  const find = (...ids: string[]) =>
    findHeldTokens(cache, listPrefixes(makeSegments(...ids)), narrow, 2);
  assert.equal(find('a', 'b'), 100);
  assert.equal(find('c'), 100);
});

test('a prompt beyond the bound evicts no others', () => {
  const cache = createPromptCache();
  const narrow = {...bounds, maxTokens: 250};
  recordHeld(cache, listPrefixes(makeSegments('a', 'b')), narrow, 0);
  const huge = listPrefixes([{id: 'huge', tokens: 900_000}]);
  recordHeld(cache, huge, narrow, 1);
  assert.equal(findHeldTokens(cache, huge, narrow, 2), 0);
  assert.equal(cache.tokens, 200);
});

test('a prefix expires after its last use', () => {
  const cache = createPromptCache();
  const prefixes = listPrefixes(makeSegments('a'));
  recordHeld(cache, prefixes, bounds, 0);
  assert.equal(findHeldTokens(cache, prefixes, bounds, 9999), 100);
  recordHeld(cache, prefixes, bounds, 9000);
  assert.equal(findHeldTokens(cache, prefixes, bounds, 18_999), 100);
  assert.equal(findHeldTokens(cache, prefixes, bounds, 19_000), 0);
  dropExcess(cache, bounds, 19_000);
  assert.equal(cache.prefixes.size, 0);
  assert.equal(cache.tokens, 0);
});

test('prefixes recorded by a clock that was ahead are not held', () => {
  const cache = createPromptCache();
  const prefixes = listPrefixes(makeSegments('a'));
  recordHeld(cache, prefixes, bounds, 1e9);
  assert.equal(findHeldTokens(cache, prefixes, bounds, 5), 0);
  dropExcess(cache, bounds, 5);
  assert.equal(cache.prefixes.size, 0);
  recordHeld(cache, prefixes, bounds, NaN);
  assert.equal(findHeldTokens(cache, prefixes, bounds, 5), 0);
});

test('running requests take the memory of prefixes', () => {
  assert.equal(computeCacheTokens(5000, 20_000, 0.5), 5000);
  assert.equal(computeCacheTokens(5000, 20_000, 0.8), 20_000 * (1 - 0.8));
  assert.equal(computeCacheTokens(5000, 20_000, 0.851), 0);
  for (const odd of [NaN, 1e300, Infinity]) {
    assert.equal(computeCacheTokens(5000, 20_000, odd), 0);
  }
  for (const odd of [NaN, -1, 0]) {
    assert.equal(computeCacheTokens(odd, 20_000, 0.1), 0);
    assert.equal(computeCacheTokens(5000, odd, 0.1), 0);
  }
  const cache = createPromptCache();
  recordHeld(cache, listPrefixes(makeSegments('a', 'b')), bounds, 0);
  dropExcess(cache, {...bounds, maxTokens: 0}, 1);
  assert.deepEqual([cache.prefixes.size, cache.tokens], [0, 0]);
});

test('segments are read up to the first malformed one', () => {
  for (const tokens of [NaN, -1, 1e300, Infinity, 0.5]) {
    const segments = [
      ...makeSegments('a'),
      {id: 'b', tokens},
      {id: 'c', tokens: 1},
    ];
    assert.equal(listPrefixes(segments).length, 1);
  }
  const long = 'f'.repeat(maxSegmentIdLength + 1);
  assert.equal(listPrefixes(makeSegments('a', long)).length, 1);
  assert.equal(listPrefixes(makeSegments('')).length, 0);
  const many = Array.from({length: 10_000}, (_, i) => String(i));
  assert.equal(listPrefixes(makeSegments(...many)).length, maxPromptSegments);
  const same = listPrefixes(makeSegments('a', 'a', 'a'));
  assert.equal(new Set(same.map(({hash}) => hash)).size, 3);
  assert.deepEqual(listPrefixes(makeSegments('a', 'b'), 150).length, 1);
  assert.deepEqual(listPrefixes(makeSegments('a'), NaN), []);
});
