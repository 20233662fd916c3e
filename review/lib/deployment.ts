import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {StoreStandIn} from '../../platform/stand_ins/store_stand_in.js';
import {GatewayProcess} from './gateway_process.js';

/** The host of all routes. */
export const routeHost = 'lens.example';
/** The key of the only tenant. */
export const tenantKey = 'n2ctnfzs989anu6wsjnb';

/** A route of the configuration. */
export interface RouteFields {
  readonly name: string;
  readonly kind: 'safe' | 'unsafe' | 'streaming';
  readonly service: string;
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  readonly attempts: number;
  readonly resumable?: boolean;
}

/** A model whose layers one worker of the kind "card" holds. */
export const smallModel = {
  ...{layers: 8, layerMb: 100, kvBytes: 8000, step_ms: 1, read_per_s: 100_000},
  kinds: [{name: 'card', sizeMb: 2000, pace: 1}],
  models: [{name: 'm', loadS: 1}],
  usual: {prompt: 10, answer: 10},
};

/** What a deployment consists of. */
export interface DeploymentOptions {
  readonly gateways: number;
  readonly routes: readonly RouteFields[];
  /** Names of the services that run the model. */
  readonly modelServices?: readonly string[];
}

/** Makes the first configuration of the operator. */
function makeConfiguration({
  routes,
  modelServices = [],
}: DeploymentOptions): object {
  return {
    version: 7,
    routes: routes.map(route => ({
      host: routeHost,
      pathPrefix: `/${route.name}/`,
      priority: 1,
      public: false,
      resumable: false,
      ...route,
    })),
    services: [...new Set(routes.map(({service}) => service))].map(name => ({
      name,
      ...(modelServices.includes(name) ? {engine: smallModel} : {}),
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 10_000,
      idleTimeoutMs: 10_000,
    },
    tenants: [{name: 'optics', apiKeys: [tenantKey]}],
  };
}

/** A store and gateways on loopback addresses. */
export class Deployment {
  readonly store = new StoreStandIn();
  readonly gateways: GatewayProcess[] = [];
  readonly folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  private readonly lines: string[] = [];
  private readonly startedAt = Date.now();

  constructor(private readonly options: DeploymentOptions) {}

  /** Starts the store and the gateways, which become ready later. */
  async start(): Promise<void> {
    const storeAddress = await this.store.start();
    const {gateways} = this.options;
    this.store.write('keyed.op', 'config', makeConfiguration(this.options));
    // The process id keeps scripts that run side by side apart.
    const base = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
    const hosts = Array.from({length: gateways}, (_, i) => `${base}.${i + 1}`);
    const seeds = hosts.slice(0, 3).map(host => `${host}:8229`);
    for (const [i, host] of hosts.entries()) {
      const gateway = new GatewayProcess({
        name: `front-akl-a-${i + 1}`,
        ...{host, storeAddress, seeds, zone: 'akl-a', folder: this.folder},
      });
      this.gateways.push(gateway);
      gateway.start();
    }
  }

  /** Waits until all gateways are ready. */
  async waitUntilReady(): Promise<void> {
    for (const gateway of this.gateways) await gateway.waitUntilReady();
  }

  /** Writes a worker's entry, as the worker does. */
  writeWorker(id: string, entry: object): void {
    this.store.write('keyed.servers', id, entry);
  }

  /** Notes what was sent, answered or run. */
  record(text: string): void {
    const ms = Date.now() - this.startedAt;
    this.lines.push(`${String(ms).padStart(6)} ms  ${text}`);
  }

  /** Ends all processes, and writes the record into the folder of the case. */
  async close(recordFile: string): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.stop()));
    this.store.close();
    writeFileSync(recordFile, `${this.lines.join('\n')}\n`);
    if (process.env['KEEP_LOGS'] !== '1') {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}
