import type {StagePath} from '@zinniaspindle/decisions';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {PathTable} from '../src/fleet/path_table.js';
import {WaiterTable} from '../src/fleet/waiter_table.js';
import {computeHeartbeatPeriod} from '../src/peers/heartbeat_period.js';
import {RouteKind, type Route, type ServiceModel} from '../src/ports/index.js';
import {PathQueue} from '../src/requests/path_queue.js';

const tickMilliseconds = 20;
/** As defaultPickOptions have it. */
const fullShare = 0.9;
const path = {key: 'p'} as StagePath;

/** Makes a reproducible source of numbers in [0, 1). */
export function makeRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Makes a streaming route of a priority. */
export function makeRoute(priority: number): Route {
  const kind = RouteKind.Streaming;
  return {name: `r${priority}`, kind, priority} as Partial<Route> as Route;
}

/** What became of the requests of a rank. */
export interface RankCount {
  came: number;
  served: number;
  refused: number;
}

/** The fleet that a replay runs. */
export interface ReplayOptions {
  readonly vms: number;
  readonly slots: number;
  readonly serviceMilliseconds: number;
  readonly waitMilliseconds: number;
  /** Whether VMs know of the ranks of others; otherwise as earlier builds. */
  readonly hasRanks: boolean;
  /** Whether requests leave room free for higher ranks; so by default. */
  readonly hasReserve?: boolean;
  readonly seed: number;
}

/** Replays arrivals by rank at VMs that share slots, in virtual time. */
export class RankFleet {
  now = 0;
  private used = 0;
  private readonly ends: number[] = [];
  private readonly queues: PathQueue[] = [];
  private readonly tables: WaiterTable[] = [];
  private readonly nextBeats: number[] = [];
  private readonly random: () => number;
  /** By the second of arrival, then by rank. */
  readonly counts: RankCount[][] = [];

  constructor(private readonly options: ReplayOptions) {
    this.random = makeRandom(options.seed);
    const {vms, slots} = options;
    const paths = {
      pick: (...args: Parameters<PathTable['pick']>) => {
        const fill = (this.used + 1) / slots;
        const reserved =
          options.hasReserve === false ? 0 : (args[2].reservedShare ?? 0);
        return fill <= fullShare - reserved ? path : undefined;
      },
      countSlots: () => slots,
      findReturn: () => undefined,
    } as Partial<PathTable> as PathTable;
    const quarantine = {find: () => undefined, recordSent: () => undefined};
    const getNow = () => this.now;
    for (let vm = 0; vm < vms; vm += 1) {
      const table = new WaiterTable(getNow, () => vms - 1);
      const routes = [0, 1, 2].map(makeRoute);
      table.applyConfiguration({routes, accounts: undefined});
      this.tables.push(table);
      const known = options.hasRanks ? table : undefined;
      this.queues.push(new PathQueue(paths, quarantine, getNow, known));
      this.nextBeats.push(this.random() * this.getPeriod());
    }
  }

  /** Runs the fleet; `getRates` gives the arrivals a second by rank. */
  run(end: number, getRates: (now: number) => readonly number[]): void {
    while (this.now < end) {
      this.now += tickMilliseconds;
      while (this.ends.length > 0 && this.ends[0]! <= this.now) {
        this.ends.shift();
        this.used -= 1;
      }
      this.sendBeats();
      const steps = this.options.vms;
      const first = Math.floor(this.random() * steps);
      for (let i = 0; i < steps; i += 1) {
        const vm = (first + i) % steps;
        this.queues[vm]!.run();
        for (const [rank, rate] of getRates(this.now).entries()) {
          const chance = (rate * tickMilliseconds) / 1000 / steps;
          if (this.random() < chance) this.add(vm, rank);
        }
      }
    }
  }

  /** Sums the counts of a rank over the seconds from `first` to `end`. */
  count(rank: number, first: number, end: number): RankCount {
    const sum = {came: 0, served: 0, refused: 0};
    for (let second = first; second < end; second += 1) {
      const {came, served, refused} = this.getCount(second, rank);
      sum.came += came;
      sum.served += served;
      sum.refused += refused;
    }
    return sum;
  }

  private getPeriod(): number {
    return computeHeartbeatPeriod(this.options.vms - 1);
  }

  private sendBeats(): void {
    for (const [vm, at] of this.nextBeats.entries()) {
      if (at > this.now) continue;
      this.nextBeats[vm] = at + this.getPeriod();
      const rows = this.tables[vm]!.listRows();
      for (const [peer, table] of this.tables.entries()) {
        if (peer !== vm) table.setPeer(`vm-${vm}`, rows);
      }
    }
  }

  private add(vm: number, rank: number): void {
    const count = this.getCount(Math.floor(this.now / 1000), rank);
    count.came += 1;
    const {waitMilliseconds, serviceMilliseconds} = this.options;
    this.queues[vm]!.add('s', {
      ...{isResumed: false, priority: rank, level: rank},
      ...{receivedAt: this.now, waitUntil: this.now + waitMilliseconds},
      ...{model: {} as ServiceModel, tokens: 1, request: '', traits: []},
      resolve: found => {
        if (found === undefined) {
          count.refused += 1;
          return;
        }
        count.served += 1;
        this.used += 1;
        this.ends.push(this.now + serviceMilliseconds);
      },
    });
  }

  private getCount(second: number, rank: number): RankCount {
    const ranks = (this.counts[second] ??= []);
    return (ranks[rank] ??= {came: 0, served: 0, refused: 0});
  }
}
