import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createQuarantine,
  type PickRequest,
  type StagePath,
} from '@zinniaspindle/decisions';
import type {PathTable} from '../src/fleet/path_table.js';
import type {ServiceModel} from '../src/ports/index.js';
import {PathQueue} from '../src/requests/path_queue.js';

const runMilliseconds = 20;
const path = {key: 'p'} as StagePath;

/** Room that only large requests may use, as pickPath keeps it. */
const reservedTokens = 5000;
const isLarge = (tokens: number) => tokens >= 4000;

interface Outcome {
  readonly isPlaced: boolean;
  readonly waitedMilliseconds: number;
}

/** A queue before one path with room for some tokens, in virtual time. */
function makeQueue(smallTokens: number) {
  const state = {
    now: 0,
    freeTokens: smallTokens + reservedTokens,
    returnAt: undefined as number | undefined,
  };
  const paths = {
    pick: (
      _service: string,
      _model: ServiceModel,
      {tokens}: PickRequest,
      left?: StagePath,
    ) => {
      if (left === path) return undefined;
      const needed = tokens + (isLarge(tokens) ? 0 : reservedTokens);
      return needed <= state.freeTokens ? path : undefined;
    },
    findReturn: () => state.returnAt,
  } as Partial<PathTable> as PathTable;
  /** Requests whose prompts have parts that end endpoints. */
  const quarantined = new Set<string>();
  const quarantine = {
    find: (service: string, [part]: readonly string[]) =>
      quarantined.has(part!)
        ? createQuarantine(service, [part!], 0, 0)
        : undefined,
    recordSent: () => undefined,
  };
  const queue = new PathQueue(paths, quarantine, () => state.now);
  const outcomes = new Map<string, Outcome>();
  const add = (
    id: string,
    tokens: number,
    waitMilliseconds: number,
    isResumed = false,
    left?: StagePath,
    answered?: StagePath,
  ) => {
    const receivedAt = state.now;
    const waiter = {
      ...{isResumed, priority: 1, receivedAt, tokens, left, answered},
      waitUntil: receivedAt + waitMilliseconds,
      model: {} as ServiceModel,
      request: id,
      traits: [id],
      resolve: (found: StagePath | undefined) => {
        const waitedMilliseconds = state.now - receivedAt;
        outcomes.set(id, {isPlaced: found !== undefined, waitedMilliseconds});
        if (found !== undefined) state.freeTokens -= tokens;
      },
    };
    queue.add('s', waiter);
    return waiter;
  };
  const runUntil = (end: number, tokensPerSecond: number) => {
    while (state.now < end) {
      state.now += runMilliseconds;
      state.freeTokens += (tokensPerSecond * runMilliseconds) / 1000;
      queue.run();
    }
  };
  return {state, queue, outcomes, add, runUntil, quarantined};
}

test('a request gets a free place at once', () => {
  const {add, outcomes} = makeQueue(1000);
  add('a', 900, 400);
  assert.deepEqual(outcomes.get('a'), {isPlaced: true, waitedMilliseconds: 0});
});

test('a request without a place is refused at the end of its wait', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  add('a', 900, 200);
  runUntil(180, 0);
  assert.equal(outcomes.size, 0);
  runUntil(220, 0);
  assert.equal(outcomes.get('a')!.isPlaced, false);
});

// Many users come at once: 200 requests in 0.2 s, while 20 places a second come
// free. Those that cannot be served in time are refused when they come.
test('in a burst most refusals come at once, and no place stays free', () => {
  const {add, outcomes, runUntil, state} = makeQueue(0);
  for (let i = 0; i < 200; i += 1) {
    add(`r${i}`, 900, 400);
    runUntil((i + 1) * 5, 18_000);
  }
  runUntil(3000, 18_000);
  const all = [...outcomes.values()];
  const refused = all.filter(({isPlaced}) => !isPlaced);
  const early = refused.filter(one => one.waitedMilliseconds <= 40);
  assert.equal(all.length, 200);
  assert.ok(early.length > refused.length / 2, `${early.length}`);
  const placed = all.length - refused.length;
  assert.ok(placed >= 18, `${placed} of 20 places were used`);
  assert.ok(state.freeTokens >= 0);
});

// Small requests take every place that is too small for a large one, while more
// of them wait than can be served.
test('large requests are served among small ones at full load', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  for (let i = 0; i < 200; i += 1) {
    add(`small${i}`, 400, 400);
    add(`more${i}`, 400, 400);
    if (i % 50 === 0) add(`large${i}`, 4000, 400);
    runUntil((i + 1) * 20, 10_000);
  }
  runUntil(5000, 10_000);
  for (const id of ['large0', 'large50', 'large100', 'large150']) {
    assert.equal(outcomes.get(id)!.isPlaced, true, id);
  }
  const placed = [...outcomes.values()].filter(({isPlaced}) => isPlaced);
  assert.ok(placed.length >= 60, `${placed.length}`);
});

// The first of the queue needs more room than there will be for a while.
test('a request without room does not hold up those behind it', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  add('huge', 9000, 1700, true);
  add('small', 400, 400);
  runUntil(100, 10_000);
  assert.equal(outcomes.get('small')?.isPlaced, true);
  assert.equal(outcomes.get('huge'), undefined);
});

test('a cut stream goes before new requests', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  for (let i = 0; i < 5; i += 1) add(`new${i}`, 900, 200);
  add('cut', 900, 1700, true);
  runUntil(60, 18_000);
  assert.equal(outcomes.get('cut')?.isPlaced, true);
  assert.equal(outcomes.get('new0'), undefined);
});

// All paths are lost for a second at full load.
test('while no place comes free, new requests are refused at once', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  for (let i = 0; i < 50; i += 1) {
    add(`r${i}`, 900, 300);
    runUntil((i + 1) * 20, 0);
  }
  for (let i = 25; i < 50; i += 1) {
    assert.equal(outcomes.get(`r${i}`)!.waitedMilliseconds, 0, `r${i}`);
  }
});

test('places are given again as soon as there are some', () => {
  const {add, outcomes, runUntil} = makeQueue(0);
  for (let i = 0; i < 50; i += 1) {
    add(`r${i}`, 900, 300);
    runUntil((i + 1) * 20, 0);
  }
  runUntil(1400, 20_000);
  add('next', 900, 300);
  assert.equal(outcomes.get('next')!.isPlaced, true);
});

test('a caller that leaves does not take a place', () => {
  const {add, queue, outcomes, runUntil} = makeQueue(0);
  const first = add('first', 900, 400);
  add('second', 900, 400);
  queue.cancel('s', first);
  runUntil(60, 18_000);
  assert.equal(outcomes.get('first'), undefined);
  assert.equal(outcomes.get('second')!.isPlaced, true);
});

test('a request that only pausing endpoints could serve is refused at once', () => {
  const {add, outcomes, runUntil, state} = makeQueue(0);
  add('queued', 900, 400);
  add('cut', 900, 1700, true);
  state.returnAt = 5000;
  add('new', 900, 400);
  assert.equal(outcomes.get('new')!.waitedMilliseconds, 0);
  runUntil(20, 0);
  assert.equal(outcomes.get('queued')!.isPlaced, false);
  assert.equal(outcomes.get('cut'), undefined);
});

// A path fell silent under full load; it then takes new requests again.
test('streams that leave a path do not hold up the requests that it takes', () => {
  const {add, outcomes, runUntil} = makeQueue(2000);
  for (let i = 0; i < 100; i += 1) add(`mover${i}`, 900, 1700, true, path);
  add('new', 900, 400);
  runUntil(20, 0);
  assert.equal(outcomes.get('new')!.isPlaced, true);
  assert.equal(outcomes.get('mover0'), undefined);
});

test('streams that find no place elsewhere do not count as refused', () => {
  const {add, outcomes, runUntil, state} = makeQueue(0);
  for (let i = 0; i < 50; i += 1) add(`mover${i}`, 900, 100, true, path);
  runUntil(400, 0);
  assert.equal(outcomes.get('mover0')!.isPlaced, false);
  add('new', 900, 400);
  assert.equal(outcomes.get('new'), undefined);
  state.freeTokens += 1000;
  runUntil(420, 0);
  assert.equal(outcomes.get('new')!.isPlaced, true);
});

test('a request that waits is refused once its prompt is quarantined', () => {
  const {add, outcomes, runUntil, quarantined} = makeQueue(0);
  add('bad', 900, 400);
  add('sound', 900, 400);
  quarantined.add('bad');
  runUntil(20, 100_000);
  assert.equal(outcomes.get('bad')!.isPlaced, false);
  assert.equal(outcomes.get('sound')!.isPlaced, true);
});

test('a request of a quarantined prompt does not wait', () => {
  const {add, outcomes, quarantined} = makeQueue(10_000);
  quarantined.add('bad');
  add('bad', 900, 400);
  assert.deepEqual(outcomes.get('bad'), {
    isPlaced: false,
    waitedMilliseconds: 0,
  });
});

test('a stream does not move once its prompt is quarantined', () => {
  const {add, outcomes, runUntil, quarantined} = makeQueue(0);
  const path = {key: 'other'} as StagePath;
  add('bad', 900, 400, true, path);
  quarantined.add('bad');
  runUntil(20, 100_000);
  assert.equal(outcomes.get('bad')!.isPlaced, false);
});

test('a request does not take the path whose answer another is to confirm', () => {
  const {add, outcomes} = makeQueue(1000);
  add('a', 900, 400, true, undefined, path);
  assert.equal(outcomes.get('a'), undefined);
  add('b', 900, 400, true);
  assert.deepEqual(outcomes.get('b'), {isPlaced: true, waitedMilliseconds: 0});
});
