import type http from 'node:http';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {
  ExitCode,
  hasTrouble,
  makeDocument,
  runPlay,
  send,
} from '../lib_2/harness.js';

// A worker fails part of its requests: it runs them, and answers 503 without
// Not-Executed. The route streams from a service without an engine.

const vmCount = 2;
const workerCount = 8;
const failedShare = 0.4;
/** KIND=unsafe LARGE=1: the same on an unsafe route, with a body of 400 KB. */
const failureRepeats = process.env['LARGE'] === '1' ? 20_000 : 1;
const requestMilliseconds = 30;
const playMilliseconds = 10_000;

const ranIds = new Set<string>();

class Worker extends EndpointStandIn {
  isGrey = false;

  protected override async run(
    _request: http.IncomingMessage,
    attemptId: string,
    response: http.ServerResponse,
  ): Promise<void> {
    this.startedRequests.push(attemptId);
    ranIds.add(attemptId);
    await waitMilliseconds(20);
    const head = {
      'Attempt-Id': attemptId,
      'Response-Seal': `seal-${this.id}`,
    };
    if (this.isGrey && Math.random() < failedShare) {
      response.writeHead(503, {...head, 'Content-Type': 'text/plain'});
      response.end('the run has failed. '.repeat(failureRepeats));
      return;
    }
    response.writeHead(200, {...head, 'Content-Type': 'text/event-stream'});
    for (let id = 1; id <= 3; id += 1) {
      response.write(`id: ${id}\ndata: event ${id}\n\n`);
    }
    response.end();
  }
}

runPlay(async play => {
  const kind = process.env['KIND'] === 'unsafe' ? 'unsafe' : 'streaming';
  const route = {name: 'tell', kind, service: 'orders'} as const;
  await play.startStore(makeDocument(1, [route]));
  const workers: Worker[] = [];
  for (let i = 0; i < workerCount; i += 1) {
    const worker = new Worker(`w${i}`, 'orders', 'akl-a');
    workers.push(worker);
    await play.addWorker(worker);
  }
  play.makeVms(vmCount);
  await play.startVms();
  workers[0]!.isGrey = hasTrouble;
  let sent = 0;
  let broken = 0;
  const statuses = new Map<number, number>();
  const open: Promise<void>[] = [];
  let applied = 0;
  /** Sends an order, and once more after a promise that it has not run. */
  const sendOne = async (order: number, attempt: number): Promise<void> => {
    sent += 1;
    const id = `order${order}-${attempt}`;
    const vm = play.vms[sent % vmCount]!;
    const call = {path: '/tell/a', id, method: 'POST', body: `order ${order}`};
    const {status} = await send(vm.callerAddress, call);
    const ran = ranIds.has(id) ? 'has run' : 'has not run';
    play.record(`${id} at ${vm.name}: status ${status}, ${ran}`);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    const isPromised = [408, 421, 429, 503].includes(status);
    if (isPromised && ranIds.has(id)) broken += 1;
    if (isPromised && attempt === 1) return sendOne(order, 2);
    const runs = [1, 2].filter(one => ranIds.has(`order${order}-${one}`));
    if (runs.length > 1) applied += 1;
  };
  let orders = 0;
  const timer = setInterval(() => {
    orders += 1;
    open.push(sendOne(orders, 1));
  }, requestMilliseconds);
  await waitMilliseconds(playMilliseconds);
  clearInterval(timer);
  await Promise.all(open);
  play.checkVms();
  const counts = [...statuses].map(([status, count]) => `${status}: ${count}`);
  const result =
    `${broken} of ${sent} requests that may run once are answered as not run, ` +
    `and have run; ${applied} of ${orders} orders ran twice; ` +
    `answers ${counts.join(', ')}`;
  return play.end(broken > 0 ? ExitCode.Broken : ExitCode.Held, result);
});
