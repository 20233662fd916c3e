import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {ProgramVm} from '../../platform/stand_ins/program_vm.js';
import {StoreStandIn} from '../../platform/stand_ins/store_stand_in.js';

/** The options of Node.js that the deploy file starts the program with. */
const nodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=1'];
const programFile = path.resolve('target/zinniaspindle.cjs');
export const callHost = 'desk.example';
export const key = 'key-1';
const startMilliseconds = 15_000;
const pollMilliseconds = 20;

/** Exit codes of a case. */
export enum Outcome {
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
}

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env['TROUBLE'] !== '0';

/** What a client got. */
export interface Received {
  readonly id: string;
  readonly status: number;
  readonly body: string;
  /** Whether the answer has come to its regular end, by length or last chunk. */
  readonly isComplete: boolean;
  /** The longest time between two pieces of the body. */
  readonly longestGapMilliseconds: number;
}

/** What was sent, answered and run; written to record.txt of the case. */
export class CaseRecord {
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();

  /** Adds a line with the time since the start of the case. */
  add(text: string): void {
    const seconds = (performance.now() - this.startedAt) / 1000;
    this.lines.push(`${seconds.toFixed(3)} ${text}`);
  }

  /** Writes all lines to the folder of the case. */
  write(folder: string): void {
    const file = path.join(folder, 'record.txt');
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

/** A store, workers and processes of the program. */
export class Deployment {
  readonly store = new StoreStandIn();
  readonly vms: ProgramVm[] = [];
  private storeAddress = '';

  /** Starts the store with a configuration. */
  async start(configuration: object): Promise<void> {
    this.storeAddress = await this.store.start();
    this.store.write('keyed.op', 'config', configuration);
  }

  /** Starts a worker of this process and writes its entry. */
  async addWorker(worker: EndpointStandIn): Promise<void> {
    await worker.start();
    worker.handleChange = () => {
      this.store.write('keyed.servers', worker.id, worker.describe());
    };
    worker.handleChange();
  }

  /** Starts processes of the program and waits until they are ready. */
  async addVms(count: number, keepsConnections = false): Promise<void> {
    for (let i = 0; i < count; i += 1) {
      const vm = await ProgramVm.create({
        name: `front-${i}`,
        storeAddress: this.storeAddress,
        graceSeconds: 8,
        seeds: this.vms.slice(0, 3).map(({peerAddress}) => peerAddress),
        isFirstStart: true,
        cores: 0.459,
        memoryMegabytes: 272,
        maxDescriptors: 2118,
        keepsConnections,
        programFile,
        nodeOptions,
      });
      this.vms.push(vm);
      vm.start();
    }
    for (const vm of this.vms) {
      await waitFor(async () => {
        const ready = await fetchStatus(vm.readyAddress, '/api/ready');
        return ready === 200;
      });
    }
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.stop()));
    this.store.close();
  }
}

/** Polls until a condition holds; throws if it does not in time. */
export async function waitFor(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadline = performance.now() + startMilliseconds;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error('not met in time');
    await waitMilliseconds(pollMilliseconds);
  }
}

async function fetchStatus(address: string, url: string): Promise<number> {
  try {
    const response = await fetch(`http://${address}${url}`);
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

/** What a client sends. */
export interface ClientCall {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly deadlineMilliseconds: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Called with each piece of the body. */
  readonly handlePiece?: (text: string) => void;
}

/** Sends a request on a connection of its own and reads the whole answer. */
export async function sendCall(
  address: string,
  call: ClientCall,
): Promise<Received> {
  const [host, port] = address.split(':');
  const request = http.request({
    ...{host, port, agent: false, path: call.path},
    method: call.method ?? 'POST',
    headers: {
      Host: callHost,
      'Attempt-Id': call.id,
      'Deadline-Ms': String(call.deadlineMilliseconds),
      Authorization: `Bearer ${key}`,
      ...call.headers,
    },
  });
  request.end(call.body);
  const nothing = {id: call.id, body: '', isComplete: false};
  let response: http.IncomingMessage;
  try {
    [response] = (await once(request, 'response')) as [http.IncomingMessage];
  } catch {
    return {...nothing, status: 0, longestGapMilliseconds: 0};
  }
  let body = '';
  let pieceAt = performance.now();
  let longestGapMilliseconds = 0;
  response.setEncoding('utf8');
  try {
    for await (const piece of response) {
      const now = performance.now();
      longestGapMilliseconds = Math.max(longestGapMilliseconds, now - pieceAt);
      pieceAt = now;
      body += String(piece);
      call.handlePiece?.(String(piece));
    }
  } catch {
    // The answer was cut off: it is not complete.
  }
  const end = performance.now() - pieceAt;
  return {
    id: call.id,
    status: response.statusCode ?? 0,
    body,
    isComplete: response.complete,
    longestGapMilliseconds: Math.max(longestGapMilliseconds, end),
  };
}

/** Runs a case, writes its record and exits with its outcome. */
export async function runCase(
  folder: string,
  run: (deployment: Deployment, record: CaseRecord) => Promise<Outcome>,
): Promise<void> {
  const record = new CaseRecord();
  const deployment = new Deployment();
  let outcome = Outcome.CouldNotRun;
  try {
    outcome = await run(deployment, record);
  } catch (error) {
    record.add(`the case could not run: ${String(error)}`);
  }
  record.add(`outcome: ${Outcome[outcome]}`);
  record.write(folder);
  await deployment.close();
  process.exit(outcome);
}

/** What a case may change of its configuration. */
export interface ConfigurationOptions {
  /** Whether streams may be resumed. */
  readonly isResumable?: boolean;
  /** Memory of a worker. */
  readonly sizeMegabytes?: number;
  /** The longest body that a client may send. */
  readonly maxBodyBytes?: number;
  /** The timeout of the route to the plain service. */
  readonly lookMilliseconds?: number;
}

/** Makes a configuration with a route to a plain service and one to a model. */
export function makeConfiguration(
  layerMegabytes: number,
  {
    isResumable = true,
    sizeMegabytes = 2000,
    maxBodyBytes = 1_048_576,
    lookMilliseconds = 20_000,
  }: ConfigurationOptions = {},
): object {
  const route = {
    host: callHost,
    timeoutMs: 20_000,
    priority: 1,
    attempts: 2,
    public: false,
  };
  return {
    version: 1,
    routes: [
      {
        ...route,
        name: 'look',
        pathPrefix: '/look/',
        kind: 'safe',
        timeoutMs: lookMilliseconds,
        targetLatencyMs: 193,
        service: 'ledger',
        resumable: false,
      },
      {
        ...route,
        name: 'report',
        pathPrefix: '/report/',
        kind: 'streaming',
        targetLatencyMs: 1000,
        gapTargetMs: 250,
        service: 'models',
        affinity: true,
        resumable: isResumable,
      },
    ],
    services: [
      {name: 'ledger', healthPath: '/health', maxConns: 208},
      {
        name: 'models',
        healthPath: '/health',
        maxConns: 2192,
        engine: {
          layers: 8,
          layerMb: layerMegabytes,
          kvBytes: 8000,
          step_ms: 1,
          read_per_s: 100_000,
          kinds: [{name: 'card', sizeMb: sizeMegabytes, pace: 1}],
          models: [{name: 'm', loadS: 1}],
          usual: {prompt: 10, answer: 10},
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'desk', apiKeys: [key]}],
  };
}
