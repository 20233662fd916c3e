import type {
  DirectoryOptions,
  DrainOptions,
  DirectoryEntry,
  LeavingSource,
  MembershipCommand,
  MembershipOptions,
} from '@zinniaspindle/decisions';
import {
  defaultDirectoryOptions,
  defaultDrainOptions,
  defaultMembershipOptions,
  DrainEventKind,
  MembershipCommandKind,
  MembershipEventKind,
  PeerState,
} from '@zinniaspindle/decisions';
import type {
  DataCentreId,
  Deadline,
  EndpointId,
  Instant,
  ListedVm,
  Random,
  VmId,
} from '@zinniaspindle/shared';
import {ListedPurpose, ListedState, toId} from '@zinniaspindle/shared';
import {LaggingList} from './lagging_list.js';
import {makeSeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';
import {VirtualNetwork} from './virtual_network.js';
import {MembershipVm} from './membership_vm.js';

const listReadMilliseconds = 1000;
const dataCentreCount = 3;

/** How a virtual fleet is set up. */
export interface FleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly listLagMilliseconds: number;
  readonly lossShare: number;
  readonly membership: MembershipOptions;
  readonly directory: DirectoryOptions;
  readonly drain: DrainOptions;
  /** States of a peer that count as held dead. */
  readonly deadStates: readonly PeerState[];
}

/** Options of a fleet of today's size. */
export const defaultFleetOptions: FleetOptions = {
  seed: 1,
  vms: 9,
  listLagMilliseconds: 5000,
  lossShare: 0.01,
  membership: defaultMembershipOptions,
  directory: defaultDirectoryOptions,
  drain: defaultDrainOptions,
  deadStates: [PeerState.Dead],
};

/** An answer of some VM's directory, as a caller keeps it. */
export interface GivenAnswer {
  readonly at: Instant;
  readonly by: VmId;
  readonly entry: DirectoryEntry;
  readonly useUntil: Deadline;
}

/** A planned stop that ended. */
export interface EndedStop {
  readonly vm: VmId;
  readonly startedAt: Instant;
  readonly leavingAt: Instant;
  readonly endedAt: Instant;
  readonly cut: number;
}

/** Entry VMs in virtual time, with a network and a VM list that fail. */
export class MembershipFleet {
  readonly clock = new VirtualClock(1_000_000);
  readonly random: Random;
  readonly network: VirtualNetwork;
  readonly list: LaggingList;
  readonly vms = new Map<VmId, MembershipVm>();
  readonly answers: GivenAnswer[] = [];
  readonly stops: EndedStop[] = [];
  /** When a fault last touched a VM. */
  readonly disturbedAt = new Map<VmId, Instant>();
  readonly killedAt = new Map<VmId, Instant>();

  constructor(readonly options: FleetOptions) {
    this.random = makeSeededRandom(options.seed);
    this.network = new VirtualNetwork(this.clock, this.random, {
      lossShare: options.lossShare,
      leastDelayMilliseconds: 1,
      mostDelayMilliseconds: 20,
    });
    this.list = new LaggingList(options.listLagMilliseconds);
    for (let i = 0; i < options.vms; i += 1) {
      this.list.setVm(this.makeListed(getVmName(i)), 0);
    }
    for (let i = 0; i < options.vms; i += 1) this.startVm(getVmName(i));
  }

  /** Starts a VM, or a new run of one that was killed. */
  startVm(id: VmId): MembershipVm {
    const {now} = this.clock;
    const listed = this.makeListed(id);
    this.list.setVm(listed, now);
    const identity = {
      vm: id,
      startedAt: now,
      peerAddress: listed.peerAddress!,
      address: listed.address,
      dataCentre: listed.dataCentre,
    };
    const vm = new MembershipVm(identity, this.getSurroundings(), now);
    this.vms.set(id, vm);
    this.killedAt.delete(id);
    this.recordDisturbance(id);
    this.runEvery(vm, this.options.membership.tickMilliseconds, () =>
      vm.handleTick(this.clock.now),
    );
    this.runEvery(vm, listReadMilliseconds, () => this.readList(vm));
    const period = this.options.membership.digestPeriodMilliseconds;
    this.runEvery(vm, period, () => vm.sendDigest(this.clock.now));
    return vm;
  }

  /** Ends a run without warning; the list learns of it. */
  stopVmAtOnce(id: VmId): void {
    const vm = this.vms.get(id);
    if (vm === undefined || !vm.running) return;
    vm.running = false;
    vm.listening = false;
    this.killedAt.set(id, this.clock.now);
    this.recordDisturbance(id);
    this.list.removeVm(id, this.clock.now);
  }

  /** Asks a VM for a planned stop. */
  stopVm(id: VmId, deadline: Deadline, inFlight: number): void {
    const vm = this.vms.get(id);
    if (vm === undefined || !vm.running) return;
    const {now} = this.clock;
    vm.handleDrain(
      {kind: DrainEventKind.InFlightChanged, count: inFlight},
      now,
    );
    vm.handleDrain({kind: DrainEventKind.StopRequested, deadline}, now);
  }

  /** Tells whether a VM was asked for a planned stop. */
  isStopping(id: VmId): boolean {
    return this.vms.get(id)?.leavingAt !== undefined;
  }

  /** Keeps a VM from running until an instant; messages wait. */
  stopVmUntil(id: VmId, until: Deadline): void {
    const vm = this.vms.get(id);
    if (vm === undefined || !vm.running) return;
    vm.pausedUntil = Math.max(vm.pausedUntil, until);
    this.recordDisturbance(id, until);
    this.clock.runAt(until, () => this.resumeVm(vm));
  }

  /** Cuts or opens all links of a VM. */
  setVmLinks(id: VmId, open: boolean): void {
    this.network.setVm(id, open);
    const paused = this.vms.get(id)?.pausedUntil ?? 0;
    const calm = Math.max(this.clock.now, paused);
    this.disturbedAt.set(id, open ? calm : Infinity);
  }

  /** Cuts or opens one link. */
  setLink(a: VmId, b: VmId, open: boolean): void {
    this.network.setLink(a, b, open);
  }

  /** Tells one VM that an endpoint leaves, or no longer does. */
  setEndpointLeaving(
    at: VmId,
    endpoint: EndpointId,
    source: LeavingSource,
    leaving: boolean,
  ): void {
    const kind = leaving
      ? MembershipEventKind.EndpointLeavingSeen
      : MembershipEventKind.EndpointStayingSeen;
    const time = this.clock.now;
    this.vms.get(at)!.handleMembership({kind, endpoint, source, time}, time);
  }

  /** Asks a VM for entries, as a caller would, and keeps the answer. */
  fetchEntries(at: VmId, dataCentre?: DataCentreId): GivenAnswer[] {
    const vm = this.vms.get(at);
    const {now} = this.clock;
    if (vm === undefined || !vm.listening || now < vm.pausedUntil) return [];
    const {entries, useUntil} = vm.listEntries(dataCentre, now);
    const given = entries.map(entry => ({at: now, by: at, entry, useUntil}));
    this.answers.push(...given);
    return given;
  }

  /** Lists the runs that are neither ended nor paused. */
  listRunning(): MembershipVm[] {
    const {now} = this.clock;
    return [...this.vms.values()].filter(
      vm => vm.running && now >= vm.pausedUntil,
    );
  }

  private getSurroundings() {
    return {
      random: this.random,
      options: this.options,
      send: (from: MembershipVm, command: MembershipCommand) =>
        this.sendMessage(from, command),
      exit: (vm: MembershipVm, cut: number) => this.recordExit(vm, cut),
    };
  }

  private sendMessage(from: MembershipVm, command: MembershipCommand): void {
    if (command.kind !== MembershipCommandKind.Send) return;
    const sender = from.identity.vm;
    const id = toId<VmId>(command.to.split(':')[0]!);
    const {message} = command;
    const kind = MembershipEventKind.MessageReceived;
    this.network.send(sender, id, () => {
      const to = this.vms.get(id);
      if (to === undefined || !to.running) return;
      const event = {kind, from: from.identity.peerAddress, message} as const;
      if (this.clock.now < to.pausedUntil) to.inbox.push(event);
      else to.handleMembership(event, this.clock.now);
    });
  }

  private resumeVm(vm: MembershipVm): void {
    const {now} = this.clock;
    if (!vm.running || now < vm.pausedUntil) return;
    // Timers run before waiting messages, as in the event loop.
    vm.handleTick(now);
    for (const event of vm.inbox.splice(0)) {
      if (vm.running) vm.handleMembership(event, now);
    }
  }

  private runEvery(
    vm: MembershipVm,
    milliseconds: number,
    run: () => void,
  ): void {
    const runOnce = () => {
      if (!vm.running) return;
      const paused = this.clock.now < vm.pausedUntil;
      if (!paused) run();
      const next = paused ? vm.pausedUntil + 1 - this.clock.now : milliseconds;
      this.clock.runAfter(next, runOnce);
    };
    this.clock.runAfter(this.random() * milliseconds, runOnce);
  }

  private readList(vm: MembershipVm): void {
    const {now} = this.clock;
    const vms = this.list.read(now);
    const event =
      vms === undefined
        ? {kind: MembershipEventKind.ListFailed as const, detail: 'down'}
        : {kind: MembershipEventKind.ListRead as const, vms};
    vm.handleMembership(event, now);
  }

  private recordExit(vm: MembershipVm, cut: number): void {
    const {now} = this.clock;
    const {vm: id, startedAt} = vm.identity;
    const leavingAt = vm.leavingAt ?? now;
    vm.running = false;
    vm.listening = false;
    this.stops.push({vm: id, startedAt, leavingAt, endedAt: now, cut});
    this.list.removeVm(id, now);
    this.recordDisturbance(id);
  }

  private recordDisturbance(id: VmId, until = this.clock.now): void {
    const before = this.disturbedAt.get(id) ?? 0;
    this.disturbedAt.set(id, Math.max(before, until, this.clock.now));
  }

  private makeListed(id: VmId): ListedVm {
    const number = Number(id.slice(1));
    return {
      id,
      purpose: ListedPurpose.Entry,
      state: ListedState.Live,
      dataCentre: toId(`dc${number % dataCentreCount}`),
      address: `${id}:80`,
      peerAddress: `${id}:70`,
    };
  }
}

/** Names the VM with a number. */
export function getVmName(number: number): VmId {
  return toId(`v${number}`);
}
