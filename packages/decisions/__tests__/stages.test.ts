import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isWholeChain} from '@zinniaspindle/shared';
import {
  canCross,
  computeTokenCapacity,
  countAvailableCrossings,
  createCrossingBudget,
  createPathWatch,
  defaultRangeOptions,
  findGap,
  findPaths,
  isTimedOut,
  isStalled,
  pickPath,
  planRanges,
  takeCrossings,
  type EndpointLoad,
  type PlannedEndpoint,
  type StagePath,
} from '@zinniaspindle/decisions';
import {makeCentre, makeEndpoint, model} from './stage_fixtures.js';

/** The endpoints of a typical deployment of three data centres. */
function makeFleet(): PlannedEndpoint[] {
  return [
    ...makeCentre('a', {a100s: 3, l4: 3, t4: 5}),
    ...makeCentre('b', {a100s: 1, l4: 5, t4: 8}),
    ...makeCentre('c', {a100s: 1, l4: 7, t4: 5}),
  ];
}

function applyPlan(
  endpoints: readonly PlannedEndpoint[],
  options = defaultRangeOptions,
): PlannedEndpoint[] {
  const plan = planRanges(endpoints, model, options);
  return endpoints.map(one => ({
    ...one,
    held: plan.get(one.id)?.range ?? one.held,
  }));
}

function countMoved(
  before: readonly PlannedEndpoint[],
  after: readonly PlannedEndpoint[],
): number {
  let moved = 0;
  for (const one of after) {
    const was = before.find(({id}) => id === one.id)?.held;
    for (let i = one.held?.first ?? 0; i < (one.held?.end ?? 0); i += 1) {
      if (was === undefined || i < was.first || i >= was.end) moved += 1;
    }
  }
  return moved;
}

test('an empty fleet gets a whole chain in each data centre', () => {
  const paths = findPaths(applyPlan(makeFleet()), model);
  assert.equal(paths.length, 3);
  for (const path of paths) {
    const centres = new Set(
      path.parts.map(({endpoint: one}) => one.dataCentre),
    );
    assert.equal(centres.size, 1);
    assert.ok(path.capacityTokens >= 100_000, `${path.capacityTokens}`);
  }
});

test('no plan assigns more layers than fit in an endpoint', () => {
  const fleet = applyPlan(makeFleet());
  for (const lost of fleet) {
    const left = fleet.filter(({id}) => id !== lost.id);
    for (const one of applyPlan(left)) {
      const {held, sizeMegabytes} = one;
      if (held === undefined) continue;
      const megabytes = (held.end - held.first) * model.layerMegabytes;
      assert.ok(megabytes <= sizeMegabytes, one.id);
    }
  }
});

test('a chain is whole again after any single loss, and few layers move', () => {
  const fleet = applyPlan(makeFleet());
  for (const lost of fleet) {
    const left = fleet.filter(({id}) => id !== lost.id);
    const repaired = applyPlan(left);
    const centre = repaired.filter(one => one.dataCentre === lost.dataCentre);
    assert.equal(findGap(centre, model.layerCount), -1, lost.id);
    assert.ok(countMoved(left, repaired) <= 80, lost.id);
  }
});

test('a spare endpoint and its neighbours fill a gap, and no other range moves', () => {
  const fleet = applyPlan(makeFleet());
  const lost = fleet.find(({id}) => id === 'a-a100s-1')!;
  const spare = makeEndpoint('a-spare', 'a100s', 'a');
  const left = [...fleet.filter(one => one !== lost), spare];
  const repaired = applyPlan(left);
  const gap = lost.held!.end - lost.held!.first;
  assert.equal(countMoved(left, repaired), gap);
  const {held} = repaired.at(-1)!;
  assert.ok(held!.end - held!.first < gap, 'the spare loads less than the gap');
  const centre = repaired.filter(one => one.dataCentre === 'a');
  assert.equal(findGap(centre, model.layerCount), -1);
});

test('extended endpoints are offloaded step by step without opening a gap', () => {
  const fleet = applyPlan(makeFleet());
  const lost = fleet.find(({id}) => id === 'a-a100s-1')!;
  const spare = makeEndpoint('a-spare', 'a100s', 'a');
  let now = applyPlan([...fleet.filter(one => one !== lost), spare]);
  const getLeast = (all: readonly PlannedEndpoint[]) =>
    Math.min(...findPaths(all, model).map(one => one.capacityTokens));
  const before = getLeast(now);
  for (let step = 0; step < 12; step += 1) {
    now = applyPlan(now);
    const centre = now.filter(one => one.dataCentre === 'a');
    assert.equal(findGap(centre, model.layerCount), -1);
  }
  assert.ok(getLeast(now) >= before);
  assert.equal(countMoved(now, applyPlan(now)), 0, 'the plan converges');
});

test('whole chains do not change when a spare endpoint is added', () => {
  const fleet = [...applyPlan(makeFleet()), makeEndpoint('x', 'l4', 'c')];
  assert.equal(countMoved(fleet, applyPlan(fleet)), 0);
});

test('small data centres share one chain', () => {
  const fleet = applyPlan([
    ...makeCentre('a', {a100s: 2, l4: 1, t4: 0}),
    ...makeCentre('b', {a100s: 2, l4: 1, t4: 0}),
  ]);
  const [path] = findPaths(fleet, model);
  const ranges = path!.parts.map(({layers}) => layers);
  assert.ok(isWholeChain(ranges, model.layerCount));
});

test('a path takes the missing layers from another data centre', () => {
  const fleet = applyPlan(makeFleet());
  const lost = fleet.find(({id}) => id === 'a-t4-2')!;
  const paths = findPaths(
    fleet.filter(one => one !== lost),
    model,
  );
  const crossing = paths.find(path =>
    path.parts.some(({endpoint}) => endpoint.dataCentre !== 'a'),
  );
  assert.ok(crossing !== undefined);
  for (const path of paths) {
    const ranges = path.parts.map(({layers}) => layers);
    assert.ok(isWholeChain(ranges, model.layerCount));
    const ids = new Set(path.parts.map(({endpoint}) => endpoint.id));
    assert.equal(ids.size, path.parts.length);
  }
});

test('requests go to the least loaded path and full paths get none', () => {
  const paths = findPaths(applyPlan(makeFleet()), model);
  const [full, busy, idle] = paths as [StagePath, StagePath, StagePath];
  const loads = new Map<string, EndpointLoad>();
  for (const [path, streams] of [
    [full, 134],
    [busy, 60],
    [idle, 5],
  ] as const) {
    for (const {endpoint, layers} of path.parts) {
      const layerTokens = streams * 900 * (layers.end - layers.first);
      loads.set(endpoint.id, {streams, layerTokens});
    }
  }
  const getLoad = (id: string) => loads.get(id)!;
  const picked = pickPath(
    paths,
    {tokens: 900},
    {getLoad, dataCentre: 'a', random: () => 0.5},
  );
  assert.equal(picked, idle);
});

test('no path is picked when all are full', () => {
  const paths = findPaths(applyPlan(makeFleet()), model);
  const getLoad = () => ({streams: 134, layerTokens: 0});
  assert.equal(
    pickPath(paths, {tokens: 900}, {getLoad, dataCentre: 'a', random: () => 0}),
    undefined,
  );
});

test('the token capacity is the memory that the held layers leave', () => {
  const endpoint = makeEndpoint('e', 't4', 'a');
  const tokens = computeTokenCapacity(endpoint, 4, 4, model);
  assert.ok(Math.abs(tokens - 225_060) < 100, `${tokens}`);
});

test('a path is stalled when all its streams are silent', () => {
  const watch = {...createPathWatch(), started: 3, progressAt: 1000};
  assert.equal(isStalled(watch, 1080), false);
  assert.equal(isStalled(watch, 1081), true);
  assert.equal(isStalled({...watch, started: 1}, 1120), false);
  assert.equal(isStalled({...watch, started: 1}, 1121), true);
});

test('a path without streams is never stalled', () => {
  assert.equal(isStalled(createPathWatch(), 1_000_000), false);
});

/** Targets with as little memory for requests as a chain can work with. */
const scarceOptions = {
  ...defaultRangeOptions,
  gapFillTokens: 30_000,
  repairTokens: 45_000,
};

test('most gaps can be filled without taking layers from other endpoints', () => {
  const fleet = applyPlan(makeFleet());
  let filled = 0;
  for (const lost of fleet) {
    const left = fleet.filter(({id}) => id !== lost.id);
    const repaired = applyPlan(left, scarceOptions);
    const hasDropped = repaired.some((one, index) => {
      const was = left[index]!.held!;
      return one.held!.first > was.first || one.held!.end < was.end;
    });
    if (!hasDropped) filled += 1;
  }
  assert.ok(filled > fleet.length / 2, `${filled} of ${fleet.length}`);
});

test('a spare offloads an extended endpoint, which then drops layers', () => {
  const fleet = applyPlan(makeFleet());
  const lost = fleet.find(({id}) => id === 'a-t4-1')!;
  const left = fleet.filter(one => one !== lost);
  const repaired = applyPlan(left, scarceOptions);
  const spare = makeEndpoint('a-spare', 'l4', 'a');
  const offloaded = applyPlan([...repaired, spare]);
  assert.ok(offloaded.at(-1)!.held !== undefined);
  const settled = applyPlan(offloaded);
  const before = findPaths(repaired, model).map(one => one.capacityTokens);
  const after = findPaths(settled, model).map(one => one.capacityTokens);
  assert.ok(Math.min(...after) > Math.min(...before));
  const centre = settled.filter(one => one.dataCentre === 'a');
  assert.equal(findGap(centre, model.layerCount), -1);
});

test('no layers are dropped while the offloading endpoint still loads', () => {
  const fleet = applyPlan(makeFleet());
  const lost = fleet.find(({id}) => id === 'a-t4-1')!;
  const left = fleet.filter(one => one !== lost);
  const repaired = applyPlan(left, scarceOptions);
  const spare = {...makeEndpoint('a-spare', 'l4', 'a'), isLoading: true};
  const offloaded = applyPlan([...repaired, spare]);
  assert.deepEqual(applyPlan(offloaded), offloaded);
});

test('a path without first events is probed, then times out', () => {
  const watch = {...createPathWatch(), waiting: 2, progressAt: 1000};
  assert.equal(isStalled(watch, 1250), false);
  assert.equal(isStalled(watch, 1251), true);
  assert.equal(isStalled({...watch, checkedAt: 1251}, 1400), false);
  assert.equal(isTimedOut(watch, 2800), false);
  assert.equal(isTimedOut(watch, 2801), true);
});

/** The endpoints of a large deployment with several chains per data centre. */
function makeGrownFleet(): PlannedEndpoint[] {
  return [
    ...makeCentre('a', {a100s: 4, l4: 9, t4: 14}),
    ...makeCentre('b', {a100s: 2, l4: 13, t4: 22}),
    ...makeCentre('c', {a100s: 1, l4: 22, t4: 12}),
  ];
}

test('a large data centre holds several chains', () => {
  const paths = findPaths(applyPlan(makeGrownFleet()), model);
  assert.equal(paths.length, 6);
  for (const path of paths) {
    assert.ok(path.parts.length <= 32, `${path.parts.length}`);
    assert.ok(path.capacityTokens >= 100_000, `${path.capacityTokens}`);
  }
});

test('the loss of an endpoint moves ranges of its own chain only', () => {
  const fleet = applyPlan(makeGrownFleet());
  for (const lost of fleet) {
    const left = fleet.filter(({id}) => id !== lost.id);
    const repaired = applyPlan(left);
    const whole = findPaths(repaired, model).filter(
      ({parts}) =>
        new Set(parts.map(({endpoint}) => endpoint.dataCentre)).size === 1,
    );
    assert.equal(whole.length, 6, lost.id);
    assert.ok(countMoved(left, repaired) <= 80, lost.id);
  }
});

test('whole chains are not changed', () => {
  const fleet = applyPlan(makeGrownFleet());
  assert.equal(countMoved(fleet, applyPlan(fleet)), 0);
});

test('streams are cut off only when another chain can take them', () => {
  const fleet = applyPlan(makeFleet());
  const isLarge = ({id}: PlannedEndpoint) => id.includes('a100s');
  const lost = fleet.filter(isLarge).map(({id}) => id);
  const one = fleet.filter(({id}) => id !== 'a-a100s-0');
  const urgent = [...planRanges(one, model).values()];
  assert.ok(urgent.some(({isUrgent}) => isUrgent));
  assert.ok(urgent.some(({cutsStreams}) => cutsStreams));
  // Each data centre has lost an endpoint whose gap cannot be filled.
  const all = fleet.filter(({id}) => !lost.includes(id));
  const unhurriedPlan = [...planRanges(all, model).values()];
  assert.ok(unhurriedPlan.length > 0);
  assert.ok(unhurriedPlan.every(({isUrgent}) => !isUrgent));
});

/** Counts the layers that each endpoint has to load for a plan. */
function countLoads(
  before: readonly PlannedEndpoint[],
  after: readonly PlannedEndpoint[],
): number[] {
  return after.map(({id, held}) => {
    const had = before.find(one => one.id === id)!.held;
    if (held === undefined) return 0;
    const kept =
      had === undefined
        ? 0
        : Math.min(had.end, held.end) - Math.max(had.first, held.first);
    return held.end - held.first - Math.max(0, kept);
  });
}

// Three endpoints of one chain are lost at once. Each moved layer loads for
// 175 ms, on at most six endpoints in parallel.
test('the loss of three stages moves few layers', () => {
  const wholeChain = applyPlan(makeCentre('b', {a100s: 1, l4: 5, t4: 8}));
  const inOrder = [...wholeChain].sort((a, b) => a.held!.first - b.held!.first);
  const lost = [2, 6, 10].map(index => inOrder[index]!);
  const left = wholeChain.filter(one => !lost.includes(one));
  const after = applyPlan(left);
  assert.equal(findGap(after, 80), -1);
  const loads = countLoads(left, after);
  const missing = lost.reduce(
    (sum, {held}) => sum + held!.end - held!.first,
    0,
  );
  const loaded = loads.reduce((sum, load) => sum + load, 0);
  assert.ok(loaded <= missing * 1.5, `${loaded} layers for ${missing} lost`);
  assert.ok(Math.max(...loads) <= 6, `${loads.join(' ')} layers`);
});

// A data centre that lost a stage, even the first one, keeps using the rest of
// its chain and takes only the lost layers from another data centre.
test('a path takes only the lost layers from another data centre', () => {
  const fleet = applyPlan(makeFleet());
  for (const layer of [0, 40]) {
    const lost = fleet.find(
      ({dataCentre, held}) =>
        dataCentre === 'b' && held!.first <= layer && layer < held!.end,
    )!;
    const paths = findPaths(
      fleet.filter(one => one !== lost),
      model,
    );
    const mixed = paths.find(
      ({parts}) =>
        new Set(parts.map(part => part.endpoint.dataCentre)).size > 1,
    );
    let remote = 0;
    for (const {endpoint, layers} of mixed?.parts ?? []) {
      if (endpoint.dataCentre !== 'b') remote += layers.end - layers.first;
    }
    assert.equal(remote, lost.held!.end - lost.held!.first);
  }
});

// A draining endpoint serves its streams for two more seconds, while the other
// chains take new requests.
test('streams of a draining endpoint keep running while others take new ones', () => {
  const fleet = applyPlan(makeFleet());
  const leaving = fleet.filter(({id}) => id === 'a-a100s-0');
  const rest = fleet.filter(one => !leaving.includes(one));
  const plan = planRanges(rest, model, defaultRangeOptions, leaving);
  assert.ok(plan.size > 0);
  assert.ok([...plan.values()].every(({isUrgent}) => !isUrgent));
  // With two of three chains broken, the repair cannot wait for the streams.
  const also = fleet.filter(({id}) => id === 'b-a100s-0');
  const fewer = rest.filter(one => !also.includes(one));
  const both = [...leaving, ...also];
  const urgentPlan = planRanges(fewer, model, defaultRangeOptions, both);
  assert.ok([...urgentPlan.values()].some(({isUrgent}) => isUrgent));
  // The streams of both chains still run: they move, or finish.
  assert.ok([...urgentPlan.values()].every(({cutsStreams}) => !cutsStreams));
});

// When the first stage is lost, 13 layers on a large endpoint, its neighbour
// alone would take 2.3 s to load them.
test('small endpoints are relocated to the gap of a large one', () => {
  for (const centre of ['a', 'b', 'c']) {
    const fleet = applyPlan(makeFleet());
    const left = fleet.filter(({id}) => id !== `${centre}-a100s-0`);
    const after = applyPlan(left);
    assert.equal(findPaths(after, model).length, 3);
    const loads = countLoads(left, after);
    assert.ok(Math.max(...loads) <= 8, `${centre}: ${loads.join(' ')} layers`);
  }
});

// Each layer loads for 175 ms, up to six ranges in parallel. A repaired chain
// must carry more than its own third of 43 streams a second.
test('any loss is repaired within 1.4 s with memory for twice its share', () => {
  const fleet = applyPlan(makeFleet());
  for (const lost of fleet) {
    const left = fleet.filter(one => one !== lost);
    const after = applyPlan(left);
    const loads = countLoads(left, after);
    const total = loads.reduce((sum, load) => sum + load, 0);
    const seconds = 0.175 * Math.max(...loads, total / model.loadsAtOnce);
    assert.ok(seconds <= 1.4, `${lost.id}: ${seconds} s, ${loads.join(' ')}`);
    for (const {capacityTokens} of findPaths(after, model)) {
      assert.ok(
        capacityTokens > 77_000,
        `${lost.id}: ${capacityTokens} tokens`,
      );
    }
  }
});

// At full load the room that comes free is taken by small requests first.
test('large requests may use the last part of a path', () => {
  const [path] = findPaths(applyPlan(makeFleet()), model);
  const {parts, capacityTokens} = path!;
  const loads = new Map<string, EndpointLoad>();
  for (const {endpoint, layers} of parts) {
    const layerTokens = capacityTokens * 0.88 * (layers.end - layers.first);
    loads.set(endpoint.id, {streams: 40, layerTokens});
  }
  const pick = (tokens: number, usualTokens: number) =>
    pickPath(
      [path!],
      {tokens, usualTokens},
      {getLoad: id => loads.get(id)!, dataCentre: 'a', random: () => 0.5},
    );
  const large = capacityTokens * 0.05;
  assert.equal(pick(large, large / 2), path);
  assert.equal(pick(large, large), undefined);
});

/** Counts the crossings that a fleet starts while requests always wait. */
function countCrossings(vms: number, crossingsPerSecond: number, end: number) {
  const budgets = Array.from({length: vms}, () => createCrossingBudget(0));
  let started = 0;
  for (let now = 0; now < end; now += 100) {
    for (const [rank, budget] of budgets.entries()) {
      const share = {crossingsPerSecond, vms, rank};
      const available = countAvailableCrossings(budget, share, now);
      if (!canCross(1, available)) continue;
      takeCrossings(budget, 1);
      started += 1;
    }
  }
  return started;
}

// Many chains of a large fleet break at once. If each of 195 VMs sends one stream
// across, the link that carries 22 a second is taken for nine seconds.
test('a fleet crosses the shared link within what it carries', () => {
  for (const vms of [13, 60, 195, 340]) {
    const atOnce = countCrossings(vms, 22, 100);
    assert.ok(atOnce >= 1 && atOnce <= 11, `${vms} VMs: ${atOnce} at once`);
    const inTenSeconds = countCrossings(vms, 22, 10_000);
    assert.ok(inTenSeconds <= 11 + 220, `${vms} VMs: ${inTenSeconds}`);
    assert.ok(inTenSeconds >= 150, `${vms} VMs: ${inTenSeconds}`);
  }
  assert.equal(canCross(0, -3), true);
});
