import type {
  DirectoryInput,
  DirectoryState,
  DrainInput,
  DrainState,
  EntriesResponse,
  MembershipCommand,
  MembershipInput,
  MembershipState,
  OwnIdentity,
  PeerState,
  VmDigest,
} from '@zinniaspindle/decisions';
import {
  decideDirectory,
  decideDrain,
  decideMembership,
  DirectoryCommandKind,
  DirectoryEventKind,
  DrainCommandKind,
  DrainEventKind,
  DrainPhase,
  makeDirectoryState,
  makeDrainState,
  makeMembershipState,
  MembershipCommandKind,
  MembershipEventKind,
} from '@zinniaspindle/decisions';
import type {
  DataCentreId,
  Deadline,
  EndpointId,
  Instant,
  LogEvent,
  Random,
  VmId,
} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import type {FleetOptions} from './membership_host.js';

/** What a virtual VM needs of the world around it. */
export interface VmSurroundings {
  readonly random: Random;
  readonly options: FleetOptions;
  readonly send: (from: MembershipVm, command: MembershipCommand) => void;
  readonly exit: (vm: MembershipVm, cut: number) => void;
}

/** One run of one entry VM: membership, directory and planned stop. */
export class MembershipVm {
  readonly membership: MembershipState;
  readonly directory: DirectoryState;
  readonly drain: DrainState;
  readonly logEvents: LogEvent[] = [];
  /** Endpoints that the host was told to be leaving, and since when. */
  readonly leavingEndpoints = new Map<EndpointId, Instant>();
  /** Peers that the host holds dead, and since when. */
  readonly deadSince = new Map<VmId, Instant>();
  readonly inbox: MembershipInput[] = [];
  running = true;
  listening = true;
  pausedUntil: Deadline = 0;
  leavingAt: Instant | undefined;
  private answer: EntriesResponse | undefined;

  constructor(
    readonly identity: OwnIdentity,
    private readonly around: VmSurroundings,
    now: Instant,
  ) {
    const {vm, address, dataCentre} = identity;
    const {options} = around;
    const own = {vm, address, dataCentre};
    this.membership = makeMembershipState(identity, options.membership, now);
    this.directory = makeDirectoryState(own, options.directory);
    this.drain = makeDrainState(options.drain);
  }

  /** Runs a membership event and everything that follows from it. */
  handleMembership(event: MembershipInput, now: Instant): void {
    const {random} = this.around;
    const result = decideMembership(this.membership, event, now, random);
    if (result.isErr) throw result.error;
    this.logEvents.push(...result.value.logEvents);
    for (const command of result.value.commands) this.runCommand(command, now);
  }

  /** Runs an event of the planned stop. */
  handleDrain(event: DrainInput, now: Instant): void {
    const result = decideDrain(this.drain, event, now);
    if (result.isErr) throw result.error;
    this.logEvents.push(...result.value.logEvents);
    for (const command of result.value.commands) {
      switch (command.kind) {
        case DrainCommandKind.AnnounceLeaving:
          this.leavingAt = now;
          this.handleMembership({kind: MembershipEventKind.Leaving}, now);
          this.sendDigest(now);
          break;
        case DrainCommandKind.CloseListeners:
          this.listening = false;
          break;
        case DrainCommandKind.Exit:
          this.around.exit(this, command.cut);
          break;
        case DrainCommandKind.AnswerRest:
        case DrainCommandKind.HandOver:
        case DrainCommandKind.ReleaseLeases:
      }
    }
  }

  /** Runs a tick of everything. */
  handleTick(now: Instant): void {
    this.handleMembership({kind: MembershipEventKind.Tick}, now);
    this.handleDrain({kind: DrainEventKind.Tick}, now);
  }

  /** Tells peers and the own directory how this VM stands. */
  sendDigest(now: Instant): void {
    const digest = this.makeDigest(now);
    this.handleMembership({kind: MembershipEventKind.LocalDigest, digest}, now);
    this.handleDirectory({kind: DirectoryEventKind.OwnDigest, digest}, now);
  }

  /** Answers a caller that asks which VMs to use. */
  listEntries(
    dataCentre: DataCentreId | undefined,
    now: Instant,
  ): EntriesResponse {
    const asker = dataCentre === undefined ? {} : {dataCentre};
    const kind = DirectoryEventKind.EntriesRequested;
    this.handleDirectory({kind, requestId: 'ask', ...asker}, now);
    return this.answer!;
  }

  /** Returns what this VM holds of another; undefined when it knows none. */
  getPeerState(vm: VmId): PeerState | undefined {
    return this.membership.peers.get(vm)?.update.state;
  }

  private runCommand(command: MembershipCommand, now: Instant): void {
    switch (command.kind) {
      case MembershipCommandKind.Send:
        this.around.send(this, command);
        return;
      case MembershipCommandKind.PeerChanged: {
        const {peer, state} = command;
        const kind = DirectoryEventKind.PeerChanged;
        this.recordPeer(peer.vm, state, now);
        this.handleDirectory({kind, peer, state}, now);
        return;
      }
      case MembershipCommandKind.PeerRemoved: {
        const kind = DirectoryEventKind.PeerRemoved;
        this.deadSince.delete(command.vm);
        this.handleDirectory({kind, vm: command.vm}, now);
        return;
      }
      case MembershipCommandKind.DigestReceived: {
        const kind = DirectoryEventKind.DigestReceived;
        this.handleDirectory({kind, digest: command.digest}, now);
        return;
      }
      case MembershipCommandKind.RegionDigestReceived: {
        const kind = DirectoryEventKind.RegionDigestReceived;
        this.handleDirectory({kind, digest: command.digest}, now);
        return;
      }
      case MembershipCommandKind.EndpointLeaving:
        this.leavingEndpoints.set(command.endpoint, now);
        return;
      case MembershipCommandKind.EndpointStaying:
        this.leavingEndpoints.delete(command.endpoint);
        return;
      case MembershipCommandKind.OwnRunSuperseded:
        this.running = false;
    }
  }

  private recordPeer(vm: VmId, state: PeerState, now: Instant): void {
    const dead = this.around.options.deadStates.includes(state);
    if (!dead) this.deadSince.delete(vm);
    else if (!this.deadSince.has(vm)) this.deadSince.set(vm, now);
  }

  private handleDirectory(event: DirectoryInput, now: Instant): void {
    const {random} = this.around;
    const result = decideDirectory(this.directory, event, now, random);
    if (result.isErr) throw result.error;
    for (const command of result.value.commands) {
      if (command.kind === DirectoryCommandKind.AnswerEntries) {
        this.answer = command.response;
      }
    }
  }

  private makeDigest(now: Instant): VmDigest {
    return {
      vm: this.identity.vm,
      time: now,
      ready: true,
      leaving: this.drain.phase !== DrainPhase.Serving,
      load: this.around.random(),
      nextOffset: 0,
      demands: [{account: toId('a'), tokensPerSecond: 1}],
      uses: [{endpoint: toId('e'), running: 1, prefillTokens: 0}],
      leavingEndpoints: [],
      failingEndpoints: [],
    };
  }
}
