import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  computeSlowness,
  computeStallOptions,
  createGapRecord,
  defaultStallOptions,
  findPaths,
  pickPath,
  pickSpreadPath,
  predictPath,
  readFigures,
  readPace,
  recordPathGap,
  type EndpointLoad,
  type EngineFigures,
  type GapRecord,
  type PickRequest,
  type StagePath,
} from '../src/index.js';
import {makeEndpoint, model} from './stage_fixtures.js';

const figures: EngineFigures = {
  layerCount: 80,
  stepMilliseconds: 1.02,
  streamMilliseconds: 0.02,
  contextMilliseconds: 0.002,
  readPerMillisecond: 164,
  pairMilliseconds: 0.1,
  chunkTokens: 512,
  stride: 5,
  usualPromptTokens: 730,
  usualAnswerTokens: 230,
  reportLagMilliseconds: 200,
};

const request: PickRequest = {
  tokens: 960,
  promptTokens: 730,
  targetMilliseconds: 500,
  gapTargetMilliseconds: 250,
};

const idle: EndpointLoad = {streams: 0, layerTokens: 0};

function getIdle(): EndpointLoad {
  return idle;
}

const small = {...model, layerMegabytes: 175, tokenMegabytesPerLayer: 0.0008};

/** Makes paths of one endpoint each, in one data centre, with some paces. */
function makePaths(paces: readonly number[]): StagePath[] {
  const whole = {first: 0, end: model.layerCount};
  const endpoints = paces.map((pace, i) => ({
    ...makeEndpoint(`e${i}`, 'a100s', 'a', whole),
    ...{pace, readFactor: pace},
  }));
  const paths = findPaths(endpoints, small);
  return paces.map((_, i) => paths.find(one => getId(one) === `e${i}`)!);
}

function getId({parts}: StagePath): string {
  return parts[0]!.endpoint.id;
}

function predict(path: StagePath, streams: number) {
  const load = {streams, layerTokens: streams * 960 * 80};
  const stream = {added: 1, tokens: 960, promptTokens: 730} as const;
  return predictPath(path, () => load, figures, stream);
}

test('a pass grows with the streams on a path and with its pace', () => {
  const [fast, slow] = makePaths([2.4, 16]) as [StagePath, StagePath];
  const empty = predict(fast, 0);
  assert.ok(empty.gapMilliseconds > 2.4 * 5 * 1.02);
  assert.ok(empty.gapMilliseconds < 14, `${empty.gapMilliseconds}`);
  const first = empty.firstEventMilliseconds;
  const read = (730 / 164) * 2.4;
  assert.ok(first > empty.gapMilliseconds * 1.5 + read, `${first}`);
  assert.ok(predict(fast, 50).gapMilliseconds > empty.gapMilliseconds * 2);
  const gap = predict(slow, 0).gapMilliseconds;
  assert.ok(gap > 80 && gap < 110, `${gap}`);
});

test('layers divided among endpoints take as long as on one', () => {
  const halves = [
    makeEndpoint('h0', 'a100s', 'a', {first: 0, end: 40}),
    makeEndpoint('h1', 'a100s', 'a', {first: 40, end: 80}),
  ];
  const [split] = findPaths(halves, small);
  const [whole] = makePaths([3.1]);
  const query = {added: 1, tokens: 960, promptTokens: 730} as const;
  const predictIdle = (path: StagePath) =>
    predictPath(path, getIdle, figures, query).gapMilliseconds;
  assert.ok(Math.abs(predictIdle(split!) - predictIdle(whole!)) < 1e-9);
});

test('any figure that is missing or out of range turns predictions off', () => {
  assert.deepEqual(readFigures(figures), figures);
  for (const name of Object.keys(figures)) {
    for (const value of [undefined, null, 0, -1, NaN, 1e300, '5', [1]]) {
      assert.equal(readFigures({...figures, [name]: value}), undefined, name);
    }
  }
  assert.equal(readFigures({...figures, stride: 0.5}), undefined);
});

test('without figures or targets a path is picked by its fill only', () => {
  const paths = makePaths([2.4, 3]);
  const view = {getLoad: getIdle, dataCentre: 'b', random: () => 0};
  const slowed = {...view, getSlowness: () => 32};
  const {tokens} = request;
  assert.equal(pickPath(paths, request, slowed), paths[0]);
  const withFigures = {...slowed, figures};
  assert.equal(pickPath(paths, {tokens}, withFigures), paths[0]);
  const noGap = {...request, gapTargetMilliseconds: undefined};
  assert.equal(pickPath(paths, noGap, withFigures), paths[0]);
});

test('a path that misses a target is used only if no other has room', () => {
  const paths = makePaths([2.4, 2.4, 2.4]);
  const [slowed, late, full] = paths as [StagePath, StagePath, StagePath];
  const slowness = new Map([
    [slowed, 32],
    [late, 25],
  ]);
  const getLoad = (id: string) =>
    id === getId(full) ? {streams: 130, layerTokens: 0} : idle;
  const view = {
    ...{dataCentre: 'a', random: () => 0.5, figures},
    getSlowness: (path: StagePath) => slowness.get(path) ?? 1,
  };
  for (const pick of [pickPath, pickSpreadPath]) {
    assert.equal(pick(paths, request, {...view, getLoad: getIdle}), full);
    assert.equal(pick(paths, request, {...view, getLoad}), late);
    // Nothing is refused for a predicted time alone.
    assert.equal(pick([slowed], request, {...view, getLoad}), slowed);
    assert.equal(pick([full], request, {...view, getLoad}), undefined);
  }
});

test('a request leaves the capacity free that it reserves for others', () => {
  const [path] = makePaths([2.4]);
  const getLoad = () => ({streams: 100, layerTokens: 0});
  const view = {getLoad, dataCentre: 'a', random: () => 0};
  const pick = (reservedShare: number) =>
    pickPath([path!], {tokens: 1, reservedShare}, view);
  assert.equal(pick(0), path);
  assert.equal(pick(0.1), path);
  assert.equal(pick(0.2), undefined);
});

test('prompt tokens that a path holds need no prefill there', () => {
  const paths = makePaths([8, 8]);
  const view = {getLoad: getIdle, dataCentre: 'b', random: () => 0, figures};
  const long = {...request, promptTokens: 5000};
  const getSaved = (path: StagePath) => (path === paths[1] ? 4800 : 0);
  assert.equal(pickPath(paths, long, view), paths[0]);
  assert.equal(
    pickPath(paths, {...long, savedTokens: getSaved}, view),
    paths[1],
  );
});

test('the silence of a path of stride 2 is bounded as without figures', () => {
  for (const gapMilliseconds of [5, 25, 28, 30, 33, 37]) {
    const times = {gapMilliseconds, firstEventMilliseconds: 60};
    assert.deepEqual(computeStallOptions(times, 2), defaultStallOptions);
  }
  const loaded = {gapMilliseconds: 500, firstEventMilliseconds: 900};
  const options = computeStallOptions(loaded, 2);
  assert.equal(options.multiStreamMilliseconds, 120);
  assert.equal(options.singleStreamMilliseconds, 120);
});

// Paths of l4 were probed all day: their events are 80 to 110 ms apart.
test('a sound path of slow endpoints is not probed between its events', () => {
  for (let gap = 1; gap <= 110; gap += 1) {
    const times = {gapMilliseconds: gap, firstEventMilliseconds: gap * 2};
    const options = computeStallOptions(times, 5);
    const {multiStreamMilliseconds, singleStreamMilliseconds} = options;
    assert.ok(multiStreamMilliseconds >= Math.max(40, gap * 2), `${gap}`);
    assert.ok(singleStreamMilliseconds >= multiStreamMilliseconds);
    assert.ok(singleStreamMilliseconds <= 230);
    assert.ok(options.firstEventMilliseconds >= gap * 3);
  }
});

test('a stall of any path is found within 250 ms, whatever is predicted', () => {
  for (const gap of [300, 1e6, 1e300]) {
    const times = {gapMilliseconds: gap, firstEventMilliseconds: gap};
    const options = computeStallOptions(times, 5);
    assert.equal(options.multiStreamMilliseconds, 230);
    assert.equal(options.firstEventMilliseconds, 400);
  }
  for (const gap of [NaN, 0, -1]) {
    const times = {gapMilliseconds: gap, firstEventMilliseconds: gap};
    assert.deepEqual(computeStallOptions(times, 5), defaultStallOptions);
  }
});

test('slowness follows the gaps and decays without events', () => {
  const [path] = makePaths([2.4]);
  const record = createGapRecord();
  let now = 1000;
  for (let i = 0; i < 10; i += 1) {
    now += 72;
    recordPathGap(record, now, 72, 12);
  }
  const compute = (at: number) =>
    computeSlowness(path!, record, () => undefined, {now: at, isUsed: false});
  assert.ok(Math.abs(compute(now) - 6) < 0.01);
  assert.ok(compute(now + 3000) < 2.1);
  assert.ok(compute(now + 5000) < 1.3);
});

test('gaps and paces that cannot be are left out', () => {
  const [path] = makePaths([2.4]);
  const record = createGapRecord();
  for (const gap of [0, NaN, -5, 1e300, Infinity]) {
    recordPathGap(record, 1000, gap, 12);
    recordPathGap(record, 1000, 12, gap);
  }
  assert.equal(
    computeSlowness(path!, record, () => undefined, {now: 1000, isUsed: false}),
    1,
  );
  for (const pace of [0, NaN, -1, 1e300, undefined, '6', null]) {
    assert.equal(readPace(pace), undefined);
  }
  assert.equal(readPace(0.5), 1);
  assert.equal(readPace(1000), 32);
  recordPathGap(record, 1000, 1e8, 1);
  assert.equal(
    computeSlowness(path!, record, () => undefined, {now: 1000, isUsed: false}),
    32,
  );
});

// An event that a busy VM reads late is followed by one that comes early.
test('events that a busy VM reads late do not slow their path', () => {
  const [path] = makePaths([2.4]);
  const record = createGapRecord();
  let now = 1000;
  for (let i = 0; i < 100; i += 1) {
    const gap = i % 5 === 4 ? 50 : 2.5;
    now += gap;
    recordPathGap(record, now, gap, 12);
  }
  const slowness = computeSlowness(path!, record, () => undefined, {
    now,
    isUsed: false,
  });
  assert.ok(slowness < 1.2, `${slowness}`);
});

test('the report of an endpoint counts if it is newer than the events', () => {
  const [path] = makePaths([2.4]);
  const record = createGapRecord();
  recordPathGap(record, 1000, 12, 12);
  const compute = (at: number) =>
    computeSlowness(path!, record, () => ({pace: 6, at}), {
      now: 1100,
      isUsed: true,
    });
  assert.equal(compute(1050), 6);
  assert.equal(compute(950), 1);
});

/** A VM's view in the replay: loads of 100 ms ago and its own gaps. */
interface ReplayVm {
  readonly gaps: GapRecord[];
  seen: readonly number[];
  readonly own: number[];
}

interface ReplayStream {
  readonly vm: number;
  readonly path: number;
  eventAt: number;
  left: number;
}

/**
 * Replays streams of some VMs on equal paths, the first of which is slowed 6
 * times for a while. Gives the share of the new streams that it got in each
 * second.
 */
function simulateSlowing(seed: number, from: number, until: number): number[] {
  const generator = xoroshiro128plus(seed);
  const sample = () => (generator.next() >>> 0) / 2 ** 32;
  const paths = makePaths(Array.from({length: 10}, () => 2.4));
  const vms: ReplayVm[] = Array.from({length: 12}, () => ({
    gaps: paths.map(createGapRecord),
    seen: paths.map(() => 0),
    own: paths.map(() => 0),
  }));
  const counts = paths.map(() => 0);
  const streams = new Set<ReplayStream>();
  const shares: number[] = [];
  let placed = 0;
  let onFirst = 0;
  const end = until + 12_000;
  const step = 5;
  for (let now = 0; now < end; now += step) {
    if (now % 100 === 0) {
      for (const vm of vms) {
        vm.seen = counts.map((count, i) => count - vm.own[i]!);
      }
    }
    for (const stream of streams) {
      const path = paths[stream.path]!;
      const load = counts[stream.path]!;
      const gap = predictPath(
        path,
        () => ({streams: load, layerTokens: load * 960 * 80}),
        figures,
        {added: 0, tokens: 0, promptTokens: 0},
      ).gapMilliseconds;
      const isSlowed = stream.path === 0 && now >= from && now < until;
      const passed = now - stream.eventAt;
      if (passed < gap * (isSlowed ? 6 : 1)) continue;
      const vm = vms[stream.vm]!;
      recordPathGap(vm.gaps[stream.path]!, now, passed, gap);
      stream.eventAt = now;
      stream.left -= 1;
      if (stream.left > 0) continue;
      streams.delete(stream);
      counts[stream.path]! -= 1;
      vm.own[stream.path]! -= 1;
    }
    // 200 streams a second.
    const at = Math.floor(sample() * vms.length);
    const vm = vms[at]!;
    const picked = pickPath(paths, request, {
      getLoad: id => {
        const i = Number(id.slice(1));
        const load = vm.seen[i]! + vm.own[i]!;
        return {streams: load, layerTokens: load * 960 * 80};
      },
      ...{dataCentre: 'a', random: sample, figures},
      getSlowness: path => {
        const i = Number(getId(path).slice(1));
        return computeSlowness(path, vm.gaps[i], () => undefined, {
          now,
          isUsed: vm.own[i]! > 0,
        });
      },
    });
    const path = paths.indexOf(picked!);
    streams.add({
      vm: at,
      path,
      eventAt: now,
      left: 20 + Math.floor(sample() * 53),
    });
    counts[path]! += 1;
    vm.own[path]! += 1;
    placed += 1;
    if (path === 0) onFirst += 1;
    if ((now + step) % 1000 > 0) continue;
    shares.push(onFirst / placed);
    placed = 0;
    onFirst = 0;
  }
  return shares;
}

for (const seed of [1, 2, 3]) {
  test(`an endpoint slowed 6 times loses new streams within a second and gets them back, seed ${seed}`, () => {
    const shares = simulateSlowing(seed, 4000, 14_000);
    const shown = shares.map(share => share.toFixed(3)).join(' ');
    const before = shares[3]!;
    assert.ok(before > 0.05, shown);
    for (const share of shares.slice(5, 14)) {
      assert.ok(share < 0.04, shown);
    }
    assert.ok(Math.max(...shares.slice(14, 19)) > 0.05, shown);
    for (const share of shares.slice(20)) {
      assert.ok(share > 0.05 && share < 0.2, shown);
    }
  });
}
