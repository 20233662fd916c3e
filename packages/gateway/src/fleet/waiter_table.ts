import {
  computeRequestRank,
  describeDemands,
  findLevel,
  hashText,
  listRanks,
  maxDemandCount,
  maxDemandRows,
  maxLevels,
  mergeDemands,
  type DemandRow,
  type PeerWaits,
  type RankDemand,
  type RequestRank,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {RankMetric, type Metrics} from '../log/metrics.js';
import {computeHeartbeatPeriod} from '../peers/heartbeat_period.js';
import {
  RouteKind,
  type Account,
  type Configuration,
  type Route,
} from '../ports/index.js';
import {SecondCounter} from './second_counter.js';

/** Heartbeat periods after which the rows of a peer count as absent. */
const maxAgePeriods = 2;
/**
 * The sums over 131 peers take 0.06 ms, and 80 heartbeats come in a second;
 * what they report is up to 1.6 s old.
 */
const sumMilliseconds = 100;

interface OwnDemand {
  waiting: number;
  readonly placed: SecondCounter;
  readonly arrivals: SecondCounter;
  readonly refused: SecondCounter;
}

interface PeerRows {
  readonly heardAt: Instant;
  readonly rows: readonly DemandRow[];
}

/** The demand of all peers, by the hash of a service and by level. */
interface PeerTotals {
  readonly computedAt: Instant;
  /** When the first rows among them are too old. */
  readonly until: Instant;
  readonly services: ReadonlyMap<number, readonly RankDemand[]>;
}

/** What a request that waits is counted by. */
export interface CountedWaiter {
  readonly isResumed: boolean;
  readonly level?: number | undefined;
}

/**
 * The requests that wait for paths in the whole fleet, by service and rank.
 * Where the configuration has one rank, nothing is sent or known of peers.
 */
export class WaiterTable {
  private ranks: readonly RequestRank[] = [];
  private readonly own = new Map<string, readonly OwnDemand[]>();
  private readonly peers = new Map<string, PeerRows>();
  private totals: PeerTotals | undefined;
  /** Whether rows have changed since the totals were computed. */
  private hasChanged = false;

  constructor(
    private readonly getNow: () => Instant,
    private readonly countPeers: () => number,
    private readonly metrics?: Metrics,
  ) {}

  /** Derives the ranks that streams of a configuration can have. */
  applyConfiguration({
    routes,
    accounts,
  }: Pick<Configuration, 'routes' | 'accounts'>): void {
    const streaming = routes.filter(({kind}) => kind === RouteKind.Streaming);
    this.ranks = listRanks(streaming, accounts?.values() ?? []);
  }

  /** Counts the levels of the configuration; one if all requests have one rank. */
  countLevels(): number {
    return Math.max(1, this.ranks.length);
  }

  /** Finds the rank and the level of a request. */
  findRank(
    account: Account | undefined,
    route: Pick<Route, 'priority'>,
  ): RequestRank & {readonly level: number} {
    const rank = computeRequestRank(account, route);
    return {...rank, level: findLevel(this.ranks, rank)};
  }

  /** Records a request that came or waits again. */
  recordArrival(service: string, waiter: CountedWaiter): void {
    const own = this.getOwn(service, waiter);
    own.waiting += 1;
    own.arrivals.add(this.getNow());
    this.recordWaiting(waiter);
  }

  /** Records that a request got a place. */
  recordPlaced(service: string, waiter: CountedWaiter): void {
    this.getOwn(service, waiter).placed.add(this.getNow());
    this.recordLeft(service, waiter);
    this.metrics?.countRank(RankMetric.Placed, getLevel(waiter));
  }

  /** Records that a request was refused for want of a place. */
  recordRefused(service: string, waiter: CountedWaiter): void {
    this.getOwn(service, waiter).refused.add(this.getNow());
    this.recordLeft(service, waiter);
    this.metrics?.countRank(RankMetric.Refused, getLevel(waiter));
  }

  /** Records that a request waits no longer. */
  recordLeft(service: string, waiter: CountedWaiter): void {
    const own = this.getOwn(service, waiter);
    own.waiting = Math.max(0, own.waiting - 1);
    this.recordWaiting(waiter);
  }

  private recordWaiting(waiter: CountedWaiter): void {
    const level = getLevel(waiter);
    let waiting = 0;
    for (const levels of this.own.values()) waiting += levels[level]!.waiting;
    this.metrics?.setRank(RankMetric.Waiting, level, waiting);
  }

  /** Lists the demand at this VM for its peers, of the first levels first. */
  listRows(): DemandRow[] {
    const rows: DemandRow[] = [];
    if (this.ranks.length <= 1) return rows;
    for (let level = 0; level < maxLevels; level += 1) {
      for (const [service, levels] of this.own) {
        const demand = this.readOwn(levels[level]!);
        const counts = [
          demand.waiting,
          demand.placed,
          demand.arrivals,
          demand.refused,
        ].map(count => Math.min(maxDemandCount, count));
        if (counts.every(count => count === 0)) continue;
        const [waiting, placed, arrivals, refused] = counts;
        const hash = hashText(service);
        rows.push([hash, level, waiting!, placed!, arrivals!, refused!]);
        if (rows.length === maxDemandRows) return rows;
      }
    }
    return rows;
  }

  /** Replaces the rows of a peer. */
  setPeer(vm: string, rows: readonly DemandRow[]): void {
    if (rows.length === 0) return this.removePeer(vm);
    this.peers.set(vm, {heardAt: this.getNow(), rows});
    this.hasChanged = true;
  }

  /** Removes the rows of a peer. */
  removePeer(vm: string): void {
    if (this.peers.delete(vm)) this.hasChanged = true;
  }

  /**
   * Finds the demand of the whole fleet for a service, by level; undefined
   * without news of peers, and where all requests have one rank.
   */
  findFleet(service: string): readonly RankDemand[] | undefined {
    const peers = this.findPeers(service);
    const own = this.own.get(service);
    if (peers === undefined || own === undefined) return peers;
    return peers.map((demand, level) => {
      const {waiting, placed, arrivals, refused} = this.readOwn(own[level]!);
      return {
        waiting: demand.waiting + waiting,
        placed: demand.placed + placed,
        arrivals: demand.arrivals + arrivals,
        refused: demand.refused + refused,
      };
    });
  }

  /** Finds what goes before a new request of a level at the peers. */
  findPeerWaits(service: string, level: number): PeerWaits | undefined {
    const demands = this.findPeers(service);
    if (demands === undefined) return undefined;
    const {higher, equal, placed} = describeDemands(demands, level);
    let refused = 0;
    for (const demand of demands) refused += demand.refused;
    return {ahead: higher + equal, placed, refused};
  }

  private findPeers(service: string): readonly RankDemand[] | undefined {
    if (this.ranks.length <= 1 || this.peers.size === 0) return undefined;
    const now = this.getNow();
    if (this.totals === undefined || this.isOutdated(this.totals, now)) {
      this.totals = this.computeTotals(now);
      this.hasChanged = false;
    }
    return this.totals.services.get(hashText(service));
  }

  private isOutdated({computedAt, until}: PeerTotals, now: Instant): boolean {
    if (now > until) return true;
    return this.hasChanged && now - computedAt >= sumMilliseconds;
  }

  private computeTotals(now: Instant): PeerTotals {
    const maxAge = maxAgePeriods * computeHeartbeatPeriod(this.countPeers());
    const reported = new Map<number, RankDemand[][]>();
    let until: Instant = Infinity;
    for (const [vm, {heardAt, rows}] of this.peers) {
      if (now > heardAt + maxAge) {
        this.peers.delete(vm);
        continue;
      }
      until = Math.min(until, heardAt + maxAge);
      for (const [hash, level, waiting, placed, arrivals, refused] of rows) {
        let levels = reported.get(hash);
        if (levels === undefined) {
          levels = Array.from({length: maxLevels}, () => []);
          reported.set(hash, levels);
        }
        levels[level]!.push({waiting, placed, arrivals, refused});
      }
    }
    const services = new Map<number, readonly RankDemand[]>();
    for (const [hash, levels] of reported) {
      services.set(hash, levels.map(mergeDemands));
    }
    return {computedAt: now, until, services};
  }

  private readOwn({waiting, ...counters}: OwnDemand): RankDemand {
    const now = this.getNow();
    return {
      waiting,
      placed: counters.placed.count(now),
      arrivals: counters.arrivals.count(now),
      refused: counters.refused.count(now),
    };
  }

  private getOwn(service: string, waiter: CountedWaiter): OwnDemand {
    let levels = this.own.get(service);
    if (levels === undefined) {
      levels = Array.from({length: maxLevels}, () => ({
        waiting: 0,
        placed: new SecondCounter(),
        arrivals: new SecondCounter(),
        refused: new SecondCounter(),
      }));
      this.own.set(service, levels);
    }
    return levels[getLevel(waiter)]!;
  }
}

/** Cut streams go before all new ones and are counted with the first level. */
function getLevel({isResumed, level = 0}: CountedWaiter): number {
  return isResumed ? 0 : level;
}
