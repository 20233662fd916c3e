import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {after, before, test} from 'node:test';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {FinalAnswer} from '@zinniaspindle/shared';
import type {Problem} from '@zinniaspindle/shared';
import {
  computeExpectedTokens,
  operatorName,
  sendControl,
  startFleet,
} from '@zinniaspindle/stand-ins';
import type {Fleet} from '@zinniaspindle/stand-ins';
import {v7 as makeUuidV7} from 'uuid';
import {
  fetchReply,
  openCall,
  readEvents,
  readJson,
} from '../src/processes/entry_calls.js';
import {EntryFleet} from '../src/processes/entry_fleet.js';
import type {EntryProcess} from '../src/processes/entry_process.js';

const layerCount = 24;
const retentionMilliseconds = 600_000;
const signalGapMilliseconds = 300;
const firstTokenMilliseconds = 400;
const pipelinedPublishes = 3;
const settleMilliseconds = 1500;
const publishMilliseconds = 1500;
const shortAnswerTokens = 10;
const longAnswerTokens = 1024;
const widePublishes = 16;
const wideObjects = 150;
const wideLabels = 32;
const wideLabelBytes = 60;
const requestsPath = '/v1/pipelines/letters/requests';
const callerToken = 'practice-token';
const operatorToken = `${operatorName}-token`;

let fleet: Fleet;
let entries: EntryFleet;
let other: EntryProcess;
let objectCount = 0;
const lines: string[] = [];

before(async () => {
  fleet = await startFleet();
  entries = new EntryFleet({
    ...{log: fleet.log, vmList: fleet.vmList, retentionMilliseconds},
    operatorDigest: computeDigest(operatorToken),
    handleLine: line => lines.push(line),
  });
  other = await entries.start('a1', 'dc1');
  await entries.waitUntilReady(other, 0, 0);
  const changes = fleet.objects.map(object => ({
    key: {kind: object.kind, name: object.name},
    base: -1,
    object,
  }));
  await sendPublish(other, changes);
  objectCount = fleet.objects.length;
});

after(async () => {
  await entries.stop();
  await fleet.stop();
});

function computeDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function sendPublish(
  entry: EntryProcess,
  changes: unknown,
  headers: Readonly<Record<string, string>> = {},
) {
  return fetchReply({
    headers,
    ...{address: entry.address, method: 'POST', path: '/v1/publishes'},
    ...{token: operatorToken, body: {changes}},
  });
}

async function startEntry(name: string, own = {}): Promise<EntryProcess> {
  const entry = await entries.start(name, 'dc2', own);
  await entries.waitUntilReady(entry, objectCount, 1);
  return entry;
}

/** Sends two signals; the second one shortens the stop. */
async function stopTwice({child}: EntryProcess): Promise<void> {
  child.kill('SIGTERM');
  await waitMilliseconds(signalGapMilliseconds);
  child.kill('SIGTERM');
}

async function waitExit({child}: EntryProcess): Promise<void> {
  if (child.exitCode === null) await once(child, 'exit');
  assert.equal(child.exitCode, 0);
}

/** Runs with a log that takes requests and answers none. */
async function runWithoutLog(run: () => Promise<void>): Promise<void> {
  await sendControl(fleet.log, {hangs: true});
  try {
    await run();
  } finally {
    await sendControl(fleet.log, {hangs: false});
  }
}

async function setEngineDelay(delayMilliseconds: number): Promise<void> {
  for (const {name, standIn} of fleet.members) {
    if (!/^e\d+$/.test(name)) continue;
    await sendControl(standIn.address, {delayMilliseconds});
  }
}

test('a JSON request in flight at a second SIGTERM is answered', async () => {
  const entry = await startEntry('json');
  const prompt = 'Whole or told.';
  const answer = fetchReply({
    ...{address: entry.address, method: 'POST', path: requestsPath},
    ...{token: callerToken, body: {prompt, maxTokens: longAnswerTokens}},
  });
  await waitMilliseconds(firstTokenMilliseconds);
  const [{status, body}] = await Promise.all([answer, stopTwice(entry)]);
  const problem = body as Problem & {readonly text: string};
  assert.equal(status, 502);
  assert.equal(problem.answer, FinalAnswer.Partial);
  const generation = {prompt, maxTokens: longAnswerTokens, sampling: {}};
  const whole = computeExpectedTokens(
    ...([generation, layerCount, longAnswerTokens] as const),
  ).join('');
  assert.ok(problem.text.length > 0 && whole.startsWith(problem.text));
  await waitExit(entry);
});

test('a stream handed over before its first token tells its id', async () => {
  const entry = await startEntry('unborn');
  await setEngineDelay(4000);
  const opened = openCall({
    ...{address: entry.address, method: 'POST', path: requestsPath},
    ...{token: callerToken, body: {prompt: 'Go on.', maxTokens: 10}},
    headers: {accept: 'text/event-stream'},
  });
  await waitMilliseconds(firstTokenMilliseconds);
  const [response] = await Promise.all([opened, stopTwice(entry)]);
  response.on('error', () => undefined).resume();
  const id = String(response.headers['x-request-id']);
  await waitExit(entry);
  await setEngineDelay(0);
  const resumed = await openCall({
    ...{address: other.address, method: 'GET', path: `/v1/requests/${id}`},
    ...{token: callerToken, headers: {accept: 'text/event-stream'}},
  });
  assert.equal(resumed.statusCode, 200);
  let last = '';
  for await (const {event} of readEvents(resumed)) last = event;
  assert.equal(last, 'completed');
});

test('an action in flight at a second SIGTERM is answered', async () => {
  const entry = await startEntry('action');
  await runWithoutLog(async () => {
    const answer = fetchReply({
      ...{address: entry.address, method: 'POST', token: callerToken},
      path: '/v1/services/orders/actions',
      headers: {'idempotency-key': makeUuidV7()},
      body: {action: 'ship', body: {order: 1}},
    });
    await waitMilliseconds(firstTokenMilliseconds);
    const [{status, body}] = await Promise.all([answer, stopTwice(entry)]);
    assert.equal(status, 503);
    assert.equal((body as Problem).answer, FinalAnswer.NotRun);
    await waitExit(entry);
  });
});

test('a publish that waits for the log is answered before the exit', async () => {
  const entry = await startEntry('publish');
  await runWithoutLog(async () => {
    const object = fleet.objects[0]!;
    const key = {kind: object.kind, name: object.name};
    const deadline = Date.now() + publishMilliseconds;
    const answer = sendPublish(entry, [{key, base: 0, object}], {
      'x-deadline': String(deadline),
    });
    await waitMilliseconds(firstTokenMilliseconds);
    const [{body}] = await Promise.all([answer, stopTwice(entry)]);
    assert.ok(['notAccepted', 'unknown'].includes((body as Problem).answer));
    await waitExit(entry);
  });
});

test('a publish that outlasts the stop is told that its outcome is unknown', async () => {
  const entry = await startEntry('outlasts');
  await runWithoutLog(async () => {
    const object = fleet.objects[0]!;
    const key = {kind: object.kind, name: object.name};
    const answer = sendPublish(entry, [{key, base: 0, object}]);
    await waitMilliseconds(firstTokenMilliseconds);
    const [{status, body}] = await Promise.all([answer, stopTwice(entry)]);
    assert.equal(status, 504);
    assert.equal((body as Problem).answer, FinalAnswer.OutcomeUnknown);
    await waitExit(entry);
  });
});

test('a kept connection ends with its first answer after SIGTERM', async () => {
  const entry = await startEntry('kept');
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const readConnection = async () => {
    const url = `http://${entry.address}/v1/status`;
    const request = http.get(url, {agent});
    const [response] = (await once(request, 'response')) as [
      http.IncomingMessage,
    ];
    await readJson(response);
    return response.headers.connection;
  };
  assert.equal(await readConnection(), 'keep-alive');
  entry.child.kill('SIGTERM');
  await waitMilliseconds(signalGapMilliseconds);
  assert.equal(await readConnection(), 'close');
  await stopTwice(entry);
  await waitExit(entry);
  agent.destroy();
});

test('an idle connection is closed by the exit, not reset', async () => {
  const entry = await startEntry('idle');
  const [host, port] = entry.address.split(':');
  const socket = net.connect(Number(port), host);
  await once(socket, 'connect');
  socket.resume();
  const closed = once(socket, 'close');
  await stopTwice(entry);
  assert.deepEqual(await closed, [false]);
  await waitExit(entry);
});

test('a VM that stops runs no pipelined publish that it cannot answer', async () => {
  const entry = await startEntry('pipelined');
  entry.child.kill('SIGTERM');
  await waitMilliseconds(signalGapMilliseconds);
  const [host, port] = entry.address.split(':');
  const socket = net.connect(Number(port), host);
  for (let number = 0; number < pipelinedPublishes; number += 1) {
    const changes = makeWideChanges('pipelined', number, 1);
    const body = JSON.stringify({changes});
    const lines = [
      'POST /v1/publishes HTTP/1.1',
      `host: ${host}`,
      `authorization: Bearer ${operatorToken}`,
      `content-length: ${body.length}`,
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }
  const text = await readText(socket);
  await waitMilliseconds(settleMilliseconds);
  const answered = text.split('HTTP/1.1 200').length - 1;
  await stopTwice(entry);
  await waitExit(entry);
  const {body} = await fetchReply({
    ...{address: other.address, method: 'GET', path: '/v1/objects'},
    token: operatorToken,
  });
  const {objects} = body as {objects: unknown[]};
  assert.ok(answered > 0);
  assert.equal(objects.length - objectCount, answered);
  objectCount = objects.length;
});

/** Makes accounts with as many labels as they may have. */
function makeWideChanges(prefix: string, publish: number, count: number) {
  const labels: Record<string, string> = {};
  for (let number = 0; number < wideLabels; number += 1) {
    const key = `${'k'.repeat(wideLabelBytes - 2)}${number}`;
    labels[key] = 'v'.repeat(wideLabelBytes);
  }
  const changes = [];
  for (let number = 0; number < count; number += 1) {
    const {object} = fleet.accounts[1]!;
    const name = `${prefix}-${publish}-${number}`;
    const tokenDigests = [computeDigest(name)];
    const key = {kind: object.kind, name};
    const wide = {...object, name, labels, tokenDigests};
    changes.push({key, base: -1, object: wide});
  }
  return changes;
}

test('an answer to a slow reader is whole after a second SIGTERM', async () => {
  const entry = await startEntry('slow');
  for (let publish = 0; publish < widePublishes; publish += 1) {
    const {body} = await sendPublish(
      other,
      makeWideChanges('wide', publish, wideObjects),
    );
    const {answer} = body as {answer: string};
    assert.equal(answer, 'accepted', JSON.stringify(body).slice(0, 300));
  }
  objectCount += widePublishes * wideObjects;
  await entries.waitUntilReady(entry, objectCount, 1);
  const response = await openCall({
    ...{address: entry.address, method: 'GET', path: '/v1/objects'},
    token: operatorToken,
  });
  await stopTwice(entry);
  await waitMilliseconds(signalGapMilliseconds);
  const {objects} = (await readJson(response)) as {objects: unknown[]};
  assert.equal(objects.length, objectCount);
  await waitExit(entry);
});

test('a VM that hands its streams over takes none back', async () => {
  const entry = await startEntry('takes');
  const open = (method: string, path: string, accept: string, lastId = '') =>
    openCall({
      ...{address: entry.address, method, path, token: callerToken},
      headers: {accept, ...(lastId === '' ? {} : {'last-event-id': lastId})},
      ...(method === 'POST'
        ? {body: {prompt: 'Move on.', maxTokens: longAnswerTokens}}
        : {}),
    });
  const json = open('POST', requestsPath, 'application/json');
  const sse = 'text/event-stream';
  const response = await open('POST', requestsPath, sse);
  const id = String(response.headers['x-request-id']);
  let last = '';
  const broken = (async () => {
    for await (const event of readEvents(response)) last = event.id;
  })().catch(() => undefined);
  await waitMilliseconds(firstTokenMilliseconds);
  await stopTwice(entry);
  await broken;
  const path = `/v1/requests/${id}`;
  const refused = await open('GET', path, sse, last);
  assert.equal(refused.statusCode, 404);
  refused.resume();
  const {statusCode} = await json;
  assert.equal(statusCode, 502);
  await waitExit(entry);
});

test('a call that the exit cuts off has a line of its own', async () => {
  const entry = await startEntry('cut');
  const response = await openCall({
    ...{address: entry.address, method: 'GET', path: '/v1/objects'},
    token: operatorToken,
  });
  await stopTwice(entry);
  await waitExit(entry);
  response.on('error', () => undefined).destroy();
  const found = lines.filter(line => line.includes(' cut 3206 '));
  assert.equal(found.length, 1, lines.slice(-5).join('\n'));
  assert.match(found[0]!, /GET \/v1\/objects, request none, after \d+ ms, \d+/);
});

test('a queued stream is handed over and runs elsewhere', async () => {
  const entry = await startEntry('queued', {maxInFlight: 1});
  const {address} = entry;
  const post = {address, method: 'POST', path: requestsPath};
  const running = fetchReply({
    ...{...post, token: callerToken},
    body: {prompt: 'First.', maxTokens: longAnswerTokens},
  });
  await waitMilliseconds(firstTokenMilliseconds);
  const opened = openCall({
    ...{...post, token: callerToken},
    body: {prompt: 'Second.', maxTokens: shortAnswerTokens},
    headers: {accept: 'text/event-stream'},
  });
  const [response] = await Promise.all([opened, stopTwice(entry)]);
  response.on('error', () => undefined).resume();
  const id = String(response.headers['x-request-id']);
  const resumed = await openCall({
    ...{address: other.address, method: 'GET', path: `/v1/requests/${id}`},
    ...{token: callerToken, headers: {accept: 'text/event-stream'}},
  });
  let text = '';
  let last = '';
  for await (const {event, data} of readEvents(resumed)) {
    last = event;
    if (event === 'token') text += (JSON.parse(data) as {text: string}).text;
  }
  assert.equal(last, 'completed');
  const generation = {
    ...{prompt: 'Second.', maxTokens: shortAnswerTokens, sampling: {}},
  };
  const expected = computeExpectedTokens(
    ...([generation, layerCount, shortAnswerTokens] as const),
  );
  assert.equal(text, expected.join(''));
  await running;
  await waitExit(entry);
});
