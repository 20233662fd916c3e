import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {parseAddress} from '../../packages/shared/src/index.js';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {Deployment, routeHost, tenantKey} from '../lib/deployment.js';
import {hasTrouble, runCase, wait} from '../lib/run_case.js';
import {runDoor, WorkerDoor} from '../lib/worker_door.js';

const events = 30;
const eventMilliseconds = 120;
/** The worker is busy for this time; its queue of new channels gets full. */
const busyMilliseconds = 70;
const busyTimes = 2;
const streams = 10;
const paceMilliseconds = 40;
const killAfterMilliseconds = 1500;
const deadlineMilliseconds = 20_001;

const deployment = new Deployment({
  gateways: 2,
  modelServices: ['lens-assist'],
  routes: [
    {
      ...{name: 'renewal-letter', kind: 'streaming', service: 'lens-assist'},
      ...{timeoutMs: 20_000, targetLatencyMs: 500, attempts: 2},
      resumable: true,
    },
  ],
});

/** A worker whose streams have no length and end with their channel. */
class UnframedWorker extends EndpointStandIn {
  address = '';
  /** The events that it has made of each request. */
  readonly made = new Map<string, number>();

  getPort(): number {
    return parseAddress(super.getAddress()).port;
  }

  override getAddress(): string {
    return this.address;
  }

  protected override async run(
    request: http.IncomingMessage,
    attemptId: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const last = Number(request.headers['last-event-id'] ?? 0);
    deployment.record(`worker runs ${attemptId} after event ${last}`);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': attemptId,
      'Response-Seal': `seal-${attemptId}`,
      Connection: 'close',
    });
    for (let event = last + 1; event <= events; event += 1) {
      if (response.destroyed) {
        deployment.record(`worker: the channel of ${attemptId} has closed`);
        return;
      }
      response.write(`id: ${event}\ndata: word ${event}\n\n`);
      this.made.set(attemptId, event);
      await wait(eventMilliseconds);
    }
    deployment.record(`worker ends ${attemptId} after its last event`);
    response.end();
  }
}

/** What a client got. */
interface Received {
  readonly status: number;
  readonly ids: readonly number[];
  readonly isComplete: boolean;
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
        'Token-Counts': '20,30',
        'Prompt-Prefix': `5c1e07a2:10,${id}:10`,
      },
    });
    request.on('error', () => resolve(undefined));
    request.on('response', response => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('error', () => undefined);
      response.on('close', () => {
        const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, one]) =>
          Number(one),
        );
        const {statusCode: status = 0, complete: isComplete} = response;
        resolve({status, ids, isComplete});
      });
    });
    request.end('{"letter":"renewal"}');
  });
}

/** Tells whether a stream ends as complete before its last event. */
function isShort(received: Received | undefined): boolean {
  if (received === undefined) return false;
  const {status, ids, isComplete} = received;
  return status === 200 && isComplete && ids.at(-1) !== events;
}

async function sendAndRecord(
  host: string,
  id: string,
): Promise<Received | undefined> {
  const received = await send(host, id);
  const {status, ids = []} = received ?? {};
  const end =
    received?.isComplete === true ? 'a regular end' : 'no regular end';
  deployment.record(
    `client has for ${id}: status ${status}, ${ids.length} events, the last ` +
      `${ids.at(-1)} of ${events}, ${end}${isShort(received) ? ': ORDER' : ''}`,
  );
  return received;
}

/** Opens channels to a door that is busy, so that its queue gets full. */
async function fillQueue(door: WorkerDoor): Promise<void> {
  door.sendBusy(busyMilliseconds);
  await wait(5);
  const sockets = [1, 2, 3].map(() => {
    const socket = net.connect(parseAddress(door.address));
    socket.on('error', () => undefined);
    return socket;
  });
  setTimeout(() => {
    for (const socket of sockets) socket.destroy();
  }, 2 * busyMilliseconds);
  await wait(5);
}

async function run(): Promise<boolean> {
  const worker = new UnframedWorker(
    'i-7f3a91c2',
    'lens-assist',
    'akl-a',
    'card',
  );
  await worker.start();
  const door = await WorkerDoor.open(worker.getPort());
  worker.address = door.address;
  worker.handleChange = () => {
    deployment.writeWorker(worker.id, worker.describe());
  };
  worker.handleChange();
  await deployment.waitUntilReady();
  await wait(6000);
  const [first, second] = deployment.gateways;
  const results: Promise<Received | undefined>[] = [];
  for (let i = 0; i < busyTimes; i += 1) {
    await fillQueue(door);
    results.push(sendAndRecord(first!.host, `9c41d07be2a3${9000 + i}`));
    await wait(250);
  }
  for (let i = 0; i < streams; i += 1) {
    results.push(sendAndRecord(first!.host, `9c41d07be2a3${1000 + i}`));
    await wait(paceMilliseconds);
  }
  await wait(killAfterMilliseconds);
  if (hasTrouble) {
    deployment.record(`SIGKILL of the gateway at ${second!.host}`);
    await second!.stop();
    await wait(500);
    second!.start();
  }
  const received = await Promise.all(results);
  door.close();
  worker.close();
  const whole = received.filter(one => one?.ids.at(-1) === events).length;
  const short = received.filter(isShort).length;
  deployment.record(
    `${whole} of ${received.length} streams came to their last event; ` +
      `${short} ended as complete before it`,
  );
  return short > 0;
}

if (!runDoor()) void runCase(deployment, process.argv[2]!, run);
