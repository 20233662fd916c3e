import {
  decideDirectory,
  decideMembership,
  defaultDirectoryOptions,
  defaultMembershipOptions,
  DirectoryCommandKind,
  DirectoryEventKind,
  isReachable,
  listLeavingEndpoints,
  makeDirectoryState,
  makeMembershipState,
  MembershipCommandKind,
  MembershipEventKind,
  PeerState,
} from '@zinniaspindle/decisions';
import type {
  DirectoryCommand,
  DirectoryInput,
  DirectoryState,
  EntriesResponse,
  LeavingSource,
  MembershipCommand,
  MembershipInput,
  MembershipState,
  OwnIdentity,
  PeerMessage,
  PeerUpdate,
  VmDigest,
} from '@zinniaspindle/decisions';
import {ListedPurpose} from '@zinniaspindle/shared';
import type {
  DataCentreId,
  Deadline,
  EndpointId,
  Instant,
  ListedVm,
  VmId,
} from '@zinniaspindle/shared';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';

/** Milliseconds after which a VM serves though it knows no peers. */
const settleMilliseconds = 5_000;

/** What membership needs from the rest of the VM. */
export interface MembershipPorts extends LoopPorts {
  readonly identity: OwnIdentity;
  /** Lifetime of an answer of the directory. */
  readonly answerTtlMilliseconds: number;
  readonly sendMessage: (peerAddress: string, message: PeerMessage) => void;
  readonly handleDigest: (digest: VmDigest) => void;
  readonly handleEndpoint: (endpoint: EndpointId, leaving: boolean) => void;
  /** Hears that the VMs in use changed; `lost` died or was forgotten. */
  readonly handlePeers: (lost: VmId | undefined) => void;
  /** A later run of this VM exists. */
  readonly handleSuperseded: () => void;
}

/** Hosts membership, and the directory over it. */
export class MembershipHost {
  private readonly membership: Machine<
    MembershipState,
    MembershipInput,
    MembershipCommand
  >;
  private readonly directory: Machine<
    DirectoryState,
    DirectoryInput,
    DirectoryCommand
  >;
  private readonly peers = new Map<VmId, PeerUpdate>();
  private readonly leaving = new Set<VmId>();
  private readonly asks = new Map<string, (answer: EntriesResponse) => void>();
  private nextAsk = 0;
  /** Other entry VMs on the platform's list; undefined before it was read. */
  private listed: number | undefined;
  private readonly settledBy: Deadline;

  constructor(private readonly ports: MembershipPorts) {
    const {loop, getNow, report, random, identity, answerTtlMilliseconds} =
      ports;
    const shared = {loop, getNow, report};
    this.settledBy = getNow() + settleMilliseconds;
    this.membership = new Machine({
      ...shared,
      state: makeMembershipState(identity, defaultMembershipOptions, getNow()),
      decide: (state, event, now) =>
        decideMembership(state, event, now, random),
      execute: command => this.runMembership(command),
    });
    const {vm, address, dataCentre} = identity;
    const options = {...defaultDirectoryOptions, answerTtlMilliseconds};
    this.directory = new Machine({
      ...shared,
      state: makeDirectoryState({vm, address, dataCentre}, options),
      decide: (state, event, now) => decideDirectory(state, event, now, random),
      execute: command => this.answerEntries(command),
    });
  }

  /** The VMs that work and messages may go to, without this one. */
  listPeers(): PeerUpdate[] {
    return [...this.peers.values()];
  }

  /** The VMs that stay, without this one. */
  listStaying(): PeerUpdate[] {
    return this.listPeers().filter(({vm}) => !this.leaving.has(vm));
  }

  /** Finds a VM in use. */
  findPeer(vm: VmId): PeerUpdate | undefined {
    return this.peers.get(vm);
  }

  /** Endpoints that any source says are leaving. */
  listLeaving(): EndpointId[] {
    return listLeavingEndpoints(this.membership.state);
  }

  /** Takes a message of a peer. */
  acceptMessage(from: VmId, message: PeerMessage): void {
    const kind = MembershipEventKind.MessageReceived;
    this.membership.send({kind, from, message});
  }

  /**
   * Whether this VM knows its peers: it read the list, and any VM on it is
   * known. Without the list it counts as settled after some seconds.
   */
  get isSettled(): boolean {
    if (this.ports.getNow() >= this.settledBy) return true;
    if (this.listed === undefined) return false;
    return this.listed === 0 || this.peers.size > 0;
  }

  /** Takes the platform's list. */
  acceptList(vms: readonly ListedVm[]): void {
    const {vm} = this.ports.identity;
    this.listed = vms.filter(
      ({id, purpose}) => purpose === ListedPurpose.Entry && id !== vm,
    ).length;
    this.membership.send({kind: MembershipEventKind.ListRead, vms});
  }

  /** Hears that the platform's list could not be read. */
  acceptListFailure(detail: string): void {
    this.membership.send({kind: MembershipEventKind.ListFailed, detail});
  }

  /** Tells peers and the directory about this VM. */
  sendDigest(digest: VmDigest): void {
    this.membership.send({kind: MembershipEventKind.LocalDigest, digest});
    this.directory.send({kind: DirectoryEventKind.OwnDigest, digest});
  }

  /** Tells peers that an endpoint leaves, or stays after all. */
  reportEndpoint(
    endpoint: EndpointId,
    leaving: boolean,
    source: LeavingSource,
    time: Instant,
  ): void {
    const kind = leaving
      ? MembershipEventKind.EndpointLeavingSeen
      : MembershipEventKind.EndpointStayingSeen;
    this.membership.send({kind, endpoint, source, time});
  }

  /** Tells peers that this VM begins its planned stop. */
  sendLeaving(): void {
    this.membership.send({kind: MembershipEventKind.Leaving});
  }

  /** Passes time. */
  runTick(): void {
    this.membership.send({kind: MembershipEventKind.Tick});
  }

  /** Lists entry VMs for a caller. */
  fetchEntries(dataCentre: DataCentreId | undefined): Promise<EntriesResponse> {
    return new Promise(resolve => {
      const requestId = String(this.nextAsk);
      this.nextAsk += 1;
      this.asks.set(requestId, resolve);
      const kind = DirectoryEventKind.EntriesRequested;
      const near = dataCentre === undefined ? {} : {dataCentre};
      this.directory.send({kind, requestId, ...near});
    });
  }

  private runMembership(command: MembershipCommand): void {
    switch (command.kind) {
      case MembershipCommandKind.Send:
        return this.ports.sendMessage(command.to, command.message);
      case MembershipCommandKind.PeerChanged:
        return this.updatePeer(
          command.peer,
          isReachable(command.state),
          command,
        );
      case MembershipCommandKind.PeerRemoved:
        return this.removePeer(command.vm);
      case MembershipCommandKind.DigestReceived: {
        const {digest} = command;
        this.directory.send({kind: DirectoryEventKind.DigestReceived, digest});
        return this.ports.handleDigest(digest);
      }
      case MembershipCommandKind.RegionDigestReceived: {
        const kind = DirectoryEventKind.RegionDigestReceived;
        return this.directory.send({kind, digest: command.digest});
      }
      case MembershipCommandKind.EndpointLeaving:
        return this.ports.handleEndpoint(command.endpoint, true);
      case MembershipCommandKind.EndpointStaying:
        return this.ports.handleEndpoint(command.endpoint, false);
      case MembershipCommandKind.OwnRunSuperseded:
        return this.ports.handleSuperseded();
    }
  }

  private updatePeer(
    peer: PeerUpdate,
    inUse: boolean,
    change: Extract<
      MembershipCommand,
      {kind: MembershipCommandKind.PeerChanged}
    >,
  ): void {
    const kind = DirectoryEventKind.PeerChanged;
    this.directory.send({kind, peer, state: change.state});
    if (change.state === PeerState.Leaving) this.leaving.add(peer.vm);
    else this.leaving.delete(peer.vm);
    if (inUse) this.peers.set(peer.vm, peer);
    else this.peers.delete(peer.vm);
    this.ports.handlePeers(inUse ? undefined : peer.vm);
  }

  private removePeer(vm: VmId): void {
    this.peers.delete(vm);
    this.directory.send({kind: DirectoryEventKind.PeerRemoved, vm});
    this.ports.handlePeers(vm);
  }

  private answerEntries(command: DirectoryCommand): void {
    switch (command.kind) {
      case DirectoryCommandKind.AnswerEntries: {
        const resolve = this.asks.get(command.requestId);
        this.asks.delete(command.requestId);
        resolve?.(command.response);
      }
    }
  }
}
