import type http from 'node:http';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {formatEvents} from '../../platform/stand_ins/odd_streams.js';
import {
  hasTrouble,
  makeConfiguration,
  Outcome,
  runCase,
  sendCall,
  waitFor,
  type CaseRecord,
} from '../lib_3/deployment.js';

/** Four of the 8 layers fit into a worker, beside memory for requests. */
const layerMegabytes = 300;
const sizeMegabytes = 1600;
const events = 100;
const eventMilliseconds = 60;
/** `stall_ms`: work that depends on a dead worker is cut off after this. */
const stallMilliseconds = 2500;
const streams = 5;
const beforeLeavingMilliseconds = 1000;
const pollMilliseconds = 5;
const whole = formatEvents(1, events);

/** An order as a worker got it. */
interface Order {
  readonly from: number;
  readonly target: number;
  readonly strategy: string;
}

/** A part of a path: a worker and its layers. */
interface Part {
  readonly worker: ModelWorker;
  readonly from: number;
  readonly target: number;
}

const workers: ModelWorker[] = [];

/** A worker whose streams have neither a length nor chunks. */
class ModelWorker extends EndpointStandIn {
  override isUnframed = true;

  constructor(
    id: string,
    dataCentre: string,
    private readonly record: CaseRecord,
  ) {
    super(id, 'models', dataCentre, 'card');
  }

  /** Tells whether an order cuts work on some layers at once. */
  hasCut({from, target}: Part, since: number): boolean {
    return (this.orders as Order[])
      .slice(since)
      .some(
        order =>
          order.strategy === 'truncate' &&
          (order.from > from || order.target < target),
      );
  }

  protected override async run(
    request: http.IncomingMessage,
    attemptId: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const {headers} = request;
    const hops = String(headers['hop-count']);
    const path = readPath(hops);
    const known = path.map(({worker}) => worker.orders.length);
    const from = Number(headers['last-event-id'] ?? 0) + 1;
    this.record.add(`${this.id} runs ${attemptId} from ${from} on ${hops}`);
    this.startedRequests.push(attemptId);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': attemptId,
      'Response-Seal': `seal-${this.id}`,
    });
    const isCut = () =>
      path.some((part, index) => part.worker.hasCut(part, known[index]!));
    let id = from;
    for (; id <= events && path.every(({worker}) => worker.isUp); id += 1) {
      if (response.destroyed || isCut()) break;
      response.write(formatEvents(id, id));
      await waitMilliseconds(eventMilliseconds);
    }
    const stallsUntil = performance.now() + stallMilliseconds;
    while (id <= events && !isCut() && performance.now() < stallsUntil) {
      await waitMilliseconds(pollMilliseconds);
    }
    const reason = id > events ? 'whole' : isCut() ? 'truncated' : 'stalled';
    this.record.add(`${this.id} ends ${attemptId} after ${id - 1}: ${reason}`);
    response.end();
  }
}

function readPath(hops: string): Part[] {
  return hops.split(',').map(text => {
    const [address, layers] = text.split('=');
    const [from, target] = layers!.split('-').map(Number);
    const worker = workers.find(
      one => one.isUp && one.getAddress() === address,
    );
    return {worker: worker!, from: from!, target: target!};
  });
}

void runCase('review/12', async (deployment, record) => {
  await deployment.start(
    makeConfiguration(layerMegabytes, {isResumable: false, sizeMegabytes}),
  );
  for (const dataCentre of ['dc-a', 'dc-b']) {
    for (let i = 0; i < 3; i += 1) {
      const id = `${dataCentre}-${i}`;
      const worker = new ModelWorker(id, dataCentre, record);
      workers.push(worker);
      await deployment.addWorker(worker);
    }
  }
  await deployment.addVms(2);
  const [vm] = deployment.vms;
  const send = (id: string) =>
    sendCall(vm!.callerAddress, {
      id,
      path: '/report/a',
      deadlineMilliseconds: 20_000,
      headers: {
        Model: 'm',
        'Token-Counts': '10,20',
        'Prompt-Prefix': `${id}:10`,
      },
    });
  await waitFor(async () => (await send('warm')).status === 200);
  await waitMilliseconds(1500);
  const known = workers.map(({orders}) => orders.length);
  const sent = Array.from({length: streams}, (_, index) => send(`s${index}`));
  await waitMilliseconds(beforeLeavingMilliseconds);
  if (hasTrouble) {
    const last = workers.find(
      ({id, held}) => id.startsWith('dc-a') && held?.target === 8,
    )!;
    record.add(`${last.id}, which holds ${JSON.stringify(last.held)}, leaves`);
    // It goes on serving, for longer than the streams last.
    deployment.store.write('keyed.servers', last.id, last.describe('draining'));
  }
  let outcome = Outcome.Held;
  for (const received of await Promise.all(sent)) {
    const {id, status, body, isComplete} = received;
    const count = body.split('\n\n').length - 1;
    const gap = Math.round(received.longestGapMilliseconds);
    const end = isComplete ? 'ends as complete' : 'breaks off';
    record.add(
      `${id}: ${status}, ${count} of ${events} events, ${end}; longest pause ${gap} ms`,
    );
    const isWrong = body !== whole.slice(0, body.length);
    const isShort = isComplete && status === 200 && body !== whole;
    if (isWrong || isShort) outcome = Outcome.Broken;
    if (!hasTrouble && !isComplete) outcome = Outcome.Broken;
  }
  for (const [index, {id, orders}] of workers.entries()) {
    for (const order of orders.slice(known[index])) {
      record.add(`order to ${id}: ${JSON.stringify(order)}`);
    }
  }
  if (outcome === Outcome.Broken) {
    record.add('ORDER: a stream ends as complete before its last piece');
  }
  return outcome;
});
