import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';

/** The command of the deploy file. */
const command = [
  '--max-old-space-size=96',
  '--max-semi-space-size=1',
  'target/zinniaspindle.cjs',
];
const readyPolls = 200;
const pollMilliseconds = 50;

/** What a gateway is started with. */
export interface GatewayOptions {
  readonly name: string;
  /** A loopback address of its own. */
  readonly host: string;
  readonly zone: string;
  readonly storeAddress: string;
  readonly folder: string;
  /** The peer addresses of the gateways that are asked first. */
  readonly seeds: readonly string[];
}

/** Formats the settings of a small deployment, as the pages show them. */
function formatSettings(options: GatewayOptions): string {
  const {name, host, zone, storeAddress, seeds} = options;
  const lines = [
    `nodeName=${name}`,
    'role=gateway',
    'machineClass=front',
    'serves=front,control,directory',
    `ip=${host}`,
    `zone=${zone}`,
    'region=akl',
    `listen.front=${host}:8227`,
    `listen.ready=${host}:8220`,
    `listen.control=${host}:8229`,
    `listen.directory=${host}:8224`,
    'internalPorts=7340,7355',
    `seeds=${seeds.join(',')}`,
    'bootstrap=true',
    'limits.cpuShare=0.459',
    'limits.cores=1',
    'limits.memoryMb=272',
    'limits.maxFds=2118',
    'limits.linkMbps=490',
    'discovery=platform',
    'entry=directory',
    'heartbeatMs=1200',
    'bounds.stabilityWindowMs=3000',
    'bounds.drainMs=2000',
    'bounds.graceS=8',
    'bounds.lossSlackMs=200',
    'bounds.configApplyMs=2000',
    'bounds.retryBudgetRatio=0.2',
    'bounds.budgetSlack=425',
    'bounds.recoverS=12',
    'bounds.requireFence=true',
    'bounds.ttl_max_s=5',
    `platform.address=${storeAddress}`,
    'platform.form=log',
  ];
  return `${lines.join('\n')}\n`;
}

/** The gateway as a process of its own. */
export class GatewayProcess {
  private child: ChildProcess | undefined;
  private readonly settingsFile: string;

  constructor(private readonly options: GatewayOptions) {
    this.settingsFile = path.join(options.folder, `${options.name}.conf`);
  }

  get host(): string {
    return this.options.host;
  }

  /** Starts the process; its log goes to a file of the temporary folder. */
  start(): void {
    writeFileSync(this.settingsFile, formatSettings(this.options));
    const child = spawn(process.execPath, command, {
      env: {
        PATH: process.env['PATH'],
        ZINNIASPINDLE_SETTINGS: this.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout!.on('data', (chunk: Buffer) => {
      const file = path.join(this.options.folder, `${this.options.name}.log`);
      writeFileSync(file, chunk, {flag: 'a'});
    });
    this.child = child;
  }

  /** Waits until the gateway says that it is ready. */
  async waitUntilReady(): Promise<void> {
    for (let i = 0; i < readyPolls; i += 1) {
      if (await this.isReady()) return;
      await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    throw new Error(`${this.options.name} is not ready`);
  }

  /** Tells whether the process answers 200 to the platform's check. */
  isReady(): Promise<boolean> {
    return new Promise(resolve => {
      const request = http.get(
        {host: this.host, port: 8220, path: '/api/ready', agent: false},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(500, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  /** Tells whether the process runs. */
  isRunning(): boolean {
    const {child} = this;
    if (child === undefined) return false;
    return child.exitCode === null && child.signalCode === null;
  }

  /** Sends a signal to the process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Kills the process and waits for its end. */
  async stop(): Promise<void> {
    if (!this.isRunning()) return;
    const ended = once(this.child!, 'exit');
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGKILL');
    await ended;
  }
}
