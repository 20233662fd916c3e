import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
import {
  type EndpointObject,
  ObjectKind,
  StreamEventKind,
  toId,
  type GenerationParameters,
  type StreamEvent,
  type StreamRequest,
} from '@zinniaspindle/shared';
import {
  computeExpectedTokens,
  defaultFleetShape,
  type EngineReport,
  type Fleet,
  sendControl,
  sendJson,
  startFleet,
} from '../src/index.js';

const generation: GenerationParameters = {
  prompt: 'Write a renewal letter. '.repeat(30),
  maxTokens: 5,
  sampling: {temperature: 0.2},
};

function makeStream(fleet: Fleet, attempt: number): StreamRequest {
  const endpoints = fleet.objects.filter(
    (object): object is EndpointObject => object.kind === ObjectKind.Endpoint,
  );
  return {
    request: toId('r1'),
    attempt,
    model: defaultFleetShape.model,
    generation,
    given: [],
    priority: 0,
    deadline: Date.now() + 10_000,
    chain: endpoints
      .slice(0, 3)
      .map(({name, address, layers}) => ({endpoint: name, address, layers})),
  };
}

async function readStream(stream: StreamRequest): Promise<StreamEvent[]> {
  const reply = await new Promise<string>((resolve, reject) => {
    const [host, port] = stream.chain.at(-1)!.address.split(':');
    const options = {host, port, method: 'POST', path: '/v1/streams'};
    const request = http.request(options, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('end', () => resolve(text));
      response.on('error', reject);
    });
    request.on('error', reject);
    request.end(JSON.stringify(stream));
  });
  const lines = reply.split('\n').filter(line => line !== '');
  return lines.map(line => JSON.parse(line) as StreamEvent);
}

function listTexts(events: readonly StreamEvent[]): string[] {
  const texts: string[] = [];
  for (const event of events) {
    if (event.kind === StreamEventKind.Token) texts.push(event.text);
  }
  return texts;
}

test('a chain streams the expected tokens with the receipts of all stages', async () => {
  const fleet = await startFleet();
  try {
    const stream = makeStream(fleet, 1);
    const events = await readStream(stream);
    const expected = computeExpectedTokens(generation, 24);
    assert.deepEqual(listTexts(events), expected);
    assert.equal(events.at(-1)!.kind, StreamEventKind.End);
    const first = events[0]!;
    assert.ok(first.kind === StreamEventKind.Token);
    const ranges = first.receipts.map(({layers}) => layers);
    assert.deepEqual(ranges, [
      {first: 0, end: 8},
      {first: 8, end: 16},
      {first: 16, end: 24},
    ]);
    const given = expected.slice(0, 3);
    const resumed = await readStream({...stream, attempt: 2, given});
    assert.deepEqual(listTexts(resumed), expected.slice(3));
    const late = await readStream(stream);
    assert.match(JSON.stringify(late), /oldAttempt/);
  } finally {
    await fleet.stop();
  }
});

test('a skipped layer gives another text and shows in the receipts', async () => {
  const fleet = await startFleet();
  try {
    const stream = makeStream(fleet, 1);
    await sendControl(stream.chain[1]!.address, {skipLayerAt: 2});
    const events = await readStream(stream);
    const expected = computeExpectedTokens(generation, 24);
    const texts = listTexts(events);
    assert.notEqual(texts[2], expected[2]);
    assert.equal(texts[3], expected[3]);
    const third = events[2]!;
    assert.ok(third.kind === StreamEventKind.Token);
    assert.deepEqual(third.receipts[1]!.layers, {first: 8, end: 15});
  } finally {
    await fleet.stop();
  }
});

test('a crashed stage ends the stream and names the stage', async () => {
  const fleet = await startFleet();
  try {
    const stream = makeStream(fleet, 1);
    await sendControl(stream.chain[1]!.address, {crash: true}).catch(() => 0);
    const [event] = await readStream(stream);
    assert.ok(event?.kind === StreamEventKind.Failed);
    assert.equal(event.reason, 'stageLost');
    assert.equal(event.endpoint, 'e2');
    const {address} = stream.chain[0]!;
    const reply = await sendJson({address, method: 'GET', path: '/control'});
    const [attempt] = (reply.body as EngineReport).attempts;
    assert.deepEqual(attempt!.steps, [1]);
  } finally {
    await fleet.stop();
  }
});

test('an unknown control switch is refused and names the known ones', async () => {
  const fleet = await startFleet();
  try {
    await assert.rejects(sendControl(fleet.log, {dwon: true}), /down/);
  } finally {
    await fleet.stop();
  }
});
