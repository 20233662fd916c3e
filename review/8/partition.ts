import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {StoreStandIn} from '../../platform/stand_ins/store_stand_in.js';
import {
  ExitCode,
  hasTrouble,
  makeDocument,
  send,
  stabilityWindowMilliseconds,
  type Play,
} from '../lib_2/harness.js';
import {startBehindProxies} from '../lib_2/peer_proxy.js';
import {WorkerLink} from '../lib_2/worker_link.js';

const vmCount = 6;
const workerCount = 3;
const silentAtMilliseconds = 5000;
const cutAtMilliseconds = 15_000;
const healAtMilliseconds = 27_000;
const endAtMilliseconds = 30_000;
const requestMilliseconds = 10;
const beatMilliseconds = 1200;
/** The rule: at the cut machines two thirds as often, and 10 + 1 in 50 may fail. */
const leastShare = 2 / 3;
const freeFailures = 10;
const freeShare = 1 / 50;

/** A client's first try at a gateway. */
interface Try {
  readonly at: number;
  readonly isAtCut: boolean;
  readonly isServed: boolean;
}

function computeShare(tries: readonly Try[]): number {
  return tries.filter(({isServed}) => isServed).length / tries.length;
}

/** The channels go silent; later one gateway is partitioned from all workers. */
export async function runPartition(play: Play): Promise<never> {
  const route = {name: 'look', kind: 'safe', service: 'orders'} as const;
  const document = makeDocument(1, [route]);
  await play.startStore(document);
  // The same entries with the addresses of the links that can be cut.
  const cutStore = new StoreStandIn();
  const cutStoreAddress = await cutStore.start();
  cutStore.write('keyed.op', 'config', document);
  const links = new Map<EndpointStandIn, WorkerLink>();
  for (let i = 0; i < workerCount; i += 1) {
    const worker = new EndpointStandIn(`w${i}`, 'orders', 'akl-a');
    await play.addWorker(worker);
    links.set(worker, await WorkerLink.open(worker.getAddress()));
  }
  let beats = 0;
  const writeEntries = () => {
    beats += 1;
    for (const [worker, {address}] of links) {
      const entry = {...worker.describe(), address, sequence: beats};
      cutStore.write('keyed.servers', worker.id, entry);
    }
  };
  writeEntries();
  setInterval(writeEntries, beatMilliseconds);
  play.makeVms(vmCount);
  const cutVm = play.vms.at(-1)!;
  const proxies = await startBehindProxies(play, vm =>
    vm === cutVm ? cutStoreAddress : play.storeAddress,
  );
  const startedAt = performance.now();
  const now = () => performance.now() - startedAt;
  let sent = 0;
  const tries: Try[] = [];
  const sendOne = async () => {
    sent += 1;
    const vm = play.vms[sent % vmCount]!;
    const at = now();
    const id = `r${sent}`;
    const call = {path: `/look/${sent}`, id, deadlineMs: 1500};
    const {status, isComplete} = await send(vm.callerAddress, call);
    const isServed = status === 200 && isComplete;
    tries.push({at, isAtCut: vm === cutVm, isServed});
    if (!isServed) play.record(`${id} at ${vm.name}: status ${status}`);
  };
  const timer = setInterval(() => void sendOne(), requestMilliseconds);
  await waitMilliseconds(silentAtMilliseconds - now());
  if (hasTrouble) {
    let silent = 0;
    for (const proxy of proxies) silent += proxy.silence();
    play.record(`${silent} channels between gateways go silent`);
  }
  await waitMilliseconds(cutAtMilliseconds - now());
  for (const link of links.values()) link.cut();
  play.record(`${cutVm.name} is partitioned from all workers`);
  await waitMilliseconds(healAtMilliseconds - now());
  for (const link of links.values()) await link.heal();
  await waitMilliseconds(endAtMilliseconds - now());
  clearInterval(timer);
  await waitMilliseconds(2000);
  play.checkVms();
  const from = cutAtMilliseconds + stabilityWindowMilliseconds;
  const during = tries.filter(({at}) => at > from && at < healAtMilliseconds);
  const atCut = during.filter(({isAtCut}) => isAtCut);
  const others = during.filter(({isAtCut}) => !isAtCut);
  const failed = atCut.filter(({isServed}) => !isServed).length;
  const isSeldom = computeShare(atCut) < leastShare * computeShare(others);
  const isBroken =
    isSeldom && failed > freeFailures + during.length * freeShare;
  const result =
    `${failed} of ${atCut.length} first tries fail at the partitioned gateway, ` +
    `${Math.round(100 * computeShare(others))} in 100 are served at the others`;
  return play.end(isBroken ? ExitCode.Broken : ExitCode.Held, result);
}
