import type {
  Ownership,
  RecordCommand,
  RecordInput,
  RecordMessage,
  RecordOptions,
  RecordState,
  RequestRecord,
} from '@zinniaspindle/decisions';
import {
  compareOwnership,
  decideRecords,
  createRecordState,
  RecordCommandKind,
  RecordEventKind,
} from '@zinniaspindle/decisions';
import type {
  DataCentreId,
  Deadline,
  RequestId,
  VmId,
} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import {getVmName} from './membership_host.js';
import {makeSeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';
import {VirtualNetwork} from './virtual_network.js';

const tickMilliseconds = 50;
const requestMilliseconds = 60_000;

/** How a fleet that keeps request records is set up. */
export interface RecordFleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly dataCentres: number;
  readonly lossShare: number;
  /** How long peers go on counting a dead VM as alive. */
  readonly detectionMilliseconds: number;
  readonly records: RecordOptions;
}

/** One VM with its record state and the streams it runs. */
interface RecordVm {
  readonly state: RecordState;
  readonly streams: Map<RequestId, Ownership>;
  readonly notFound: Set<RequestId>;
  readonly stored: Set<RequestId>;
  running: boolean;
}

/** Entry VMs that keep request records, in virtual time. */
export class RecordFleet {
  readonly clock = new VirtualClock(1_000_000);
  readonly network: VirtualNetwork;
  readonly vms = new Map<VmId, RecordVm>();
  private readonly random;

  constructor(readonly options: RecordFleetOptions) {
    this.random = makeSeededRandom(options.seed);
    this.network = new VirtualNetwork(this.clock, this.random, {
      lossShare: options.lossShare,
      leastDelayMilliseconds: 1,
      mostDelayMilliseconds: 15,
    });
    for (let i = 0; i < options.vms; i += 1) this.startVm(i);
    this.sendPeers();
  }

  /** Starts a request at a VM. */
  startRequest(at: VmId, request: RequestId, given = 0): void {
    const vm = this.vms.get(at)!;
    const record = this.makeRecord(request, at, given);
    vm.streams.set(request, {attempt: 1, owner: at});
    this.handle(at, {kind: RecordEventKind.StoreRequested, record});
  }

  /** Reconnects a caller to a VM, which is to answer by a deadline. */
  resumeRequest(at: VmId, request: RequestId, deadline: Deadline): void {
    const kind = RecordEventKind.ResumeRequested;
    if (this.vms.get(at)!.streams.has(request)) return;
    this.handle(at, {kind, request, deadline});
  }

  /** Ends a VM; peers learn of it after the detection time. */
  stopVmAtOnce(id: VmId): void {
    this.vms.get(id)!.running = false;
    this.clock.runAfter(this.options.detectionMilliseconds, () =>
      this.sendPeers(),
    );
  }

  /** Lists the running VMs that run a request. */
  listOwners(request: RequestId): VmId[] {
    const owners: VmId[] = [];
    for (const [id, vm] of this.vms) {
      if (vm.running && vm.streams.has(request)) owners.push(id);
    }
    return owners;
  }

  /** Lists the running VMs that hold a request's record for another. */
  listHolders(request: RequestId): VmId[] {
    const holders: VmId[] = [];
    for (const [id, vm] of this.vms) {
      if (vm.running && vm.state.held.has(request)) holders.push(id);
    }
    return holders;
  }

  /** Names the data centre of a VM. */
  getDataCentre(id: VmId): string {
    return this.vms.get(id)!.state.self.dataCentre;
  }

  private startVm(number: number): void {
    const id = getVmName(number);
    const dataCentre = toId<DataCentreId>(
      `dc${number % this.options.dataCentres}`,
    );
    const self = {vm: id, dataCentre};
    this.vms.set(id, {
      state: createRecordState(self, this.options.records),
      streams: new Map(),
      notFound: new Set(),
      stored: new Set(),
      running: true,
    });
    const runTick = () => {
      this.handle(id, {kind: RecordEventKind.Tick});
      this.clock.runAfter(tickMilliseconds, runTick);
    };
    this.clock.runAfter(this.random() * tickMilliseconds, runTick);
  }

  private sendPeers(): void {
    const peers = [...this.vms.values()]
      .filter(vm => vm.running)
      .map(vm => vm.state.self);
    for (const [id, vm] of this.vms) {
      const others = peers.filter(peer => peer !== vm.state.self);
      this.handle(id, {kind: RecordEventKind.PeersChanged, peers: others});
    }
  }

  private handle(id: VmId, event: RecordInput): void {
    const vm = this.vms.get(id)!;
    if (!vm.running) return;
    const {now} = this.clock;
    const result = decideRecords(vm.state, event, now, this.random);
    if (result.isErr) throw result.error;
    for (const command of result.value.commands) {
      this.runCommand(id, vm, command);
    }
  }

  private runCommand(id: VmId, vm: RecordVm, command: RecordCommand): void {
    switch (command.kind) {
      case RecordCommandKind.EndStream: {
        const stream = vm.streams.get(command.request);
        if (stream === undefined) return;
        if (compareOwnership(stream, command.winner) >= 0) return;
        vm.streams.delete(command.request);
        return;
      }
      case RecordCommandKind.NotFound:
        vm.notFound.add(command.request);
        return;
      case RecordCommandKind.Resume: {
        const {spec, attempt, owner} = command.record;
        vm.streams.set(spec.id, {attempt, owner});
        return;
      }
      case RecordCommandKind.Send:
        this.sendMessage(id, command.to, command.message);
        return;
      case RecordCommandKind.Stored:
        vm.stored.add(command.request);
    }
  }

  private sendMessage(from: VmId, to: VmId, message: RecordMessage): void {
    const kind = RecordEventKind.MessageReceived;
    this.network.send(from, to, () => this.handle(to, {kind, message}));
  }

  private makeRecord(
    request: RequestId,
    owner: VmId,
    given: number,
  ): RequestRecord {
    return {
      spec: {
        id: request,
        account: toId('lens-calls'),
        pipeline: toId('letters'),
        model: toId('demo'),
        layerCount: 24,
        generation: {prompt: 'renew', maxTokens: 40, sampling: {}},
        priority: 0,
        deadline: this.clock.now + requestMilliseconds,
      },
      owner,
      attempt: 1,
      chain: [],
      given: Array.from({length: given}, () => 'token'),
    };
  }
}
