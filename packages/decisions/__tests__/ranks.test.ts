import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  addWaiter,
  compareRanks,
  computeRequestRank,
  computeReservedShare,
  computeRetryDelay,
  computeReturnTime,
  computeUrgency,
  createWaitQueue,
  defaultReserveOptions,
  findLevel,
  isExempt,
  listRanks,
  maxDemandCount,
  maxDemandRows,
  maxLevels,
  mergeDemands,
  noDemand,
  parseDemandRows,
  predictWait,
  recordPlaced,
  recordRefused,
  type RankDemand,
  type Waiter,
} from '@zinniaspindle/decisions';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Makes a reproducible source of numbers in [0, 1). */
function makeRandom(): () => number {
  const generator = xoroshiro128plus(11);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

function makeDemand(changes: Partial<RankDemand> = {}): RankDemand {
  return {...noDemand, ...changes};
}

const toPriorities = (priorities: readonly (number | undefined)[]) =>
  priorities.map(priority => ({priority}));

test('the priority of an account goes before that of the route', () => {
  const first = computeRequestRank({priority: 0}, {priority: 2});
  const second = computeRequestRank({priority: undefined}, {priority: 1});
  const third = computeRequestRank(undefined, {priority: 1});
  assert.ok(compareRanks(first, second) < 0);
  assert.equal(compareRanks(second, third), 0);
});

test('among equal priorities the priority of the route decides', () => {
  const ranks = [2, 0, 1].map(priority =>
    computeRequestRank({priority: 1}, {priority}),
  );
  ranks.sort(compareRanks);
  assert.deepEqual(
    ranks.map(({routePriority}) => routePriority),
    [0, 1, 2],
  );
});

test('priorities that are no safe integers have an order', () => {
  const odd = [NaN, Infinity, -Infinity, 2 ** 60, 1e300, -1e300, 0.5, 0];
  for (const a of odd) {
    for (const b of odd) {
      const first = computeRequestRank({priority: a}, {priority: 1});
      const second = computeRequestRank(undefined, {priority: b});
      const order = compareRanks(first, second);
      assert.ok(!Number.isNaN(order), `${a} ${b}`);
      assert.equal(Math.sign(compareRanks(second, first)), -Math.sign(order));
    }
  }
});

test('the ranks of a configuration are those of its routes and accounts', () => {
  const ranks = listRanks(
    toPriorities([0, 1, 2, 1]),
    toPriorities([undefined, 1, undefined]),
  );
  assert.deepEqual(
    ranks.map(({priority, routePriority}) => [priority, routePriority]),
    [
      [0, 0],
      [1, 0],
      [1, 1],
      [1, 2],
      [2, 2],
    ],
  );
  assert.equal(listRanks([], toPriorities([1])).length, 0);
});

// Ten thousand accounts must not make heartbeats or metrics large.
test('ranks above the eighth share the last level', () => {
  const many = toPriorities(Array.from({length: 10_000}, (_, i) => 9999 - i));
  const ranks = listRanks(many, many);
  assert.equal(ranks.length, maxLevels);
  for (const priority of [9, 9999, 1e300, Infinity]) {
    const rank = computeRequestRank({priority}, {priority: 9});
    assert.equal(findLevel(ranks, rank), maxLevels - 1, `${priority}`);
  }
  assert.equal(findLevel(ranks, {priority: -5}), 0);
  assert.equal(findLevel([], {priority: 3}), 0);
});

test('urgencies lie between 2 and 8, and there is none for one rank', () => {
  assert.equal(computeUrgency(0, 1), undefined);
  assert.equal(computeUrgency(0, 0), undefined);
  const list = (levels: number) =>
    Array.from({length: levels}, (_, level) => computeUrgency(level, levels));
  assert.deepEqual(list(2), [2, 8]);
  assert.deepEqual(list(3), [2, 5, 8]);
  assert.deepEqual(list(7), [2, 3, 4, 5, 6, 7, 8]);
  const eight = list(8);
  assert.deepEqual(
    [...eight].sort((a, b) => a! - b!),
    eight,
  );
});

test('the first rank and a sole one leave no room free', () => {
  const busy = makeDemand({waiting: 50, arrivals: 500});
  assert.equal(computeReservedShare(0, [busy, busy], 100), 0);
  assert.equal(computeReservedShare(0, [busy], 100), 0);
  assert.equal(computeReservedShare(2, [], 100), 0);
});

test('room is left free for requests that wait and that will come', () => {
  const waiting = [makeDemand({waiting: 10}), noDemand];
  assert.equal(computeReservedShare(1, waiting, 400), 10 / 400);
  // 120 will come and 60 slots come free in half a second.
  const coming = [makeDemand({arrivals: 240, placed: 120}), noDemand];
  assert.equal(computeReservedShare(1, coming, 400), 60 / 400);
  const own = [noDemand, makeDemand({waiting: 90, arrivals: 900})];
  assert.equal(computeReservedShare(1, own, 400), 0);
});

// A rank that has stopped asking must not block capacity for the others.
test('no room is left free once the highest rank asks for nothing', () => {
  const others = makeDemand({waiting: 40, arrivals: 200, placed: 100});
  assert.equal(computeReservedShare(1, [noDemand, others], 400), 0);
  const served = makeDemand({arrivals: 100, placed: 100});
  assert.equal(computeReservedShare(1, [served, others], 400), 0);
});

// Demand of the highest rank at many times its rate must not starve the others.
test('a rank that is hardly served leaves no room free', () => {
  const first = makeDemand({waiting: 20, arrivals: 400, placed: 160});
  const demands = [{...first, refused: 240}, noDemand];
  const makeDemands = (placed: number) => [
    demands[0]!,
    makeDemand({arrivals: 50, placed, refused: 50 - placed}),
  ];
  assert.ok(computeReservedShare(1, demands, 400) > 0);
  assert.ok(computeReservedShare(1, makeDemands(20), 400) > 0);
  assert.equal(computeReservedShare(1, makeDemands(5), 400), 0);
  assert.equal(computeReservedShare(1, makeDemands(0), 400), 0);
});

test('the room left free is bounded for any figures', () => {
  const {maxShare} = defaultReserveOptions;
  const most = makeDemand({waiting: 1e9, arrivals: 1e9});
  for (const slots of [1, 1000, 1e6]) {
    assert.ok(computeReservedShare(1, [most, noDemand], slots) <= maxShare);
  }
  assert.equal(computeReservedShare(1, [most, noDemand], 0), 0);
});

test('a request is exempt after half of its longest wait', () => {
  const waiter = {receivedAt: 1000, waitUntil: 1300};
  assert.equal(isExempt(waiter, 1150), false);
  assert.equal(isExempt(waiter, 1151), true);
});

test('malformed rows are left out and the others kept', () => {
  const sound = [7, 1, 3, 4, 5, 6];
  const odd: readonly unknown[] = [
    ...[null, 'row', [], {0: 7}, [7, 1], ['a', 0, 0, 0, 0]],
    ...[
      [7, maxLevels, 0, 0, 0],
      [7, -1, 0, 0, 0],
      [7, 0.5, 0, 0, 0],
    ],
    ...[
      [7, 0, NaN, 0, 0],
      [7, 0, -1, 0, 0],
      [7, 0, 0, Infinity, 0],
    ],
    ...[
      [7, 0, 0, 0, maxDemandCount + 1],
      [2 ** 32, 0, 0, 0, 0],
    ],
    ...[
      [7, 0, 0, 0, '5'],
      [7, 0, 0, 0, 0, null],
    ],
  ];
  for (const row of odd) {
    assert.deepEqual(parseDemandRows([row, sound]), [sound]);
  }
  for (const rows of [undefined, null, 5, 'rows', {length: 1}]) {
    assert.deepEqual(parseDemandRows(rows), []);
  }
});

test('repeated rows and those above the bound are left out', () => {
  const row = [7, 1, 3, 4, 5, 6];
  assert.deepEqual(parseDemandRows([row, [7, 1, 9, 9, 9, 9]]), [row]);
  const many = Array.from({length: 50}, (_, i) => [i, 0, 1, 1, 1, 1]);
  assert.equal(parseDemandRows(many).length, maxDemandRows);
});

test('a row of a later build with further items is read', () => {
  const row = [7, 1, 3, 4, 5, 6];
  assert.deepEqual(parseDemandRows([[...row, 'later', {a: 1}]]), [row]);
  assert.deepEqual(parseDemandRows([row.slice(0, 5)]), [[7, 1, 3, 4, 5, 0]]);
});

// One VM that reports 10,000 waiting requests would have all others refuse.
test('one VM cannot make up most of the waiting requests', () => {
  const sound = Array.from({length: 20}, () => makeDemand({waiting: 3}));
  assert.equal(mergeDemands(sound).waiting, 60);
  const liar = makeDemand({waiting: maxDemandCount});
  assert.equal(mergeDemands([...sound, liar]).waiting, 60 + 2 * 3 + 10);
  assert.equal(mergeDemands([liar]).waiting, 10);
});

function makeWaiter(priority: number, receivedAt: number): Waiter {
  const waitUntil = receivedAt + 300;
  return {isResumed: false, priority, receivedAt, waitUntil};
}

test('requests are queued by rank and then by age', () => {
  const queue = createWaitQueue<Waiter>();
  const waiters = [
    {...makeWaiter(1, 0), routePriority: 2},
    {...makeWaiter(1, 10), routePriority: 0},
    makeWaiter(0, 20),
    {...makeWaiter(1, 5), routePriority: 0},
    {...makeWaiter(2, 30), isResumed: true},
  ];
  for (const waiter of waiters) addWaiter(queue, waiter, 30);
  assert.deepEqual(
    queue.waiters.map(({receivedAt}) => receivedAt),
    [30, 20, 5, 10, 0],
  );
});

// A VM of 132 sees two streams a second, too few to predict a wait from.
test('a VM with few requests predicts their wait from those of the fleet', () => {
  const queue = createWaitQueue<Waiter>();
  const waiter = makeWaiter(1, 0);
  addWaiter(queue, waiter, 0);
  assert.equal(predictWait(queue, waiter, 0), 0);
  const peers = {ahead: 59, placed: 200, refused: 20};
  assert.equal(predictWait(queue, waiter, 0, peers), 300);
});

test('without crowded peers the prediction needs the time it needed before', () => {
  const queue = createWaitQueue<Waiter>();
  const waiter = makeWaiter(1, 0);
  addWaiter(queue, waiter, 0);
  const peers = {ahead: 0, placed: 200, refused: 0};
  assert.equal(predictWait(queue, waiter, 100, peers), 0);
  assert.equal(predictWait(queue, waiter, 300, peers), 5);
});

test('three observed requests of the fleet are needed', () => {
  const queue = createWaitQueue<Waiter>();
  const waiter = makeWaiter(1, 0);
  addWaiter(queue, waiter, 0);
  assert.equal(
    predictWait(queue, waiter, 0, {ahead: 9, placed: 1, refused: 1}),
    0,
  );
  recordRefused(queue, 0);
  const peers = {ahead: 9, placed: 1, refused: 1};
  assert.equal(predictWait(queue, waiter, 0, peers), 10_000);
  const blocked = {ahead: 9, placed: 0, refused: 2};
  assert.equal(predictWait(queue, waiter, 0, blocked), Infinity);
});

test('grants of this VM count with those of the fleet', () => {
  const queue = createWaitQueue<Waiter>();
  const waiter = makeWaiter(1, 0);
  addWaiter(queue, waiter, 0);
  for (let i = 0; i < 10; i += 1) recordPlaced(queue, 0);
  const peers = {ahead: 9, placed: 10, refused: 0};
  assert.equal(predictWait(queue, waiter, 0, peers), 500);
});

const deadlineMilliseconds = 20_000;

function listReturns(
  level: number,
  demands: readonly RankDemand[] | undefined,
  count: number,
  left = deadlineMilliseconds,
): number[] {
  const random = makeRandom();
  return Array.from({length: count}, () =>
    computeReturnTime(level, demands, left, random),
  ).sort((a, b) => a - b);
}

test('without news or free slots callers return as without ranks', () => {
  for (const demands of [undefined, [makeDemand({refused: 90})]]) {
    const random = makeRandom();
    const expected = Array.from({length: 50}, () =>
      computeRetryDelay(deadlineMilliseconds, random),
    ).sort((a, b) => a - b);
    assert.deepEqual(listReturns(0, demands, 50), expected);
  }
});

test('callers return within the bounds of a retry delay', () => {
  const demands = [
    makeDemand({waiting: 900, refused: 500, placed: 3}),
    makeDemand({refused: 900}),
  ];
  for (const left of [-5, 0, 100, 4000, 6000, 20_000, 60_000]) {
    const end = Math.max(0, left * (1 / 3));
    for (const level of [0, 1, 7]) {
      const returns = listReturns(level, demands, 50, left);
      assert.ok(returns[0]! >= Math.min(1500, end), `${left}`);
      assert.ok(returns.at(-1)! <= end, `${left}`);
    }
  }
});

test('callers of higher ranks return before those of lower ones', () => {
  const demands = [
    makeDemand({waiting: 60, refused: 100, placed: 150}),
    makeDemand({refused: 100, placed: 50}),
    makeDemand({refused: 60}),
  ];
  const means = [0, 1, 2].map(level => {
    const returns = listReturns(level, demands, 200);
    return returns.reduce((sum, at) => sum + at, 0) / returns.length;
  });
  assert.ok(means[0]! < means[1]! && means[1]! < means[2]!, means.join(' '));
});

// 300 callers were refused in a second, and 100 slots come free in each.
test('callers refused together are spread as the slots come free', () => {
  const demands = [
    makeDemand({placed: 100}),
    makeDemand({waiting: 10, refused: 300}),
  ];
  const returns = listReturns(1, demands, 300);
  for (let second = 0; second < 7; second += 1) {
    const count = returns.filter(at => Math.floor(at / 1000) === second).length;
    assert.ok(count <= 100, `${count} return in second ${second}`);
  }
});

test('callers whose time is nearly over are spread as well', () => {
  const demands = [
    makeDemand({waiting: 2000, refused: 2000, placed: 100}),
    makeDemand({refused: 300}),
  ];
  const returns = listReturns(1, demands, 300);
  assert.ok(returns.at(-1)! - returns[0]! > 5000);
});
