import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {PathTable} from '../src/fleet/path_table.js';
import type {ServiceModel} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const model: ServiceModel = {
  shape: {
    layerCount: 4,
    layerMegabytes: 100,
    tokenMegabytesPerLayer: 0.01,
    stepMilliseconds: 1,
    loadsAtOnce: 6,
  },
  kinds: new Map([['card', {name: 'card', sizeMegabytes: 1000, pace: 1}]]),
  meanAnswerTokens: 10,
};

function makePaths() {
  const clock = {now: 1000};
  const getNow = () => clock.now;
  const write = () => undefined;
  const endpoints = new EndpointTable(write, getNow);
  for (const dataCentre of ['a', 'b']) {
    for (const first of [0, 2]) {
      const entry = makeEntry({
        id: `${dataCentre}${first}`,
        address: `10.0.0.${first}:80`,
        dataCentre,
        slots: 4,
        held: {first, end: first + 2},
      });
      endpoints.applyEntry(entry);
    }
  }
  const loads = new LoadTracker();
  const paths = new PathTable(endpoints, 'a', loads, write, getNow);
  return {clock, endpoints, loads, paths};
}

function makeStream() {
  const stream = {
    stalls: 0,
    paused: false,
    handleStall: () => undefined as void,
    isPaused: () => stream.paused,
  };
  stream.handleStall = () => {
    stream.stalls += 1;
  };
  return stream;
}

test('a suspected endpoint breaks its path until it is cleared', () => {
  const {clock, endpoints, paths} = makePaths();
  assert.equal(paths.list('letters', model).length, 2);
  const state = endpoints.find('a2')!;
  endpoints.recordSuspicion(state, clock.now + 1000, 'test');
  const crossing = paths.list('letters', model);
  assert.ok(
    crossing.every(({parts}) => parts.every(one => one.endpoint.id !== 'a2')),
  );
  endpoints.removeSuspicion(state);
  assert.equal(paths.list('letters', model).length, 2);
});

test('a silent path is reported as stalled until it makes progress', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const reservations = [1, 2].map(() => paths.reserve(path, 10, makeStream()));
  for (const reservation of reservations) paths.recordProgress(reservation);
  clock.now += 70;
  assert.equal(paths.listStalled().length, 0);
  clock.now += 20;
  assert.deepEqual(paths.listStalled(), [path]);
  assert.equal(paths.isTimedOut(path), false);
  paths.recordProgress(reservations[0]!);
  clock.now += 60;
  assert.equal(paths.listStalled().length, 0);
});

test('a path that stays silent times out although its endpoints answer', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  paths.recordProgress(paths.reserve(path, 10, makeStream()));
  for (let silent = 0; silent < 800; silent += 20) {
    clock.now += 20;
    paths.listStalled();
  }
  assert.equal(paths.isTimedOut(path), false);
  clock.now += 20;
  paths.listStalled();
  assert.equal(paths.isTimedOut(path), true);
});

test('all streams leave a path through an unreachable endpoint', () => {
  const {paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const stream = makeStream();
  paths.reserve(path, 10, stream);
  paths.dropStreamsThrough('none');
  assert.equal(stream.stalls, 0);
  paths.dropStreamsThrough(path.parts[1]!.endpoint.id);
  assert.equal(stream.stalls, 1);
  assert.notEqual(paths.pick('letters', model, {tokens: 10})?.key, path.key);
});

test('streams stay on a path while the layers they need are kept', () => {
  const {paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const stream = makeStream();
  paths.reserve(path, 10, stream);
  const {endpoint, layers} = path.parts[0]!;
  paths.dropStreamsOutside(endpoint.id, {...layers, end: layers.end + 1});
  assert.equal(stream.stalls, 0);
  paths.dropStreamsOutside(endpoint.id, {...layers, end: layers.end - 1});
  assert.equal(stream.stalls, 1);
});

test('a burst is spread over paths and refused beyond their slots', () => {
  const {paths} = makePaths();
  const counts = new Map<string, number>();
  for (;;) {
    const path = paths.pick('letters', model, {tokens: 10});
    if (path === undefined) break;
    paths.reserve(path, 10, makeStream());
    counts.set(path.key, (counts.get(path.key) ?? 0) + 1);
  }
  assert.deepEqual([...counts.values()], [3, 3]);
});

test('released slots are free again', () => {
  const {loads, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const first = path.parts[0]!.endpoint.id;
  const reservation = paths.reserve(path, 10, makeStream());
  assert.deepEqual(loads.computeLoad(first), {streams: 1, layerTokens: 20});
  paths.release(reservation);
  paths.release(reservation);
  assert.equal(loads.computeLoad(first).streams, 0);
  assert.deepEqual(loads.listOwn(), []);
});

test('a pause of the process does not count as silence of its paths', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  paths.recordProgress(paths.reserve(path, 10, makeStream()));
  clock.now += 5000;
  paths.resumeWatches();
  assert.equal(paths.listStalled().length, 0);
});

test('the load of peers counts at every endpoint of their path', () => {
  const {loads, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const other = new LoadTracker();
  other.addOwn(path, 3, 30);
  loads.setPeer('vm-2', other.listOwn());
  const ids = path.parts.map(({endpoint}) => endpoint.id);
  assert.deepEqual(
    ids.map(id => loads.computeLoad(id)),
    [
      {streams: 3, layerTokens: 60},
      {streams: 0, layerTokens: 60},
    ],
  );
  loads.setPeer('vm-2', []);
  assert.equal(loads.computeLoad(ids[0]!).layerTokens, 0);
});

test('the load of an unknown path counts at its first endpoint only', () => {
  const {loads} = makePaths();
  loads.setPeer('vm-2', [[12345, 'a0', 2, 50]]);
  assert.equal(loads.computeLoad('a0').streams, 2);
  loads.removePeer('vm-2');
  assert.equal(loads.computeLoad('a0').streams, 0);
});

test('a stream paused by its caller does not stall its path', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const stream = makeStream();
  paths.recordProgress(paths.reserve(path, 10, stream));
  stream.paused = true;
  clock.now += 5000;
  assert.equal(paths.listStalled().length, 0);
  stream.paused = false;
  let stalled = 0;
  for (let i = 0; i < 10; i += 1) {
    clock.now += 20;
    stalled += paths.listStalled().length;
  }
  assert.equal(stalled, 1);
});

test('probes of a slow path whose endpoints answer are limited', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const reservations = [1, 2].map(() => paths.reserve(path, 10, makeStream()));
  for (const reservation of reservations) paths.recordProgress(reservation);
  let probed = 0;
  for (let passed = 0; passed < 8000; passed += 20) {
    clock.now += 20;
    if (passed % 300 === 0) paths.recordProgress(reservations[0]!);
    if (paths.listStalled().length === 0) continue;
    probed += 1;
    paths.recordAnswers(path, 13);
  }
  assert.ok(probed <= 20, `${probed}`);
});

// This VM alone is partitioned from endpoints that serve all others.
test('paths pass through endpoints that only other VMs reach', () => {
  const {clock, endpoints, paths} = makePaths();
  const setUnreachable = (id: string) => {
    const state = endpoints.find(id)!;
    state.health.failedProbes = 2;
    endpoints.recordSuspicion(state, clock.now + 1500, 'silent');
    for (const vm of ['vm-1', 'vm-2', 'vm-3']) {
      endpoints.recordRefutation(id, 1, vm);
    }
  };
  setUnreachable('a2');
  const listFirsts = () =>
    paths.list('letters', model).map(({parts}) => parts[0]!.endpoint.id);
  assert.deepEqual(listFirsts(), ['a0', 'b0']);
  setUnreachable('b0');
  const starts = listFirsts();
  assert.ok(starts.length > 0 && !starts.includes('b0'), starts.join(' '));
});

test('no path leads through an endpoint that leaves, wherever it stands', () => {
  for (const id of ['a0', 'a2']) {
    const {endpoints, paths} = makePaths();
    const path = paths.pick('letters', model, {tokens: 10})!;
    const stream = makeStream();
    paths.reserve(path, 10, stream);
    endpoints.acceptNotice(
      {id, bornAt: 1},
      {isLeaving: true, pauseMilliseconds: undefined},
      'request r1',
    );
    const found = paths.list('letters', model);
    assert.ok(found.length > 0);
    for (const {parts} of found) {
      assert.ok(parts.every(({endpoint}) => endpoint.id !== id));
    }
    assert.equal(stream.stalls, 0);
  }
});

const pausing = {isLeaving: false, pauseMilliseconds: 3000};

test('no path begins at an endpoint that asks for a pause, until its end', () => {
  const {clock, endpoints, paths} = makePaths();
  paths.list('letters', model);
  endpoints.acceptNotice({id: 'a0', bornAt: 1}, pausing, 'request r1');
  const listStarts = () =>
    paths.list('letters', model).map(({parts}) => parts[0]!.endpoint.id);
  assert.ok(listStarts().length > 0);
  assert.ok(!listStarts().includes('a0'));
  assert.equal(paths.findReturn('letters', model), undefined);
  clock.now += 3000;
  assert.ok(listStarts().includes('a0'));
});

test('an endpoint that asks for a pause serves on within a path', () => {
  const {endpoints, paths} = makePaths();
  endpoints.acceptNotice({id: 'a2', bornAt: 1}, pausing, 'request r1');
  assert.equal(paths.list('letters', model).length, 2);
});

// The data centre a lacks the second half of the layers, b the first endpoint.
test('a pause does not block a path through the endpoints that are left', () => {
  const {clock, endpoints, paths} = makePaths();
  endpoints.removeEntry('a2', clock.now);
  endpoints.acceptNotice({id: 'b0', bornAt: 1}, pausing, 'request r1');
  const [path] = paths.list('letters', model);
  assert.deepEqual(
    path!.parts.map(({endpoint}) => endpoint.id),
    ['a0', 'b2'],
  );
});

test('while all paths begin at pausing endpoints, the first return is known', () => {
  const {clock, endpoints, paths} = makePaths();
  endpoints.acceptNotice({id: 'a0', bornAt: 1}, pausing, 'request r1');
  const longer = {...pausing, pauseMilliseconds: 5000};
  endpoints.acceptNotice({id: 'b0', bornAt: 1}, longer, 'request r2');
  assert.deepEqual(paths.list('letters', model), []);
  assert.equal(paths.findReturn('letters', model), clock.now + 3000);
  endpoints.removeEntry('a2', clock.now);
  endpoints.removeEntry('b2', clock.now);
  assert.equal(paths.findReturn('letters', model), undefined);
});

test('a stream is not moved to the path that it leaves', () => {
  const {paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  for (let i = 0; i < 20; i += 1) {
    const other = paths.pick('letters', model, {tokens: 10}, path)!;
    assert.notEqual(other.key, path.key);
  }
});

test('a path is not stalled because the process stood still', () => {
  const {clock, paths} = makePaths();
  const path = paths.pick('letters', model, {tokens: 10})!;
  const streams = [makeStream(), makeStream()];
  for (const stream of streams) {
    paths.recordProgress(paths.reserve(path, 10, stream));
  }
  paths.listStalled();
  clock.now += 1000;
  // A timer of a probe may fire before the checks go on.
  paths.dropStreams(path);
  paths.listStalled();
  assert.equal(paths.isTimedOut(path), false);
  assert.equal(streams[0]!.stalls, 0);
  for (let i = 0; i < 40; i += 1) {
    clock.now += 20;
    paths.listStalled();
    if (paths.isTimedOut(path)) paths.dropStreams(path);
  }
  assert.equal(streams[0]!.stalls, 1);
});
