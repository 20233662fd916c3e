import http from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';
import {Deployment, routeHost, tenantKey} from '../lib/deployment.js';
import {RawWorker, type WorkerRequest} from '../lib/raw_worker.js';
import {hasTrouble, runCase, wait} from '../lib/run_case.js';

const gateways = 3;
const workers = 6;
const streams = 24;
const events = 30;
const eventMilliseconds = 100;
const crashAfterMilliseconds = 1500;
const deadlineMilliseconds = 20_001;

const deployment = new Deployment({
  gateways,
  routes: [
    {
      ...{name: 'reorder-note', kind: 'streaming', service: 'notes'},
      ...{timeoutMs: 20_000, targetLatencyMs: 500, attempts: 2},
      resumable: true,
    },
  ],
});

/** The streams that run at each worker, with the next event of each. */
const running = new Map<number, Map<Socket, number>>();

function formatEvent(event: number): string {
  return `id: ${event}\ndata: word ${event}\n\n`;
}

/** Streams the events, without a length; the channel ends after the last. */
async function answer(
  worker: number,
  {id, socket}: WorkerRequest,
): Promise<void> {
  deployment.record(`worker ${worker} runs ${id}`);
  const head = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${id}`,
    `Response-Seal: seal-${id}`,
    'Content-Type: text/event-stream',
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  const own = running.get(worker) ?? new Map<Socket, number>();
  running.set(worker, own);
  for (let event = 1; event <= events; event += 1) {
    if (socket.destroyed) return;
    socket.write(formatEvent(event));
    own.set(socket, event + 1);
    await wait(eventMilliseconds);
  }
  own.delete(socket);
  deployment.record(`worker ${worker} ends ${id} after its last event`);
  socket.end();
}

/** Ends a worker in the middle of the next event of each of its streams. */
function crash(worker: number, server: RawWorker): void {
  const own = running.get(worker) ?? new Map<Socket, number>();
  deployment.record(`worker ${worker} crashes under ${own.size} streams`);
  for (const [socket, event] of own) {
    const text = formatEvent(event);
    socket.write(text.slice(0, text.length / 2));
  }
  setTimeout(() => server.close(), 5);
}

/** What a client got. */
interface Received {
  readonly text: string;
  readonly isComplete: boolean;
}

/** Sends a request on a channel of its own. */
function send(host: string, id: string): Promise<Received> {
  deployment.record(`client sends ${id} to ${host}`);
  return new Promise(resolve => {
    const request = http.request({
      ...{host, port: 8227, path: '/reorder-note/x', agent: false},
      method: 'POST',
      headers: {
        Host: routeHost,
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMilliseconds),
        Authorization: `Bearer ${tenantKey}`,
      },
    });
    request.on('error', () => resolve({text: '', isComplete: false}));
    request.on('response', response => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('error', () => undefined);
      response.on('close', () => {
        const isComplete = response.complete && response.statusCode === 200;
        resolve({text, isComplete});
      });
    });
    request.end('{"note":"reorder"}');
  });
}

function isWhole({text}: Received): boolean {
  return text.endsWith(formatEvent(events));
}

/** Tells whether a stream ends as complete before its last event. */
function isShort(received: Received): boolean {
  return received.isComplete && !isWhole(received);
}

async function sendAndRecord(host: string, id: string): Promise<Received> {
  const received = await send(host, id);
  const {text, isComplete} = received;
  const rest = JSON.stringify(text.slice(text.lastIndexOf('\n\n') + 2));
  const count = text.split('\n\n').length - 1;
  const end = isComplete ? 'a regular end' : 'no regular end';
  deployment.record(
    `client has for ${id}: ${count} of ${events} events and then ${rest}, ` +
      `${end}${isShort(received) ? ': ORDER' : ''}`,
  );
  return received;
}

async function run(): Promise<boolean> {
  const servers: RawWorker[] = [];
  for (let i = 0; i < workers; i += 1) {
    const worker = new RawWorker(`i-7f3a91c${i}`, 'notes', request => {
      void answer(i, request);
    });
    await worker.start();
    deployment.writeWorker(worker.id, worker.describe());
    servers.push(worker);
  }
  await deployment.waitUntilReady();
  await wait(3000);
  const results: Promise<Received>[] = [];
  for (let i = 0; i < streams; i += 1) {
    const {host} = deployment.gateways[i % gateways]!;
    results.push(sendAndRecord(host, `9c41d07be2a3${1000 + i}`));
  }
  await wait(crashAfterMilliseconds);
  if (hasTrouble) crash(0, servers[0]!);
  const received = await Promise.all(results);
  for (const server of servers) server.close();
  const whole = received.filter(isWhole).length;
  const short = received.filter(isShort).length;
  deployment.record(
    `${whole} of ${streams} streams came to their last event; ${short} ended ` +
      'as complete inside an event',
  );
  if (whole < streams / 2) throw new Error('too few streams were served');
  return short > 0;
}

void runCase(deployment, process.argv[2]!, run);
