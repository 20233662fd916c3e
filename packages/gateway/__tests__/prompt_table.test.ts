import assert from 'node:assert/strict';
import {test} from 'node:test';
import {choosePromptPath, type StagePath} from '@zinniaspindle/decisions';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {PathTable} from '../src/fleet/path_table.js';
import {PromptTable} from '../src/fleet/prompt_table.js';
import {Metrics} from '../src/log/metrics.js';
import type {ServiceModel} from '../src/ports/index.js';
import {makeEntry} from './make_entry.js';

const plainModel: ServiceModel = {
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
const model: ServiceModel = {
  ...plainModel,
  promptCache: {tokens: 20_000, ttlMilliseconds: 10_000},
};

/** Adds the entries of two endpoints that hold two layers each. */
function addPath(endpoints: EndpointTable, dataCentre: string, bornAt = 1) {
  for (const first of [0, 2]) {
    const entry = makeEntry({
      id: `${dataCentre}${first}`,
      address: `${dataCentre}.${first}:80`,
      dataCentre,
      held: {first, end: first + 2},
      bornAt,
    });
    endpoints.applyEntry(entry);
  }
}

function makeTable(dataCentres: readonly string[] = ['a', 'b']) {
  const clock = {now: 100_000};
  const getNow = () => clock.now;
  const write = () => undefined;
  const endpoints = new EndpointTable(write, getNow);
  for (const dataCentre of dataCentres) addPath(endpoints, dataCentre);
  const loads = new LoadTracker();
  const paths = new PathTable(endpoints, 'a', loads, write, getNow);
  const metrics = new Metrics();
  const prompts = new PromptTable(endpoints, loads, metrics, getNow);
  const path = paths.list('letters', model)[0]!;
  return {clock, endpoints, loads, metrics, path, paths, prompts};
}

function makeRequest(...ids: readonly string[]) {
  const segments = ids.map(id => ({id, tokens: 400}));
  return {
    promptTokens: ids.length * 400,
    readPromptSegments: () => ({model: '', segments}),
  };
}

/** Runs a stream on a path up to its first event. */
function runStream(prompts: PromptTable, path: StagePath, ...ids: string[]) {
  const use = prompts.open('letters', model, makeRequest(...ids))!;
  use.recordSend(path).recordFirstEvent();
}

function countSaved(prompts: PromptTable, path: StagePath, ...ids: string[]) {
  const use = prompts.open('letters', model, makeRequest(...ids))!;
  return use.countSaved(path);
}

function readCounters(metrics: Metrics): string[] {
  const lines = metrics.render().split('\n');
  return lines.filter(line => line.includes('_prompt'));
}

test('a stream that began proves what its path holds, a send does not', () => {
  const {paths, prompts, path, metrics} = makeTable();
  const use = prompts.open('letters', model, makeRequest('a', 'b'))!;
  const send = use.recordSend(path);
  assert.equal(countSaved(prompts, path, 'a', 'b'), 0);
  send.recordFirstEvent();
  assert.equal(countSaved(prompts, path, 'a', 'c'), 400);
  assert.equal(countSaved(prompts, path, 'a', 'b'), 799);
  const other = paths.list('letters', model)[1]!;
  assert.equal(countSaved(prompts, other, 'a', 'b'), 0);
  runStream(prompts, path, 'a', 'c');
  assert.deepEqual(readCounters(metrics), [
    'zinniaspindle_gateway_prompts_held_total 1',
    'zinniaspindle_gateway_prompt_tokens_saved_total 400',
  ]);
});

test('an endpoint that restarts holds nothing', () => {
  const {endpoints, prompts, path, clock} = makeTable();
  runStream(prompts, path, 'a', 'b');
  const last = path.parts.at(-1)!.endpoint.id;
  const {held} = endpoints.find(last)!;
  clock.now += 1;
  const restarted = {id: last, bornAt: 2, held, orderCount: 0};
  endpoints.applyReport(restarted);
  assert.equal(countSaved(prompts, path, 'a', 'b'), 0);
  assert.equal(prompts.countPaths(), 0);
});

test('an endpoint that restarts before the first event holds nothing', () => {
  const {endpoints, prompts, path} = makeTable();
  const use = prompts.open('letters', model, makeRequest('a', 'b'))!;
  const send = use.recordSend(path);
  const {id} = path.parts[0]!.endpoint;
  const {held} = endpoints.find(id)!;
  endpoints.applyReport({id, bornAt: 2, held, orderCount: 0});
  send.recordFirstEvent();
  assert.equal(countSaved(prompts, path, 'a', 'b'), 0);
});

test('an endpoint that had other layers in between holds nothing', () => {
  const {endpoints, prompts, path} = makeTable();
  runStream(prompts, path, 'a', 'b');
  const {id} = path.parts[0]!.endpoint;
  const {held} = endpoints.find(id)!;
  // Two orders between two reports: the second restores the range.
  endpoints.applyReport({id, bornAt: 1, held, orderCount: 2});
  assert.equal(countSaved(prompts, path, 'a', 'b'), 0);
});

test('a removed endpoint holds nothing, and neither does its successor', () => {
  const {clock, endpoints, prompts, path} = makeTable();
  runStream(prompts, path, 'a');
  const {id} = path.parts[0]!.endpoint;
  endpoints.removeEntry(id, clock.now);
  const use = prompts.open('letters', model, makeRequest('a'))!;
  assert.equal(use.countSaved(path), 0);
  use.recordSend(path).recordFirstEvent();
  assert.equal(use.countSaved(path), 0);
});

test('requests that fill the memory of a path clear what it holds', () => {
  const {loads, prompts, path} = makeTable();
  runStream(prompts, path, 'a');
  const tokens = Math.ceil(path.capacityTokens * 0.86);
  loads.addOwn(path, 1, tokens);
  assert.equal(countSaved(prompts, path, 'a'), 0);
  loads.addOwn(path, -1, -tokens);
  assert.equal(countSaved(prompts, path, 'a'), 0);
});

test('requests that leave little memory evict the least recently used', () => {
  const {clock, loads, prompts, path} = makeTable();
  for (let i = 0; i < 40; i += 1) {
    runStream(prompts, path, `p${i}`);
    clock.now += 1;
  }
  assert.equal(countSaved(prompts, path, 'p0'), 399);
  const free = path.capacityTokens * 0.25;
  loads.addOwn(path, 1, path.capacityTokens - free);
  const kept = Math.floor(free / 400);
  assert.ok(kept > 1 && kept < 40, String(kept));
  assert.equal(countSaved(prompts, path, `p${39 - kept}`), 0);
  assert.equal(countSaved(prompts, path, `p${40 - kept}`), 399);
});

test('an unused prefix expires', () => {
  const {clock, prompts, path} = makeTable();
  runStream(prompts, path, 'a');
  clock.now += 9999;
  assert.equal(countSaved(prompts, path, 'a'), 399);
  clock.now += 1;
  assert.equal(countSaved(prompts, path, 'a'), 0);
});

test('a clock that is set back makes nothing held for longer', () => {
  const {clock, prompts, path} = makeTable();
  runStream(prompts, path, 'a');
  clock.now -= 50_000;
  assert.equal(countSaved(prompts, path, 'a'), 0);
});

test('paths beyond the bound are dropped, the least recently used first', () => {
  const names = Array.from({length: 70}, (_, index) => `dc${index}-`);
  const {paths, prompts, endpoints} = makeTable(names);
  const listed = paths.list('letters', model);
  assert.ok(listed.length >= 70, String(listed.length));
  assert.equal(endpoints.count(), 140);
  for (const path of listed.slice(0, 70)) runStream(prompts, path, 'a');
  assert.equal(prompts.countPaths(), 64);
  assert.equal(countSaved(prompts, listed[5]!, 'a'), 0);
  assert.equal(countSaved(prompts, listed[6]!, 'a'), 399);
});

test('a deployment without a prompt cache does no work', () => {
  const {metrics, prompts} = makeTable();
  const request = {
    promptTokens: 400,
    readPromptSegments: () => assert.fail('segments are read'),
  };
  assert.equal(prompts.open('letters', plainModel, request), undefined);
  assert.equal(prompts.countPaths(), 0);
  for (const line of readCounters(metrics)) assert.match(line, / 0$/);
});

test('requests without usable segments are as those without a prompt cache', () => {
  const {prompts} = makeTable();
  const open = (request: Parameters<PromptTable['open']>[2]) =>
    prompts.open('letters', model, request);
  assert.equal(open({promptTokens: 400}), undefined);
  assert.equal(open(makeRequest()), undefined);
  assert.equal(open(makeRequest('')), undefined);
  assert.equal(open({...makeRequest('a'), promptTokens: 0}), undefined);
});

test('one popular prefix over many requests does not overload its first path', () => {
  const {clock, paths, prompts, metrics} = makeTable(['a', 'b', 'c', 'd']);
  const listed = paths.list('letters', model).slice(0, 4);
  const streams = new Map(listed.map(path => [path, 0]));
  const sent = new Map(listed.map(path => [path, 0]));
  const ends: Array<{at: number; path: StagePath}> = [];
  let most = 0;
  // 80 streams at a time; 400 held tokens save 40 ms, the wait of 10 streams.
  for (let i = 0; i < 2000; i += 1) {
    clock.now += 5;
    while (ends.length > 0 && ends[0]!.at <= clock.now) {
      const {path} = ends.shift()!;
      streams.set(path, streams.get(path)! - 1);
    }
    const request = makeRequest('popular', `own${i}`);
    const use = prompts.open('letters', model, request)!;
    const candidates = listed.map(path => ({
      path,
      waitMilliseconds: streams.get(path)! * 4,
      prefillMillisecondsPerToken: 0.1,
      heldTokens: use.countSaved(path),
    }));
    const {path} = choosePromptPath(candidates, request.promptTokens)!;
    use.recordSend(path).recordFirstEvent();
    streams.set(path, streams.get(path)! + 1);
    sent.set(path, sent.get(path)! + 1);
    most = Math.max(most, streams.get(path)!);
    ends.push({at: clock.now + 400, path});
  }
  assert.equal(listed.length, 4);
  assert.ok(most <= 20 + 10, `${most} streams on a path`);
  for (const count of sent.values()) {
    assert.ok(count >= 250, [...sent.values()].join(' '));
  }
  assert.match(readCounters(metrics)[0]!, / 199[0-9]$/);
});
