import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {
  ExitCode,
  hasTrouble,
  makeDocument,
  runPlay,
  send,
  stabilityWindowMilliseconds,
  type Play,
} from '../lib_2/harness.js';
import {startBehindProxies} from '../lib_2/peer_proxy.js';
import {runPartition} from './partition.js';

// The open channels between the gateways go silent for good, while new ones work.
// Later a worker in need names its limit in its answers.

const vmCount = 6;
const workerCount = 3;
const silentAtMilliseconds = 5000;
const limitAtMilliseconds = 50_000;
const endAtMilliseconds = 75_000;
const requestMilliseconds = 10;
/** Requests a second that the worker in need takes from all machines. */
const limitPerSecond = 4;
const windowMilliseconds = 4000;
const passedOnMilliseconds = 500;
/** The rule: in some 4 s, one and a half times what the limit allows, + 5. */
const most = 1.5 * limitPerSecond * (windowMilliseconds / 1000) + 5;

async function runLimit(play: Play): Promise<never> {
  const route = {name: 'look', kind: 'safe', service: 'orders'} as const;
  await play.startStore(makeDocument(1, [route]));
  const workers: EndpointStandIn[] = [];
  for (let i = 0; i < workerCount; i += 1) {
    const worker = new EndpointStandIn(`w${i}`, 'orders', 'akl-a');
    workers.push(worker);
    await play.addWorker(worker);
  }
  const needy = workers[0]!;
  play.makeVms(vmCount);
  const proxies = await startBehindProxies(play, () => play.storeAddress);
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  let sent = 0;
  const statuses = new Map<number, number>();
  const namedBy = new Map<string, number>();
  const findVm = (request: number) => play.vms[request % vmCount]!;
  const sendOne = async () => {
    sent += 1;
    const vm = findVm(sent);
    const call = {path: `/look/${sent}`, id: `r${sent}`};
    const {status, headers} = await send(vm.callerAddress, call);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    const isNamed =
      headers['response-seal'] === `seal-${needy.id}` &&
      now() > limitAtMilliseconds;
    if (isNamed && !namedBy.has(vm.name)) {
      namedBy.set(vm.name, now());
      play.record(`${vm.name} passes on the limit`);
    }
  };
  const timer = setInterval(() => void sendOne(), requestMilliseconds);
  await waitMilliseconds(silentAtMilliseconds - now());
  if (hasTrouble) {
    let silent = 0;
    for (const proxy of proxies) silent += proxy.silence();
    play.record(`${silent} channels between gateways go silent`);
  }
  await waitMilliseconds(limitAtMilliseconds - now());
  let opened = 0;
  for (const proxy of proxies) opened += proxy.opened;
  play.record(`${opened} channels between gateways opened so far`);
  needy.limit = String(limitPerSecond);
  const limitedAt = performance.now();
  play.record(`${needy.id} names its limit of ${limitPerSecond} a second`);
  await waitMilliseconds(endAtMilliseconds - now());
  clearInterval(timer);
  await waitMilliseconds(1000);
  play.checkVms();
  const receivedAt: number[] = [];
  for (const one of needy.receivedRequests) {
    if (one.receivedAt < limitedAt) continue;
    const vm = findVm(Number(one.attemptId.slice(1))).name;
    const at = Math.round(one.receivedAt - limitedAt);
    play.record(`${one.attemptId} of ${vm} reached it ${at} ms after that`);
    if (at < stabilityWindowMilliseconds) continue;
    // Only those of gateways that had passed on its limit.
    const named = namedBy.get(vm) ?? Infinity;
    if (one.receivedAt - startedAt < named + passedOnMilliseconds) continue;
    receivedAt.push(one.receivedAt);
  }
  let busiest = 0;
  for (const from of receivedAt) {
    const count = receivedAt.filter(
      at => at >= from && at < from + windowMilliseconds,
    ).length;
    busiest = Math.max(busiest, count);
  }
  for (const [status, count] of statuses) {
    play.record(`${count} of ${sent} requests are answered ${status}`);
  }
  const result =
    `the worker that takes ${limitPerSecond} a second got ${busiest} requests ` +
    `in its busiest 4 s from ${namedBy.size} gateways; the rule allows ${most}`;
  return play.end(busiest > most ? ExitCode.Broken : ExitCode.Held, result);
}

// CUT=1: instead, a gateway is later partitioned from all workers.
runPlay(process.env['CUT'] === '1' ? runPartition : runLimit);
