import type http from 'node:http';
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

// A part of prompts crashes each worker that begins to write an answer on it.
// The worker writes the first event, and crashes some milliseconds later.

const vmCount = 3;
const workerCount = 8;
const fatalPart = 'bad0';
/** CRASH=head: the worker crashes after the head, before the first event. */
const crashesAfterEvent = process.env['CRASH'] !== 'head';
/** PARTS=40: all prompts have so many further parts, before the others. */
const furtherParts = Number(process.env['PARTS'] ?? 0);
const further = Array.from(
  {length: furtherParts},
  (_one, index) => `c${index.toString(16)}:5,`,
).join('');
const crashMilliseconds = 40;
const backMilliseconds = 2500;
const soundMilliseconds = 50;
const fatalMilliseconds = 400;
const soundAloneMilliseconds = 5000;
const playMilliseconds = 25_000;
/** The rule: no more of them after the fifth crash and the stability window. */
const crashes = 5;
const maxLate = 3;
/** The rule: sound ones begin at least half as often, where there are 20. */
const leastShare = 0.5;
const leastCount = 20;
const answerMilliseconds = 2000;

const crashedAt: number[] = [];
const fatalReceivedAt: number[] = [];

class Worker extends EndpointStandIn {
  handleFatal: (attemptId: string) => void = () => undefined;

  protected override async run(
    request: http.IncomingMessage,
    attemptId: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const prefix = String(request.headers['prompt-prefix'] ?? '');
    const isFatal = prefix.split(',').some(one => one.startsWith(fatalPart));
    if (isFatal) {
      fatalReceivedAt.push(performance.now());
      this.handleFatal(attemptId);
    }
    if (!isFatal || !hasTrouble) {
      return super.run(request, attemptId, response);
    }
    this.startedRequests.push(attemptId);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': attemptId,
      'Response-Seal': `seal-${this.id}`,
    });
    const last = Number(request.headers['last-event-id'] ?? 0);
    if (crashesAfterEvent) {
      response.write(`id: ${last + 1}\ndata: event ${last + 1}\n\n`);
    } else response.flushHeaders();
    await waitMilliseconds(crashMilliseconds);
    if (!this.isUp) return;
    this.close();
    crashedAt.push(performance.now());
    this.handleCrash();
  }
}

let workers = 0;

async function addWorker(play: Play): Promise<void> {
  workers += 1;
  const worker = new Worker(`w${workers}`, 'letters', 'akl-a', 'card');
  worker.events = 6;
  worker.handleFatal = id => play.record(`${id} reaches ${worker.id}`);
  worker.handleCrash = () => {
    play.record(`crash ${crashedAt.length}: ${worker.id}`);
    setTimeout(() => {
      play.removeWorker(worker);
      void addWorker(play);
    }, backMilliseconds);
  };
  await play.addWorker(worker);
}

runPlay(async play => {
  const route = {
    name: 'write',
    kind: 'streaming',
    service: 'letters',
    resumable: true,
  } as const;
  await play.startStore(makeDocument(1, [route]));
  for (let i = 0; i < workerCount; i += 1) await addWorker(play);
  play.makeVms(vmCount);
  await play.startVms();
  let sent = 0;
  const open: Promise<void>[] = [];
  const sendOne = async (isFatal: boolean) => {
    sent += 1;
    const sentAt = performance.now();
    const vm = play.vms[Math.floor(Math.random() * vmCount)]!;
    const id = `${isFatal ? 'fatal' : 'sound'}-${sent}`;
    const own = `e${sent.toString(16)}:9`;
    const first = `a1:40,${further}b${sent % 30}:60`;
    const prefix = isFatal
      ? `${first},${fatalPart}:7,${own}`
      : `${first},${own}`;
    const headers = {
      Model: 'm',
      'Token-Counts': '10,12',
      'Prompt-Prefix': prefix,
    };
    const call = {path: '/write/a', id, method: 'POST', headers, body: id};
    const {status, isComplete} = await send(vm.callerAddress, call);
    const isServed = isComplete && status === 200;
    if (isFatal || !isServed) {
      play.record(`${id} at ${vm.name}: status ${status}, whole ${isServed}`);
    }
    if (isFatal) return;
    if (isServed) served += 1;
    sound.push({sentAt, hasBegun: status === 200});
  };
  let served = 0;
  const sound: {readonly sentAt: number; readonly hasBegun: boolean}[] = [];
  await play.waitFor(async () => {
    await sendOne(false);
    return served >= vmCount;
  });
  const soundAt = performance.now();
  const timers = [
    setInterval(() => open.push(sendOne(false)), soundMilliseconds),
  ];
  await waitMilliseconds(soundAloneMilliseconds);
  const fatalAt = performance.now();
  timers.push(setInterval(() => open.push(sendOne(true)), fatalMilliseconds));
  await waitMilliseconds(playMilliseconds);
  const endedAt = performance.now();
  for (const timer of timers) clearInterval(timer);
  await Promise.all(open);
  play.checkVms();
  /** Computes the share of the sound requests of a time that begin. */
  const computeShare = (from: number, until: number): number => {
    const some = sound.filter(({sentAt}) => sentAt > from && sentAt < until);
    if (some.length < leastCount) return 1;
    return some.filter(({hasBegun}) => hasBegun).length / some.length;
  };
  const fifth = crashedAt[crashes - 1] ?? Infinity;
  const late = fatalReceivedAt.filter(
    at => at > fifth + stabilityWindowMilliseconds,
  ).length;
  const before = computeShare(soundAt, fatalAt);
  const lostFrom = crashedAt[crashes - 1] ?? crashedAt.at(-1) ?? fatalAt;
  const after = computeShare(
    lostFrom + 2 * stabilityWindowMilliseconds,
    endedAt - answerMilliseconds,
  );
  const isLost = after < leastShare * before;
  const isOver = late > maxLate;
  const result =
    `${crashedAt.length} crashes; of the sound requests ${toPercent(before)} ` +
    `began before, ${toPercent(after)} later than 6 s after the fifth crash ` +
    `(LOST ${isLost ? 'broken' : 'held'}); ${late} requests with the part ` +
    `reached workers later than 3 s after it (BUDGET ` +
    `${isOver ? 'broken' : 'held'})`;
  return play.end(isLost ? ExitCode.Broken : ExitCode.Held, result);
});

function toPercent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
