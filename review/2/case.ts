import http from 'node:http';
import process from 'node:process';
import {Deployment, routeHost, tenantKey} from '../lib/deployment.js';
import {RawWorker, type WorkerRequest} from '../lib/raw_worker.js';
import {hasTrouble, runCase, wait} from '../lib/run_case.js';

const gateways = 3;
const workers = 3;
/** The workers that are faulty for some time, and how long. */
const faultyWorkers = 2;
const faultyFrom = 4000;
const faultyMilliseconds = 5000;
/** One in so many answers of a faulty worker is spoiled. */
const spoiledOneIn = 20;
const runMilliseconds = 14_000;
const paceMilliseconds = 12;
const workMilliseconds = 43;
const timeoutMilliseconds = 800;
const deadlineMilliseconds = 1500;
/** A request is late if it has no answer this long after its timeout. */
const lateMilliseconds = 500;
/** Requests that must last so long before the rule is applied. */
const minLong = 8;

const deployment = new Deployment({
  gateways,
  routes: [
    {
      ...{name: 'order-status', kind: 'safe', service: 'orders', attempts: 2},
      ...{timeoutMs: timeoutMilliseconds, targetLatencyMs: 150},
    },
    {
      ...{name: 'place-order', kind: 'unsafe', service: 'orders', attempts: 1},
      ...{timeoutMs: timeoutMilliseconds, targetLatencyMs: 150},
    },
  ],
});

/** The bytes that a faulty worker puts in place of the head of an answer. */
const spoiledHeads = [
  (id: string) => `HTTP/1.1 200 OK\r\nServer Load: 0.31\r\nAttempt-Id: ${id}`,
  (id: string) => `HTTP/1.1 000 OK\r\nAttempt-Id: ${id}`,
];

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

async function answer(
  worker: number,
  {id, method, path, socket}: WorkerRequest,
): Promise<void> {
  await wait(workMilliseconds);
  const body = `answer to ${id}\n`;
  const rest =
    `Response-Seal: seal-${id}\r\nContent-Length: ${body.length}\r\n` +
    `Connection: close\r\n\r\n${body}`;
  if (isSpoiled(worker)) {
    const spoiled = faultyAnswers / spoiledOneIn;
    const head = spoiledHeads[spoiled % spoiledHeads.length]!(id);
    const shown = JSON.stringify(head.split('\r\n').slice(0, 2));
    deployment.record(`worker ${worker} ran ${id}, and answers ${shown}`);
    socket.end(`${head}\r\n${rest}`);
    return;
  }
  deployment.record(`worker ${worker} ran ${id} (${method} ${path})`);
  socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n${rest}`);
}

/** How long a client waited, and what for. */
interface Outcome {
  readonly id: string;
  readonly status: number | undefined;
  readonly milliseconds: number;
}

/** Sends a request on a channel of its own; the client leaves at its deadline. */
function send(host: string, id: string, isOrder: boolean): Promise<Outcome> {
  const sentAt = performance.now();
  const name = isOrder ? 'place-order' : 'order-status';
  deployment.record(`client sends ${id} (${name}) to ${host}`);
  return new Promise(resolve => {
    const resolveWith = (status: number | undefined) => {
      clearTimeout(timer);
      const milliseconds = Math.round(performance.now() - sentAt);
      const shown = status === undefined ? 'no answer' : `status ${status}`;
      deployment.record(`client has ${shown} for ${id} at ${milliseconds} ms`);
      resolve({id, status, milliseconds});
    };
    const request = http.request({
      ...{host, port: 8227, path: `/${name}/${id}`, agent: false},
      method: isOrder ? 'POST' : 'GET',
      headers: {
        Host: routeHost,
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMilliseconds),
        Authorization: `Bearer ${tenantKey}`,
      },
    });
    const timer = setTimeout(() => {
      resolveWith(undefined);
      request.destroy();
    }, deadlineMilliseconds);
    request.on('error', () => undefined);
    request.on('response', response => {
      response.resume();
      response.on('close', () => resolveWith(response.statusCode));
    });
    // A channel that ends without an answer is a final answer as well.
    request.on('close', () => {
      if (request.res === undefined && !request.destroyed) resolveWith(0);
    });
    request.end(isOrder ? `{"order":"${id}"}` : undefined);
  });
}

async function run(): Promise<boolean> {
  const servers: RawWorker[] = [];
  for (let i = 0; i < workers; i += 1) {
    const worker = new RawWorker(`i-7f3a91c${i}`, 'orders', request => {
      void answer(i, request);
    });
    await worker.start();
    deployment.writeWorker(worker.id, worker.describe());
    servers.push(worker);
  }
  await deployment.waitUntilReady();
  await wait(3500);
  startedAt = Date.now();
  const results: Promise<Outcome>[] = [];
  for (let i = 0; Date.now() - startedAt < runMilliseconds; i += 1) {
    const {host} = deployment.gateways[i % gateways]!;
    results.push(send(host, `9c41d07be2a3${10_000 + i}`, i % 2 === 0));
    await wait(paceMilliseconds);
  }
  const outcomes = await Promise.all(results);
  for (const server of servers) server.close();
  const long = outcomes.filter(
    ({milliseconds}) => milliseconds >= timeoutMilliseconds,
  );
  const late = long.filter(
    ({milliseconds}) => milliseconds >= timeoutMilliseconds + lateMilliseconds,
  );
  const served = outcomes.filter(({status}) => status === 200).length;
  deployment.record(
    `${served} of ${outcomes.length} requests were served; ${long.length} were ` +
      `unanswered at the timeout of their route, and ${late.length} of these ` +
      `${lateMilliseconds} ms later`,
  );
  if (served < outcomes.length / 2) throw new Error('too few were served');
  return long.length >= minLong && late.length > long.length / 2;
}

void runCase(deployment, process.argv[2]!, run);
