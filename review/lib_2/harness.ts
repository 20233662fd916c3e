import {spawn, type ChildProcess} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {EndpointStandIn} from '../../platform/stand_ins/endpoint_stand_in.js';
import {StoreStandIn} from '../../platform/stand_ins/store_stand_in.js';

export const host = 'lens.example';
export const apiKey = 'key-1';
/** Of the settings below. */
export const stabilityWindowMilliseconds = 3000;
const heartbeatMilliseconds = 1200;
const layerCount = 8;
const runLimitMilliseconds = 115_000;

/** Exit codes of a script. */
export enum ExitCode {
  Held = 0,
  Broken = 1,
  NotRun = 2,
}

/** Whether the disruption is made. */
export const hasTrouble = process.env['TROUBLE'] !== '0';

export interface RouteOptions {
  readonly name: string;
  readonly kind: 'safe' | 'unsafe' | 'streaming';
  readonly service: string;
  readonly resumable?: boolean;
  readonly timeoutMs?: number;
}

/** Makes a configuration with a plain service and one of a model. */
export function makeDocument(
  version: number,
  routes: readonly RouteOptions[],
): object {
  return {
    version,
    routes: routes.map(route => ({
      host,
      pathPrefix: `/${route.name}/`,
      timeoutMs: 5000,
      targetLatencyMs: 500,
      priority: 1,
      attempts: 2,
      public: false,
      affinity: route.kind === 'streaming',
      resumable: false,
      gapTargetMs: 200,
      ...route,
    })),
    services: [
      {name: 'orders', healthPath: '/health', maxConns: 208, protocol: 'h1'},
      {
        name: 'letters',
        healthPath: '/health',
        maxConns: 2292,
        protocol: 'h1',
        engine: {
          slots: 134,
          layers: layerCount,
          layerMb: 100,
          kvBytes: 8000,
          step_ms: 1,
          read_per_s: 100_000,
          kinds: [{name: 'card', sizeMb: 2000, pace: 1}],
          models: [{name: 'm', loadS: 1}],
          usual: {prompt: 10, answer: 10},
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'optics', apiKeys: [apiKey], priority: 1}],
  };
}

/** The command of the deploy file, without the program that runs it. */
function readCommand(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [, command] = /^run = "node (.*)"$/m.exec(text) ?? [];
  if (command === undefined) throw new Error('the deploy file has no command');
  return command.split(' ');
}

/** A process of the gateway on a loopback address of its own. */
export class Vm {
  readonly callerAddress: string;
  readonly controlAddress: string;
  private child: ChildProcess | undefined;

  constructor(
    readonly name: string,
    readonly ip: string,
    private readonly folder: string,
  ) {
    this.callerAddress = `${ip}:8227`;
    this.controlAddress = `${ip}:8229`;
  }

  get logFile(): string {
    return path.join(this.folder, `${this.name}.log`);
  }

  /** Starts the process with the command of the deploy file. */
  start(storeAddress: string, seeds: readonly string[]): void {
    const file = path.join(this.folder, `${this.name}.conf`);
    writeFileSync(file, this.renderSettings(storeAddress, seeds));
    const output = openSync(this.logFile, 'a');
    this.child = spawn(process.execPath, readCommand(), {
      env: {PATH: process.env['PATH'], ZINNIASPINDLE_SETTINGS: file},
      stdio: ['ignore', output, output],
    });
  }

  /** Tells whether the process runs. */
  isRunning(): boolean {
    const {child} = this;
    return child?.exitCode === null && child.signalCode === null;
  }

  kill(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Tells whether it counts as ready. */
  async isReady(): Promise<boolean> {
    const answer = await send(`${this.ip}:8220`, {path: '/api/ready', id: ''});
    return answer.status === 200;
  }

  private renderSettings(
    storeAddress: string,
    seeds: readonly string[],
  ): string {
    const {ip, name} = this;
    const lines = [
      `nodeName=${name}`,
      'role=gateway',
      'machineClass=front',
      'serves=front,control,directory',
      `ip=${ip}`,
      'zone=akl-a',
      'region=akl',
      'zones.akl-a=akl',
      `listen.front=${ip}:8227`,
      `listen.ready=${ip}:8220`,
      `listen.control=${ip}:8229`,
      `listen.directory=${ip}:8224`,
      'internalPorts=7340,7355',
      `seeds=${seeds.join(',')}`,
      'bootstrap=true',
      'limits.cpuShare=0.459',
      'limits.cores=1',
      'limits.memoryMb=272',
      'limits.maxFds=2118',
      'limits.linkMbps=490',
      'limits.diskMb=0',
      'discovery=platform',
      'entry=directory',
      `heartbeatMs=${heartbeatMilliseconds}`,
      'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers',
      'tolerate.machines=2',
      'bounds.stabilityWindowMs=3000',
      'bounds.drainMs=2000',
      'bounds.graceS=8',
      'bounds.lossSlackMs=200',
      'bounds.configApplyMs=2000',
      'bounds.retryBudgetRatio=0.2',
      'bounds.budgetWindowS=10',
      'bounds.budgetSlack=425',
      'bounds.recoverS=12',
      'bounds.stall_ms=2500',
      'bounds.requireFence=true',
      'bounds.ttl_max_s=5',
      `platform.address=${storeAddress}`,
      'platform.form=log',
      'platform.writesPerS=400',
      'platform.readsPerS=2000',
    ];
    return `${lines.join('\n')}\n`;
  }
}

export interface CallOptions {
  readonly path: string;
  readonly id: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly deadlineMs?: number;
  readonly body?: string;
}

export interface CallAnswer {
  /** 0 if the channel ended without an answer. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Sends a request on a new channel, and reads the whole answer. */
export function send(
  address: string,
  {path: target, id, method = 'GET', headers, deadlineMs, body}: CallOptions,
): Promise<CallAnswer> {
  const [name, port] = address.split(':');
  return new Promise(resolve => {
    const none = {status: 0, headers: {}, body: '', isComplete: false};
    const request = http.request({
      ...{agent: false, host: name, port: Number(port), method, path: target},
      headers: {
        Host: host,
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMs ?? 4000),
        Authorization: `Bearer ${apiKey}`,
        ...headers,
      },
    });
    request.on('error', () => resolve(none));
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        });
      });
    });
    request.end(body);
  });
}

/** The processes and stand-ins of a script, and its record. */
export class Play {
  readonly store = new StoreStandIn();
  readonly vms: Vm[] = [];
  readonly workers = new Set<EndpointStandIn>();
  storeAddress = '';
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
  private readonly startedAt = performance.now();
  private readonly network: string;
  private isFirstLine = true;
  private beats = 1;

  constructor(private readonly caseFolder: string) {
    const pick = () => 1 + Math.floor(Math.random() * 250);
    this.network = `127.${pick()}.${pick()}`;
    process.once('exit', () => {
      for (const vm of this.vms) vm.kill('SIGKILL');
      rmSync(this.folder, {recursive: true, force: true});
    });
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => this.end(ExitCode.NotRun, signal));
    }
    setTimeout(
      () => this.end(ExitCode.NotRun, 'the time is over'),
      runLimitMilliseconds,
    );
    setInterval(() => this.writeEntries(), heartbeatMilliseconds);
  }

  /** Writes a line of the record, with the time since the start. */
  record(text: string): void {
    const file = path.join(this.caseFolder, 'record.txt');
    const line = `${Math.round(performance.now() - this.startedAt)} ms ${text}\n`;
    if (this.isFirstLine) writeFileSync(file, line);
    else appendFileSync(file, line);
    this.isFirstLine = false;
  }

  /** Ends all processes and the script. */
  end(code: ExitCode, reason: string): never {
    this.record(`end: ${ExitCode[code]}: ${reason}`);
    process.stdout.write(`${ExitCode[code]}: ${reason}\n`);
    process.exit(code);
  }

  /** The loopback address with a number. */
  makeIp(number: number): string {
    return `${this.network}.${number}`;
  }

  /** Starts the store with a configuration. */
  async startStore(document: object): Promise<void> {
    this.storeAddress = await this.store.start();
    this.store.write('keyed.op', 'config', document);
  }

  /** Starts a worker, which writes its entry from then on. */
  async addWorker(worker: EndpointStandIn): Promise<void> {
    await worker.start();
    this.workers.add(worker);
    worker.handleChange = () => this.writeEntry(worker);
    worker.handleChange();
  }

  /** Removes a worker's entry, as the store does after it fell silent. */
  removeWorker(worker: EndpointStandIn): void {
    this.workers.delete(worker);
    this.store.remove('keyed.servers', worker.id);
  }

  private writeEntries(): void {
    this.beats += 1;
    for (const worker of this.workers) if (worker.isUp) this.writeEntry(worker);
  }

  private writeEntry(worker: EndpointStandIn): void {
    const entry = {...worker.describe(), sequence: this.beats};
    this.store.write('keyed.servers', worker.id, entry);
  }

  /** Makes VMs, which are not started. */
  makeVms(count: number): void {
    for (let i = 1; i <= count; i += 1) {
      this.vms.push(new Vm(`front-${i}`, this.makeIp(i), this.folder));
    }
  }

  /** Starts all VMs, and waits until they are ready. */
  async startVms(
    seeds = this.vms.slice(0, 3).map(vm => vm.controlAddress),
  ): Promise<void> {
    for (const vm of this.vms) vm.start(this.storeAddress, seeds);
    for (const vm of this.vms) await this.waitFor(() => vm.isReady());
  }

  /** Waits until something holds; ends the script if that takes too long. */
  async waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    const until = performance.now() + 15_000;
    while (!(await condition())) {
      if (performance.now() > until) {
        this.end(ExitCode.NotRun, 'not ready in 15 s');
      }
      await waitMilliseconds(50);
    }
  }

  /** Ends the script as not run if a gateway has ended. */
  checkVms(): void {
    const ended = this.vms.filter(vm => !vm.isRunning());
    if (ended.length > 0) this.end(ExitCode.NotRun, 'a gateway has ended');
  }

  /** Reads the log of a VM. */
  readLog(vm: Vm): string {
    return readFileSync(vm.logFile, 'utf8');
  }
}

/** Runs a script in the folder of its case. */
export function runPlay(run: (play: Play) => Promise<never>): void {
  const [, , folder] = process.argv;
  if (folder === undefined) process.exit(ExitCode.NotRun);
  const play = new Play(folder);
  run(play).catch((error: unknown) => {
    play.end(ExitCode.NotRun, String(error));
  });
}
