import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineFigures} from '@zinniaspindle/decisions';
import {GatewayEvent} from '@zinniaspindle/shared';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {PathTable, type PathReservation} from '../src/fleet/path_table.js';
import type {ServiceModel} from '../src/ports/index.js';
import {countEvents} from '../src/requests/count_events.js';
import {makeEntry} from './make_entry.js';

const figures: EngineFigures = {
  layerCount: 4,
  stepMilliseconds: 1,
  streamMilliseconds: 1e-6,
  contextMilliseconds: 1e-6,
  readPerMillisecond: 1000,
  pairMilliseconds: 1e-6,
  chunkTokens: 512,
  stride: 5,
  usualPromptTokens: 10,
  usualAnswerTokens: 10,
  reportLagMilliseconds: 200,
};

const request = {
  tokens: 10,
  promptTokens: 5,
  targetMilliseconds: 500,
  gapTargetMilliseconds: 250,
};

const stream = {handleStall: () => undefined, isPaused: () => false};

/** Makes a table of two paths whose events are predicted 5 x `pace` ms apart. */
function makeTable(pace: number, isPredicted = true, stride = 5) {
  const model: ServiceModel = {
    shape: {
      ...{layerCount: 4, layerMegabytes: 100, tokenMegabytesPerLayer: 0.01},
      ...{stepMilliseconds: 1, loadsAtOnce: 6},
    },
    kinds: new Map([
      ['card', {name: 'card', sizeMegabytes: 1000, pace, readFactor: 1}],
    ]),
    meanAnswerTokens: 10,
    figures: isPredicted ? {...figures, stride} : undefined,
  };
  const clock = {now: 1000};
  const lines: number[] = [];
  const getNow = () => clock.now;
  const write = (event: number) => void lines.push(event);
  const endpoints = new EndpointTable(write, getNow);
  for (const dataCentre of ['a', 'b']) {
    const id = `${dataCentre}0`;
    const held = {first: 0, end: 4};
    const address = '10.0.0.1:80';
    endpoints.applyEntry(makeEntry({id, address, dataCentre, slots: 50, held}));
  }
  const loads = new LoadTracker();
  const paths = new PathTable(endpoints, 'a', loads, write, getNow);
  const pick = () => paths.pick('letters', model, request)!;
  const findPath = (id: string) =>
    paths
      .list('letters', model)
      .find(({parts}) => parts[0]!.endpoint.id === id)!;
  return {clock, endpoints, lines, paths, pick, findPath};
}

type Table = ReturnType<typeof makeTable>;

/** Runs checks each 20 ms while streams get events; counts the stalls found. */
function runStreams(
  {clock, paths}: Table,
  places: readonly PathReservation[],
  gap: number,
  milliseconds: number,
): number {
  let stalls = 0;
  const end = clock.now + milliseconds;
  let eventAt = clock.now + gap;
  while (clock.now < end) {
    clock.now += 5;
    if (clock.now >= eventAt) {
      for (const place of places) paths.recordProgress(place);
      eventAt += gap;
    }
    if (clock.now % 20 === 0) stalls += paths.listStalled().length;
  }
  return stalls;
}

function reserve({paths}: Table, path: PathReservation['path'], count: number) {
  return Array.from({length: count}, () => paths.reserve(path, 10, stream));
}

/** Starts streams on a path, each with its first event. */
function startStreams(table: Table, id: string, count: number) {
  const places = reserve(table, table.findPath(id), count);
  for (const place of places) table.paths.recordProgress(place);
  return places;
}

/** Counts how many of 50 requests would get a path. */
function countPicks(table: Table, id: string): number {
  let count = 0;
  for (let i = 0; i < 50; i += 1) {
    if (table.pick().parts[0]!.endpoint.id === id) count += 1;
  }
  return count;
}

// Paths of l4 were probed all day after 80 ms of silence.
test('a sound path whose events are 100 ms apart is not probed', () => {
  const table = makeTable(20);
  const places = startStreams(table, 'a0', 3);
  assert.equal(runStreams(table, places, 110, 3300), 0);
  assert.ok(runStreams(table, places, 5000, 250) > 0);
  const plain = makeTable(20, false);
  const others = startStreams(plain, 'a0', 3);
  assert.ok(runStreams(plain, others, 110, 3300) > 20);
});

test('a path of stride 2 is probed after 80 ms of silence, as without figures', () => {
  for (const isPredicted of [true, false]) {
    const table = makeTable(15, isPredicted, 2);
    startStreams(table, 'a0', 3);
    let silent = 0;
    do {
      silent += 20;
      table.clock.now += 20;
    } while (table.paths.listStalled().length === 0);
    assert.equal(silent, 100);
  }
});

test('the stall of a fast path is found after 60 ms', () => {
  const table = makeTable(2);
  const {clock, paths} = table;
  startStreams(table, 'a0', 3);
  for (const count of [0, 0, 1]) {
    clock.now += 20;
    assert.equal(paths.listStalled().length, count);
  }
});

// Timers run before the events that came meanwhile are read.
test('a check that comes late finds no stall of a fast path', () => {
  const table = makeTable(2);
  const {clock, paths} = table;
  startStreams(table, 'a0', 3);
  paths.listStalled();
  clock.now += 70;
  assert.equal(paths.listStalled().length, 0);
  clock.now += 20;
  assert.equal(paths.listStalled().length, 1);
});

test('a slow path whose endpoints answer is probed every 400 ms at most', () => {
  const table = makeTable(2);
  const {clock, paths} = table;
  const places = startStreams(table, 'a0', 3);
  const path = table.findPath('a0');
  let probed = 0;
  for (let passed = 0; passed < 4000; passed += 20) {
    clock.now += 20;
    if (passed % 600 === 0) paths.recordProgress(places[0]!);
    if (paths.listStalled().length === 0) continue;
    probed += 1;
    paths.recordAnswers(path, 13);
  }
  assert.ok(probed > 0 && probed <= 10, `${probed}`);
});

test('a path slowed 12 times gets no new streams until it is fast again', () => {
  const table = makeTable(4);
  const places = startStreams(table, 'a0', 3);
  runStreams(table, places, 20, 500);
  assert.ok(countPicks(table, 'a0') > 0);
  runStreams(table, places, 240, 1000);
  assert.equal(countPicks(table, 'a0'), 0);
  runStreams(table, places, 20, 2500);
  assert.ok(countPicks(table, 'a0') > 0);
  const logged = table.lines.filter(
    line => line === GatewayEvent.PathSlow || line === GatewayEvent.PathUsual,
  );
  assert.deepEqual(logged, [GatewayEvent.PathSlow, GatewayEvent.PathUsual]);
});

test('a slowed path that no stream uses is tried again within 5 s', () => {
  const table = makeTable(4);
  const places = startStreams(table, 'a0', 3);
  runStreams(table, places, 240, 1500);
  for (const place of places) table.paths.release(place);
  assert.equal(countPicks(table, 'a0'), 0);
  runStreams(table, [], 1000, 5500);
  assert.ok(countPicks(table, 'a0') > 0);
});

// All requests of a VM would go there at once when the slowness has decayed.
test('a slowed path is tried with one stream until its events tell', () => {
  const table = makeTable(4);
  const places = startStreams(table, 'a0', 3);
  runStreams(table, places, 240, 1500);
  for (const place of places) table.paths.release(place);
  runStreams(table, [], 1000, 5500);
  const [trial] = reserve(table, table.findPath('a0'), 1);
  assert.equal(countPicks(table, 'a0'), 0);
  table.paths.recordProgress(trial!);
  runStreams(table, [trial!], 20, 1500);
  assert.ok(countPicks(table, 'a0') > 0);
});

test('a process that freezes distrusts the gaps that it measured', () => {
  const table = makeTable(4);
  const {clock, paths} = table;
  const places = startStreams(table, 'a0', 3);
  runStreams(table, places, 20, 500);
  for (let i = 0; i < 5; i += 1) {
    clock.now += 900;
    paths.listStalled();
    for (const place of places) paths.recordProgress(place);
    runStreams(table, places, 20, 100);
  }
  assert.ok(countPicks(table, 'a0') > 0);
});

test('the pace that an endpoint reports counts until the path has events', () => {
  const table = makeTable(4);
  const {clock, endpoints} = table;
  endpoints.find('a0')!.pace = {pace: 12, at: clock.now};
  assert.equal(countPicks(table, 'a0'), 0);
  clock.now += 1000;
  const places = startStreams(table, 'a0', 3);
  runStreams(table, places, 20, 500);
  assert.ok(countPicks(table, 'a0') > 0);
});

test('events that arrive together are counted one by one', () => {
  const count = (text: string) => countEvents(Buffer.from(text));
  assert.equal(count('id: 1\ndata: a\n\n'), 1);
  assert.equal(count('data: a\n\ndata: b\n\ndata: c\n\n'), 3);
  assert.equal(count(''), 1);
});
