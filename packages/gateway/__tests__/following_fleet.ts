import {Result} from 'true-myth';
import {
  createDelayWindow,
  createReopening,
  createStoreAccess,
  deriveReadSchedule,
  type ReadSchedule,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import type {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {EraWatch} from '../src/following/era_watch.js';
import {StoreReplica} from '../src/following/store_replica.js';
import {
  TopicFollower,
  type ReaderRanks,
} from '../src/following/topic_follower.js';
import {Metrics} from '../src/log/metrics.js';
import {computeRank, computeRankWeight} from '../src/peers/compute_rank.js';
import {computeHeartbeatPeriod} from '../src/peers/heartbeat_period.js';
import {encodeMessage} from '../src/peers/message_codec.js';
import {
  PeerMessageKind,
  PeerPhase,
  type PeerMessage,
} from '../src/peers/messages.js';
import type {PartMessages} from '../src/quarantine/part_messages.js';
import {PeerHandler} from '../src/peers/peer_handler.js';
import type {Peer} from '../src/peers/peer_mesh.js';
import {
  makeStoreError,
  StoreErrorCode,
  Topic,
  type Configuration,
  type KeyedRecord,
  type NewestRecords,
  type Store,
  type StoreError,
} from '../src/ports/index.js';

const noParts = {
  acceptQuarantines: () => undefined,
} as Partial<PartMessages> as PartMessages;

/** What a test injects; each function tells whether its fault is present now. */
export interface FleetFaults {
  /** The store refuses calls of a VM. */
  readonly isRefused: (vm: number, now: Instant) => boolean;
  /** A VM neither runs nor receives; messages to it wait until it runs again. */
  readonly isFrozen: (vm: number, now: Instant) => boolean;
  /** Messages between two VMs are lost. */
  readonly isCut: (from: number, to: number, now: Instant) => boolean;
  /** Milliseconds by which answers of the store reach a VM late. */
  readonly computeAnswerDelay: (vm: number, now: Instant) => number;
}

/** How a fleet is built. */
export interface FleetOptions {
  readonly vms: number;
  readonly boundMilliseconds: number;
  /** Bandwidth of a VM's link; the first two VMs have ten times as much. */
  readonly linkMegabits: number;
  readonly isFirstStart: boolean;
  /** Switches the guard off: heartbeats pass on ages heard from peers. */
  readonly passesAgesOn: boolean;
  readonly faults: Partial<FleetFaults>;
  /** Era of the store at first; undefined for a store without eras. */
  readonly firstEra?: number;
}

const tickMilliseconds = 40;
const rankMilliseconds = 200;
const storeMilliseconds = 4;
/** After this time beyond the wait of a read, its call fails. */
const callTimeoutMilliseconds = 1200;
const maxPauseMilliseconds = 100;
const bitsPerByte = 8;
const fastLinks = 2;
const fastLinkFactor = 10;

interface Event {
  readonly at: Instant;
  readonly run: () => void;
}

interface FleetVm {
  readonly index: number;
  readonly name: string;
  readonly linkMegabits: number;
  readonly replica: StoreReplica;
  readonly eras: EraWatch;
  readonly handler: PeerHandler;
  readonly followers: readonly TopicFollower[];
  readonly peers: Map<number, Peer>;
  readonly appliedAt: Map<number, Instant>;
  linkFreeAt: Instant;
  ranks: ReaderRanks;
}

/**
 * A fleet in virtual time: the real followers, replicas and message handlers,
 * with a fake store and links with a bandwidth and random delays.
 */
export class FollowingFleet {
  now: Instant = 0;
  storeCalls = 0;
  /** Bytes that VMs sent to each other. */
  sentBytes = 0;
  private readonly events: Event[] = [];
  private readonly vms: FleetVm[] = [];
  private readonly records: KeyedRecord[] = [];
  private era: number | undefined;
  private firstRetained = 0;
  private readonly waiting = new Set<() => void>();
  private readonly schedule: ReadSchedule;
  /** Whether a promise was resolved since the reactions ran. */
  private hasSettled = false;
  private seed = 7;

  constructor(private readonly options: FleetOptions) {
    this.schedule = deriveReadSchedule(options.boundMilliseconds);
    this.era = options.firstEra;
    for (let index = 0; index < options.vms; index += 1) {
      this.vms.push(this.makeVm(index));
    }
    for (const vm of this.vms) this.startVm(vm);
  }

  /** Writes a version of the configuration, of a size in bytes. */
  publish(version: number, bytes: number): void {
    // Text like a configuration's: lines that differ in a few characters.
    let text = `${version}\n`;
    for (let line = 0; text.length < bytes; line += 1) {
      const id = (line * 2654435761) % 4294967296;
      text += `{"name":"r${id.toString(36)}","timeoutMs":1500,"service":"a"}\n`;
    }
    const offset = this.records.length;
    this.records.push({key: 'config', value: Buffer.from(text), offset});
    for (const resolve of [...this.waiting]) resolve();
  }

  /** Comes back from an older copy, which lacks the last records. */
  resumeWithout(count: number): void {
    this.records.length = Math.max(1, this.records.length - count);
    this.era = (this.era ?? 0) + 1;
    for (const resolve of [...this.waiting]) resolve();
  }

  /** Deletes all records but the newest of each key. */
  dropHistory(): void {
    this.firstRetained = this.records.length;
  }

  /** Lists the milliseconds from an instant until each VM applied a version. */
  listDelays(version: number, since: Instant): number[] {
    return this.vms.map(vm => (vm.appliedAt.get(version) ?? Infinity) - since);
  }

  /** Runs until an instant. */
  async runUntil(end: Instant): Promise<void> {
    for (;;) {
      const next = this.events[0];
      if (next === undefined || next.at > end) break;
      this.takeFirst();
      this.now = Math.max(this.now, next.at);
      next.run();
      if (this.hasSettled) await this.runReactions();
    }
    this.now = end;
  }

  /** Runs the reactions to answers of the store before the next event. */
  private async runReactions(): Promise<void> {
    this.hasSettled = false;
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  }

  private pick(): number {
    this.seed = (this.seed * 1103515245 + 12345) % 2147483648;
    return this.seed / 2147483648;
  }

  private addEvent(at: Instant, run: () => void): void {
    const {events} = this;
    events.push({at, run});
    let child = events.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (events[parent]!.at <= events[child]!.at) break;
      [events[parent], events[child]] = [events[child]!, events[parent]!];
      child = parent;
    }
  }

  private takeFirst(): void {
    const {events} = this;
    const last = events.pop()!;
    if (events.length === 0) return;
    events[0] = last;
    let parent = 0;
    for (;;) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        const isLess =
          child < events.length && events[child]!.at < events[least]!.at;
        if (isLess) least = child;
      }
      if (least === parent) return;
      [events[parent], events[least]] = [events[least]!, events[parent]!];
      parent = least;
    }
  }

  private isFrozen(vm: number): boolean {
    return this.options.faults.isFrozen?.(vm, this.now) ?? false;
  }

  private makeVm(index: number): FleetVm {
    const getNow = () => this.now;
    const log = () => undefined;
    const table = new EndpointTable(log, getNow);
    const appliedAt = new Map<number, Instant>();
    const replica = new StoreReplica(
      {
        decodeConfiguration: value => {
          const [version] = value.toString('utf8', 0, 20).split('\n');
          const routes: Configuration['routes'] = [];
          const configuration = {version: Number(version), routes};
          return Result.ok(configuration as unknown as Configuration);
        },
        decodeEndpoint: () => Result.err('unused'),
        configurationKey: 'config',
      },
      table,
      this.schedule,
      this.options.boundMilliseconds,
      log,
      getNow,
      ({version}) => appliedAt.set(version, this.now),
    );
    const eras = new EraWatch(log);
    const handler = new PeerHandler(
      replica,
      eras,
      table,
      {} as EndpointProber,
      noParts,
      log,
      (peer, message) => this.send(index, Number(peer.vm), message),
      message => this.sendAll(index, message),
      () => true,
      () => this.options.vms - 1,
      getNow,
      getNow,
    );
    const topic = Topic.Configuration;
    const follower = new TopicFollower(
      replica.topics[topic],
      this.makeStore(index),
      this.schedule,
      createStoreAccess(),
      eras,
      {
        sendChanges: (from, changes, next, asOf) => {
          handler.sendChanges(topic, from, changes, next, asOf);
        },
        sendSnapshot: () => {
          if (this.options.isFirstStart) handler.sendSnapshotToAll(topic);
        },
        sendReplacement: () => handler.sendSnapshotToAll(topic),
        handleUpdate: () => replica.checkOutage(),
      },
      log,
      new Metrics(),
      getNow,
    );
    const isFast = index < fastLinks;
    const linkMegabits =
      this.options.linkMegabits * (isFast ? fastLinkFactor : 1);
    return {
      ...{index, name: String(index), linkMegabits, replica, eras, handler},
      ...{followers: [follower], peers: new Map<number, Peer>(), appliedAt},
      ...{linkFreeAt: 0, ranks: {reader: 0, live: 0}},
    };
  }

  private startVm(vm: FleetVm): void {
    const {vms} = this.options;
    for (let other = 0; other < vms; other += 1) {
      if (other === vm.index) continue;
      vm.peers.set(other, this.makePeer(other));
    }
    const period = computeHeartbeatPeriod(vms - 1);
    const startAt = this.pick() * 300;
    this.startPeriodic(startAt, rankMilliseconds, () => this.updateRanks(vm));
    // As in Gateway, a VM knows its peers by then.
    const firstTickAt = startAt + 600;
    this.startPeriodic(firstTickAt, tickMilliseconds, () => this.runTick(vm));
    const firstBeatAt = startAt + this.pick() * period;
    this.startPeriodic(firstBeatAt, period, () => this.sendHeartbeat(vm));
  }

  private makePeer(index: number): Peer {
    return {
      vm: String(index),
      startedAt: 0,
      peerAddress: '',
      callerAddress: '',
      linkMegabits:
        this.options.linkMegabits * (index < fastLinks ? fastLinkFactor : 1),
      rankWeight: computeRankWeight(String(index)),
      phase: PeerPhase.Ready,
      isOwner: false,
      canRead: true,
      delays: createDelayWindow(),
      lastMessageAt: 0,
      isReachable: true,
      readsUnheard: true,
      reopening: createReopening(),
    };
  }

  private startPeriodic(at: Instant, period: number, run: () => void): void {
    this.addEvent(at, () => {
      run();
      this.startPeriodic(this.now + period, period, run);
    });
  }

  private updateRanks(vm: FleetVm): void {
    const {name, linkMegabits} = vm;
    const rankWeight = computeRankWeight(name);
    const own = {vm: name, linkMegabits, rankWeight};
    const live = [...vm.peers.values()];
    const readers = live.filter(({canRead}) => canRead);
    const [follower] = vm.followers;
    vm.ranks = {
      reader: follower!.canRead() ? computeRank(own, readers) : undefined,
      live: computeRank(own, live),
    };
  }

  private runTick(vm: FleetVm): void {
    if (this.isFrozen(vm.index)) return;
    const [follower] = vm.followers;
    const {ranks} = vm;
    const isEmpty = follower!.state.next === undefined;
    // On a first start only the first VM reads, as Gateway.canReadTopic decides.
    if (isEmpty && this.options.isFirstStart && ranks.live > 0) return;
    follower!.poll(ranks);
  }

  private sendHeartbeat(vm: FleetVm): void {
    if (this.isFrozen(vm.index)) return;
    const topics = vm.handler.listAges().map(age => {
      if (!this.options.passesAgesOn) return age;
      const {asOf} = vm.replica.topics[Topic.Configuration];
      return {...age, ageMilliseconds: Math.ceil(this.now - asOf)};
    });
    this.sendAll(vm.index, {
      kind: PeerMessageKind.Heartbeat,
      phase: PeerPhase.Ready,
      isOwner: false,
      canRead:
        this.options.passesAgesOn ||
        vm.followers.every(follower => follower.canRead()),
      sentAt: this.now,
      topics,
      loads: [],
      storeEra: vm.eras.known,
      quarantines: [],
    });
  }

  private sendAll(from: number, message: PeerMessage): void {
    const {length} = encodeMessage(message);
    for (const to of this.vms[from]!.peers.keys()) {
      this.sendOver(from, to, message, length);
    }
  }

  private send(from: number, to: number, message: PeerMessage): void {
    this.sendOver(from, to, message, encodeMessage(message).length);
  }

  private sendOver(
    from: number,
    to: number,
    message: PeerMessage,
    bytes: number,
  ): void {
    if (this.options.faults.isCut?.(from, to, this.now) ?? false) return;
    this.sentBytes += bytes;
    const sender = this.vms[from]!;
    const bytesPerMillisecond = (sender.linkMegabits * 1000) / bitsPerByte;
    const start = Math.max(this.now, sender.linkFreeAt);
    sender.linkFreeAt = start + bytes / bytesPerMillisecond;
    // A VM that has used up its share of a core runs again after up to 0.1 s.
    const delay = 1 + this.pick() ** 2 * maxPauseMilliseconds;
    this.accept(sender.linkFreeAt + delay, from, to, message);
  }

  private accept(
    at: Instant,
    from: number,
    to: number,
    message: PeerMessage,
  ): void {
    this.addEvent(at, () => {
      if (this.isFrozen(to)) {
        this.accept(this.now + tickMilliseconds, from, to, message);
        return;
      }
      const vm = this.vms[to]!;
      const peer = vm.peers.get(from)!;
      if (message.kind === PeerMessageKind.Heartbeat) {
        peer.canRead = message.canRead;
      }
      if (this.options.passesAgesOn) peer.delays.offsets.length = 0;
      vm.handler.handle(peer, message);
    });
  }

  private makeStore(vm: number): Store {
    const answer = <Value>(
      isRefused: boolean,
      at: Instant,
      timeoutAt: Instant,
      makeValue: () => Result<Value, StoreError>,
    ) =>
      new Promise<Result<Value, StoreError>>(resolve => {
        const error = makeStoreError(StoreErrorCode.Unavailable, 'refused');
        const resolveAwake = (value: Result<Value, StoreError>) => {
          if (this.isFrozen(vm)) {
            this.addEvent(this.now + 1, () => resolveAwake(value));
            return;
          }
          this.hasSettled = true;
          resolve(this.now >= timeoutAt ? Result.err(error) : value);
        };
        this.addEvent(at, () => {
          const value = isRefused
            ? Result.err<Value, StoreError>(error)
            : makeValue();
          const {computeAnswerDelay} = this.options.faults;
          const delay = computeAnswerDelay?.(vm, this.now) ?? 0;
          const arriveAt = Math.min(this.now + delay, timeoutAt);
          this.addEvent(arriveAt, () => resolveAwake(value));
        });
      });
    const isRefused = () => {
      this.storeCalls += 1;
      return this.options.faults.isRefused?.(vm, this.now) ?? false;
    };
    return {
      readRecords: async (_topic, from, waitMilliseconds) => {
        const refused = isRefused();
        const timeoutAt = this.now + waitMilliseconds + callTimeoutMilliseconds;
        const isEmpty = from >= this.records.length && !refused;
        if (isEmpty && waitMilliseconds > 0) await this.wait(waitMilliseconds);
        const answerAt = this.now + storeMilliseconds;
        return answer(refused, answerAt, timeoutAt, () =>
          from < this.firstRetained || from > this.records.length
            ? Result.err(makeStoreError(StoreErrorCode.Expired, 'expired'))
            : Result.ok({
                records: this.records.slice(from),
                end: this.records.length,
                era: this.era,
              }),
        );
      },
      readNewest: () => {
        const refused = isRefused();
        const answerAt = this.now + storeMilliseconds;
        const timeoutAt = this.now + callTimeoutMilliseconds;
        return answer(refused, answerAt, timeoutAt, () => {
          const newest = this.records.at(-1);
          const records = newest === undefined ? [] : [newest];
          const next = this.records.length;
          return Result.ok<NewestRecords, StoreError>({
            ...{records, next, era: this.era},
          });
        });
      },
    } as Partial<Store> as Store;
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const resolveWait = () => {
        this.waiting.delete(resolveWait);
        this.hasSettled = true;
        resolve();
      };
      this.waiting.add(resolveWait);
      this.addEvent(this.now + milliseconds, resolveWait);
    });
  }
}
