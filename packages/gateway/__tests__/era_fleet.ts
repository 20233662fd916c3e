import {
  createDelayWindow,
  createReopening,
  createStoreAccess,
  deriveReadSchedule,
} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {EndpointTable} from '../src/fleet/endpoint_table.js';
import type {EndpointProber} from '../src/fleet/endpoint_prober.js';
import {EraWatch} from '../src/following/era_watch.js';
import {StoreReplica} from '../src/following/store_replica.js';
import {TopicFollower} from '../src/following/topic_follower.js';
import {Metrics} from '../src/log/metrics.js';
import {Ownership} from '../src/orders/ownership.js';
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
  type Store,
} from '../src/ports/index.js';

const noParts = {
  acceptQuarantines: () => undefined,
} as Partial<PartMessages> as PartMessages;

/** What happens next in a generated run. */
export enum EraStep {
  Write = 'write',
  Setback = 'setback',
  Poll = 'poll',
  Answer = 'answer',
  Deliver = 'deliver',
  Heartbeat = 'heartbeat',
  Restart = 'restart',
  Regroup = 'regroup',
  /** The era is missing in answers to VMs that know one, or no longer. */
  Garble = 'garble',
}

interface Group {
  readonly owner: string;
  readonly generation: number;
}

interface Vm {
  readonly name: string;
  readonly eras: EraWatch;
  readonly replica: StoreReplica;
  readonly handler: PeerHandler;
  readonly follower: TopicFollower;
  readonly ownership: Ownership;
  /** Answers of the store that are under way to this VM. */
  readonly answers: Array<() => void>;
  readonly inbox: Array<{from: string; message: PeerMessage}>;
  token: number;
}

const stepMilliseconds = 700;
const resumeRounds = 12;

/** VMs with the real followers, replicas, messages and claims, and a fake store. */
export class EraFleet {
  readonly faults: string[] = [];
  private now = 0;
  private era = 1;
  private version = 0;
  private isGarbled = false;
  private records: KeyedRecord[] = [];
  private groups: Group[] = [{owner: '0', generation: 1}];
  private readonly vms: Vm[] = [];
  private readonly holders = new Map<number, string>();

  constructor(count: number) {
    this.write();
    for (let index = 0; index < count; index += 1) {
      this.vms.push(this.makeVm(index));
    }
  }

  /** Runs one step. */
  async run(step: {kind: EraStep; vm: number; amount: number}): Promise<void> {
    const {kind, amount} = step;
    const vm = this.vms[step.vm]!;
    this.now += stepMilliseconds;
    if (kind === EraStep.Write) this.write();
    if (kind === EraStep.Setback) this.setBack(amount);
    if (kind === EraStep.Regroup) this.swapOwner(vm.name);
    if (kind === EraStep.Garble) this.isGarbled = !this.isGarbled;
    if (kind === EraStep.Poll) this.poll(vm);
    if (kind === EraStep.Answer) vm.answers.shift()?.();
    if (kind === EraStep.Deliver) this.handleNext(vm);
    if (kind === EraStep.Heartbeat) this.sendHeartbeat(vm);
    if (kind === EraStep.Restart) this.vms[step.vm] = this.makeVm(step.vm);
    await this.check();
  }

  /** Lets all answers and messages arrive, and checks what is known then. */
  async resume(): Promise<void> {
    this.isGarbled = false;
    this.write();
    for (let round = 0; round < resumeRounds; round += 1) {
      for (const vm of this.vms) await this.resumeVm(vm);
    }
    for (const {name, replica} of this.vms) {
      const version = replica.findConfiguration()?.version;
      if (version !== this.version) {
        this.faults.push(`${name} has ${version}, not ${this.version}`);
      }
      const {next} = replica.topics[Topic.Configuration];
      if (next !== this.records.length) this.faults.push(`${name} at ${next}`);
    }
    const tokens = this.vms.map(vm => vm.ownership.findFencingToken());
    const held = tokens.filter(token => token !== undefined);
    const highest = Math.max(...this.holders.keys());
    if (held.length !== 1 || held[0] !== highest) {
      this.faults.push(`tokens ${held.join()} of ${highest}`);
    }
  }

  private async resumeVm(vm: Vm): Promise<void> {
    this.now += stepMilliseconds;
    this.poll(vm);
    await this.check();
    while (vm.answers.length > 0) {
      vm.answers.shift()!();
      await this.check();
    }
    while (vm.inbox.length > 0) this.handleNext(vm);
    this.sendHeartbeat(vm);
    await this.check();
  }

  private write(): void {
    this.version += 1;
    const offset = this.records.length;
    const value = Buffer.from(String(this.version));
    this.records.push({key: 'config', value, offset});
  }

  private setBack(count: number): void {
    const kept = Math.max(1, this.records.length - count);
    this.records = this.records.slice(0, kept);
    this.groups = this.groups.slice(0, Math.max(1, this.groups.length - count));
    this.era += 1;
  }

  private swapOwner(owner: string): void {
    const {generation} = this.groups.at(-1)!;
    this.groups.push({owner, generation: generation + 1});
  }

  private poll({follower, ownership}: Vm): void {
    follower.poll({reader: 0, live: 0});
    ownership.poll(0, false);
  }

  private handleNext(vm: Vm): void {
    const sent = vm.inbox.shift();
    if (sent !== undefined) {
      vm.handler.handle(makePeer(sent.from), sent.message);
    }
  }

  private sendHeartbeat({name, handler, eras}: Vm): void {
    this.sendAll(name, {
      kind: PeerMessageKind.Heartbeat,
      ...{phase: PeerPhase.Ready, isOwner: false, canRead: true},
      ...{sentAt: this.now, topics: handler.listAges(), loads: []},
      storeEra: eras.known,
      quarantines: [],
    });
  }

  private sendAll(from: string, message: PeerMessage): void {
    for (const {name, inbox} of this.vms) {
      if (name !== from) inbox.push({from, message});
    }
  }

  private async check(): Promise<void> {
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    for (const vm of this.vms) {
      const token = vm.ownership.findFencingToken();
      if (token === undefined) continue;
      if (token < vm.token) {
        this.faults.push(`${vm.name} token fell to ${token}`);
      }
      vm.token = token;
      const holder = this.holders.get(token) ?? vm.name;
      this.holders.set(token, holder);
      if (holder !== vm.name) {
        this.faults.push(`token ${token} of ${holder} and ${vm.name}`);
      }
    }
  }

  private makeVm(index: number): Vm {
    const name = String(index);
    const getNow = () => this.now;
    const log = () => undefined;
    const answers: Vm['answers'] = [];
    const eras = new EraWatch(log);
    const store = this.makeStore(name, answers, eras);
    const table = new EndpointTable(log, getNow);
    const schedule = deriveReadSchedule(2000);
    let applied = 0;
    const replica = new StoreReplica(
      {
        decodeConfiguration: value =>
          Result.ok({
            version: Number(value.toString()),
            routes: [],
          } as unknown as Configuration),
        decodeEndpoint: () => Result.err('unused'),
        configurationKey: 'config',
      },
      ...([table, schedule, 2000, log, getNow] as const),
      ({version}) => {
        if (version <= applied) this.faults.push(`${name} back to ${version}`);
        applied = version;
      },
    );
    const topic = Topic.Configuration;
    const handler = new PeerHandler(
      ...([replica, eras, table, {} as EndpointProber, noParts, log] as const),
      ({vm}, message) => {
        this.vms[Number(vm)]!.inbox.push({from: name, message});
      },
      message => this.sendAll(name, message),
      ...([() => true, () => 2, getNow, getNow] as const),
    );
    const follower = new TopicFollower(
      ...([replica.topics[topic], store, schedule] as const),
      ...([createStoreAccess(), eras] as const),
      {
        sendChanges: (from, changes, next, asOf) => {
          handler.sendChanges(topic, from, changes, next, asOf);
        },
        sendSnapshot: () => handler.sendSnapshotToAll(topic),
        sendReplacement: () => handler.sendSnapshotToAll(topic),
        handleUpdate: () => replica.checkOutage(),
      },
      ...([log, new Metrics(), getNow] as const),
    );
    const ownership = new Ownership(
      ...([store, name, eras, log, new Metrics(), getNow] as const),
    );
    return {
      ...{name, eras, replica, handler, follower, ownership, answers},
      ...{inbox: [], token: 0},
    };
  }

  /** A store that answers with its state at the call, later. */
  private makeStore(vm: string, answers: Vm['answers'], eras: EraWatch): Store {
    const getEra = () =>
      this.isGarbled && eras.known !== undefined ? undefined : this.era;
    const send = <Value>(value: Value) =>
      new Promise<Value>(resolve => answers.push(() => resolve(value)));
    return {
      readRecords: (_topic: Topic, from: number) => {
        const {records} = this;
        const era = getEra();
        const isKnown = from <= records.length;
        const expired = makeStoreError(StoreErrorCode.Expired, 'expired');
        return send(
          isKnown
            ? Result.ok({
                records: records.slice(from),
                end: records.length,
                era,
              })
            : Result.err(expired),
        );
      },
      readNewest: () => {
        const {records} = this;
        const era = getEra();
        const next = records.length;
        return send(Result.ok({records: records.slice(-1), next, era}));
      },
      joinOwnerGroup: () => {
        const {owner, generation} = this.groups.at(-1)!;
        const era = getEra();
        return send(Result.ok({generation, isOwner: owner === vm, era}));
      },
    } as Partial<Store> as Store;
  }
}

function makePeer(vm: string): Peer {
  return {
    ...{vm, startedAt: 0, peerAddress: '', callerAddress: ''},
    ...{linkMegabits: 1, rankWeight: 0, phase: PeerPhase.Ready},
    ...{isOwner: false, canRead: true, delays: createDelayWindow()},
    ...{lastMessageAt: 0, isReachable: true, readsUnheard: true},
    reopening: createReopening(),
  };
}
