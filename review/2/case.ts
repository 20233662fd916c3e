import http from 'node:http';
import process from 'node:process';
import {
  AfterBytes,
  OddEndpoint,
} from '../../platform/stand_ins/odd_endpoint.js';
import {
  formatChunk,
  formatEvents,
} from '../../platform/stand_ins/odd_streams.js';
import {Deployment, routeHost, tenantKey} from '../lib/deployment.js';
import {hasTrouble, runCase, wait} from '../lib/run_case.js';

const gateways = 3;
const workers = 4;
/** The workers that are faulty for some time, and how long. */
const faultyWorkers = 2;
const faultyFrom = 3000;
const faultyMilliseconds = 5000;
/** One in so many answers of a faulty worker is spoiled. */
const spoiledOneIn = 40;
const runMilliseconds = 11_000;
const paceMilliseconds = 20;
const events = 20;
const deadlineMilliseconds = 20_001;

const deployment = new Deployment({
  gateways,
  modelServices: ['lens-assist'],
  routes: [
    {
      ...{name: 'renewal-letter', kind: 'streaming', service: 'lens-assist'},
      ...{timeoutMs: 20_000, targetLatencyMs: 500, attempts: 2},
      resumable: true,
    },
  ],
});

/** What a client got. */
interface Received {
  readonly status: number;
  readonly seal: string | undefined;
  readonly attemptId: string | undefined;
  readonly bytes: number;
  readonly isComplete: boolean;
}

let startedAt = Infinity;
let faultyAnswers = 0;

function isSpoiled(worker: number): boolean {
  const age = Date.now() - startedAt;
  const isFaulty =
    hasTrouble &&
    worker < faultyWorkers &&
    age >= faultyFrom &&
    age < faultyFrom + faultyMilliseconds;
  if (!isFaulty) return false;
  faultyAnswers += 1;
  return faultyAnswers % spoiledOneIn === 0;
}

/** Formats an answer whose head has a line that is none. */
function formatSpoiled(id: string): string {
  const head = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${id}`,
    'Server Load: 0.31',
    `Response-Seal: seal-${id}`,
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  const body = formatChunk(formatEvents(1, events));
  return `${head.join('\r\n')}\r\n\r\n${body}0\r\n\r\n`;
}

async function startWorkers(): Promise<OddEndpoint[]> {
  const started: OddEndpoint[] = [];
  for (let i = 0; i < workers; i += 1) {
    const worker = new OddEndpoint(
      `i-7f3a91c${i}`,
      'lens-assist',
      'akl-a',
      'card',
    );
    worker.events = events;
    worker.handleChange = () => {
      deployment.writeWorker(worker.id, worker.describe());
    };
    worker.makeOddAnswer = (id, lastEventId = 'none') => {
      const spoiled = isSpoiled(i);
      const shown = spoiled
        ? '; it answers with the line "Server Load: 0.31"'
        : '';
      deployment.record(
        `worker ${i} runs ${id} after event ${lastEventId}${shown}`,
      );
      if (!spoiled) return undefined;
      return {bytes: formatSpoiled(id), after: AfterBytes.Ends};
    };
    await worker.start();
    worker.handleChange();
    started.push(worker);
  }
  return started;
}

/** Sends a request on a channel of its own. */
function send(host: string, id: string): Promise<Received | undefined> {
  deployment.record(`client sends ${id} to ${host}`);
  return new Promise(resolve => {
    const request = http.request({
      ...{host, port: 8227, path: `/renewal-letter/${id}`, agent: false},
      method: 'POST',
      headers: {
        Host: routeHost,
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMilliseconds),
        Authorization: `Bearer ${tenantKey}`,
        Model: 'm',
        'Token-Counts': '20,20',
        'Prompt-Prefix': `5c1e07a2:10,${id}:10`,
      },
    });
    request.on('error', () => resolve(undefined));
    request.on('response', response => {
      let bytes = 0;
      response.on('data', (chunk: Buffer) => (bytes += chunk.length));
      response.on('error', () => undefined);
      response.on('close', () => {
        const {headers, statusCode: status = 0, complete} = response;
        resolve({
          status,
          seal: headers['response-seal'] as string | undefined,
          attemptId: headers['attempt-id'] as string | undefined,
          bytes,
          isComplete: complete,
        });
      });
    });
    request.end('{"letter":"renewal"}');
  });
}

/** Tells whether a client got a success without the worker's seal. */
function isUnsealed(received: Received | undefined): boolean {
  if (received === undefined) return false;
  const isSuccess = received.status >= 200 && received.status < 300;
  return isSuccess && received.seal === undefined;
}

async function sendAndRecord(
  host: string,
  id: string,
): Promise<Received | undefined> {
  const received = await send(host, id);
  const {status, seal = 'none', attemptId = 'none', bytes} = received ?? {};
  const end =
    received?.isComplete === true ? 'a regular end' : 'no regular end';
  deployment.record(
    `client has for ${id}: status ${status}, seal ${seal}, id ${attemptId}, ` +
      `${bytes} bytes, ${end}${isUnsealed(received) ? ': MIXED' : ''}`,
  );
  return received;
}

async function run(): Promise<boolean> {
  const started = await startWorkers();
  await deployment.waitUntilReady();
  // The workers load their layers first.
  await wait(6000);
  startedAt = Date.now();
  const results: Promise<Received | undefined>[] = [];
  for (let i = 0; Date.now() - startedAt < runMilliseconds; i += 1) {
    const {host} = deployment.gateways[i % gateways]!;
    results.push(sendAndRecord(host, `9c41d07be2a3${10_000 + i}`));
    await wait(paceMilliseconds);
  }
  const received = await Promise.all(results);
  for (const worker of started) worker.close();
  const sealed = received.filter(one => one?.seal !== undefined).length;
  const unsealed = received.filter(isUnsealed).length;
  deployment.record(
    `${sealed} of ${received.length} requests had an answer with a seal; ` +
      `${unsealed} had a success without one`,
  );
  if (sealed < received.length / 2) throw new Error('too few were served');
  return unsealed > 0;
}

void runCase(deployment, process.argv[2]!, run);
