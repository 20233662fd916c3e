import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FinalAnswer} from '@zinniaspindle/shared';
import type {Problem} from '@zinniaspindle/shared';
import {computeExpectedTokens, startFleet} from '@zinniaspindle/stand-ins';
import type {Fleet} from '@zinniaspindle/stand-ins';
import {v7 as makeUuidV7} from 'uuid';
import {
  CliErrorCode,
  fetchJson,
  findToken,
  openCall,
  publishFleet,
  readEvents,
  readText,
  RequestOutcomeKind,
  sendRequest,
  startEntryFleet,
  waitReady,
} from '../src/index.js';
import type {EntryCall, EntryFleet, EntryTarget} from '../src/index.js';

const startMilliseconds = 30_000;
const layerCount = 24;

let fleet: Fleet;
let entryFleet: EntryFleet;
let targets: EntryTarget[];

before(async () => {
  fleet = await startFleet();
  entryFleet = await startEntryFleet(fleet, 3);
  const {entries} = entryFleet;
  const deadline = Date.now() + startMilliseconds;
  for (const {address} of entries) await waitReady(address, 0, deadline);
  await publishFleet(fleet, entries[0]!.address);
  for (const {address} of entries) {
    await waitReady(address, fleet.objects.length, deadline);
  }
  const token = findToken(fleet, 'practice');
  targets = entries.map(({address}) => ({entry: address, token}));
});

after(async () => {
  await entryFleet.stop();
  await fleet.stop();
});

function makeExpected(prompt: string, maxTokens: number): string {
  const generation = {prompt, maxTokens, sampling: {}};
  return computeExpectedTokens(generation, layerCount, maxTokens).join('');
}

async function fetchProblem(
  target: EntryTarget,
  call: EntryCall,
): Promise<Problem> {
  const response = await openCall(target, call);
  assert.equal(
    response.headers['content-type'],
    'application/problem+json',
    `status ${response.statusCode}`,
  );
  return JSON.parse(await readText(response)) as Problem;
}

test('each caller gets the whole answer to its own request', async () => {
  const requests = [];
  for (let number = 0; number < 12; number += 1) {
    const prompt = `Draft letter ${number}.`;
    const target = targets[number % targets.length]!;
    const request = {pipeline: 'letters', prompt, maxTokens: 10 + number};
    requests.push(sendRequest(target, request, () => undefined));
  }
  for (const [number, outcome] of (await Promise.all(requests)).entries()) {
    const shown = JSON.stringify(outcome);
    assert.equal(outcome.kind, RequestOutcomeKind.Completed, shown);
    const prompt = `Draft letter ${number}.`;
    assert.equal(outcome.text, makeExpected(prompt, 10 + number));
  }
});

test('an answer comes as one JSON document too', async () => {
  const body = {prompt: 'Summarise.', maxTokens: 5};
  const path = '/v1/pipelines/letters/requests';
  const answer = (await fetchJson(targets[1]!, {
    method: 'POST',
    path,
    body,
  })) as {answer: string; text: string};
  assert.equal(answer.answer, FinalAnswer.Completed);
  assert.equal(answer.text, makeExpected('Summarise.', 5));
});

async function readPart(
  target: EntryTarget,
  call: EntryCall,
  count: number,
): Promise<{text: string; last: string; ended: string}> {
  const response = await openCall(target, call);
  const part = {text: '', last: '', ended: ''};
  let index = -1;
  for await (const event of readEvents(response)) {
    if (event.event !== 'token') {
      part.ended = event.event === 'problem' ? event.data : event.event;
      break;
    }
    const next = Number(event.id.split('-')[0]);
    if (index >= 0) assert.equal(next, index + 1);
    index = next;
    part.text += (JSON.parse(event.data) as {text: string}).text;
    part.last = event.id;
    if (index + 1 === count) break;
  }
  response.destroy();
  return part;
}

function makeStart(id: string, prompt: string, maxTokens: number): EntryCall {
  return {
    method: 'POST',
    path: '/v1/pipelines/letters/requests',
    headers: {accept: 'text/event-stream', 'x-request-id': id},
    body: {prompt, maxTokens},
  };
}

function makeResume(id: string, last: string): EntryCall {
  return {
    method: 'GET',
    path: `/v1/requests/${id}`,
    headers: {accept: 'text/event-stream', 'last-event-id': last},
  };
}

test('a caller that reconnects goes on where it stopped', async () => {
  const id = `resume-${makeUuidV7()}`;
  const target = targets[0]!;
  const start = await readPart(target, makeStart(id, 'Go on.', 40), 6);
  const rest = await readPart(target, makeResume(id, start.last), 0);
  assert.equal(rest.ended, 'completed');
  assert.equal(start.text + rest.text, makeExpected('Go on.', 40));
});

test('a caller goes on at another VM', async () => {
  const id = `move-${makeUuidV7()}`;
  const start = makeStart(id, 'Move on.', 40);
  const part = await readPart(targets[0]!, start, 6);
  const rest = await readPart(targets[1]!, makeResume(id, part.last), 0);
  assert.equal(rest.ended, 'completed');
  assert.equal(part.text + rest.text, makeExpected('Move on.', 40));
});

test('an id that names another text is refused', async () => {
  const id = `wrong-${makeUuidV7()}`;
  const start = makeStart(id, 'Not this.', 40);
  await readPart(targets[0]!, start, 6);
  const wrong = `3-${'0'.repeat(16)}`;
  const problem = await fetchProblem(targets[0]!, makeResume(id, wrong));
  assert.equal(problem.field, 'last-event-id');
});

test('an action runs once however often it is asked', async () => {
  const call: EntryCall = {
    method: 'POST',
    path: '/v1/services/orders/actions',
    headers: {'idempotency-key': makeUuidV7()},
    body: {action: 'charge', body: {cents: 100}},
  };
  const asked = targets.map(target => fetchJson(target, call));
  const answers = await Promise.all(asked);
  for (const answer of answers) assert.deepEqual(answer, answers[0]);
  const service = fleet.members.find(member => member.name === 'orders')!;
  const path = '/control';
  const report = (await fetchJson(
    {entry: service.standIn.address},
    {method: 'GET', path},
  )) as {executions: Array<{key: string; executions: number}>};
  const key = (answers[0] as {key: string}).key;
  assert.deepEqual(
    report.executions.filter(entry => entry.key === key),
    [{key, executions: 1}],
  );
});

test('wrong input is a problem that names the field', async () => {
  const path = '/v1/pipelines/letters/requests';
  const target = targets[0]!;
  const cases: Array<[EntryCall, string]> = [
    [{method: 'POST', path, body: {prompt: ''}}, 'prompt'],
    [{method: 'POST', path, body: {prompt: 'p', maxTokens: 0}}, 'maxTokens'],
    [{method: 'POST', path, body: {prompt: 'p', tokens: 3}}, 'tokens'],
    [
      {
        method: 'POST',
        path,
        body: {prompt: 'p'},
        headers: {'x-deadline': 'soon'},
      },
      'x-deadline',
    ],
    [
      {method: 'POST', path: path.replace('letters', 'none'), body: {}},
      'pipeline',
    ],
    [
      {method: 'POST', path: '/v1/services/orders/actions', body: {}},
      'idempotency-key',
    ],
  ];
  for (const [call, field] of cases) {
    const problem = await fetchProblem(target, call);
    assert.equal(problem.answer, FinalAnswer.Rejected);
    assert.equal(problem.field, field);
  }
});

test('an unknown token is refused', async () => {
  const problem = await fetchProblem(
    {entry: targets[0]!.entry, token: 'nobody'},
    {method: 'POST', path: '/v1/pipelines/letters/requests', body: {}},
  );
  assert.equal(problem.status, 401);
});

test('a stream outlives the loss of its entry VM', async () => {
  const id = `loss-${makeUuidV7()}`;
  const start = makeStart(id, 'Stay whole.', 60);
  const part = await readPart(targets[2]!, start, 10);
  entryFleet.entries[2]!.child.kill('SIGKILL');
  const rest = await readPart(targets[0]!, makeResume(id, part.last), 0);
  assert.equal(rest.ended, 'completed');
  assert.equal(part.text + rest.text, makeExpected('Stay whole.', 60));
});

test('a request goes on at another VM when its own one stops', async () => {
  const {child} = entryFleet.entries[1]!;
  const request = {pipeline: 'letters', prompt: 'Outlast.', maxTokens: 400};
  let tokens = 0;
  const outcome = await sendRequest(targets[1]!, request, () => {
    tokens += 1;
    if (tokens === 10 || tokens === 30) child.kill('SIGTERM');
  });
  assert.equal(outcome.kind, RequestOutcomeKind.Completed);
  assert.equal(outcome.text, makeExpected('Outlast.', 400));
  assert.equal(tokens, 400);
});

test('a request that no VM goes on with ends with what to do', async () => {
  const {child} = entryFleet.entries[0]!;
  const request = {pipeline: 'letters', prompt: 'Cut.', maxTokens: 400};
  const sent = sendRequest(targets[0]!, request, () => child.kill('SIGKILL'));
  await assert.rejects(sent, {code: CliErrorCode.Unknown});
});
