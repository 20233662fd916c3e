import type {
  DataCentreId,
  Deadline,
  EndpointId,
  Instant,
  ListedVm,
  VmId,
} from '@zinniaspindle/shared';
import type {Turn as DecisionTurn} from '../turn.js';
import type {VmDigest} from './digest.js';
import type {DigestState} from './digest_state.js';
import type {
  EndpointNotice,
  LeavingSource,
  PeerMessage,
  PeerUpdate,
  RegionDigest,
} from './messages.js';
import {PeerState} from './messages.js';
import type {MembershipOptions} from './options.js';

/** One peer in the view. */
export interface Peer {
  update: PeerUpdate;
  /** When this run last sent a message; undefined before the first one. */
  lastContactAt: Instant | undefined;
  /** When the peer became suspect. */
  suspectedAt: Instant | undefined;
  /** When a suspect peer is declared dead. */
  suspectUntil: Deadline | undefined;
  /** When a dead peer is removed from the view. */
  removeAt: Deadline | undefined;
  /** Whether the last read of the VM list contained it. */
  listed: boolean;
  /** When the VM list first listed it as leaving; undefined if it does not. */
  listedLeavingSince: Instant | undefined;
  /** The last state in which the peer was reachable. */
  lastReachableState: PeerState.Alive | PeerState.Leaving;
  /**
   * Whether the peer's state was set during a loss of contact with all peers.
   * Such a state is not gossiped.
   */
  withheld: boolean;
  /** Earliest time at which the peer is sent its own suspicion again. */
  nextSuspicionGossipAt: Instant;
}

/** A probe that awaits its Ack. */
export interface Probe {
  readonly vm: VmId;
  readonly startedAt: Instant;
  indirect: boolean;
  expiresAt: Deadline;
}

/** A probe on behalf of another peer. */
export interface RelayedProbe {
  readonly requesterAddress: string;
  readonly requesterSequence: number;
  readonly expiresAt: Deadline;
}

/** An update or notice in the gossip queue. */
export interface QueuedGossip {
  readonly update?: PeerUpdate;
  readonly notice?: EndpointNotice;
  sendsLeft: number;
  pushed: boolean;
}

/** A notice and its expiry. */
export interface StoredNotice {
  readonly notice: EndpointNotice;
  readonly expiresAt: Deadline;
}

/** Membership state of one VM. */
export interface MembershipState {
  readonly options: MembershipOptions;
  self: PeerUpdate;
  readonly peers: Map<VmId, Peer>;
  readonly probes: Map<number, Probe>;
  readonly relayedProbes: Map<number, RelayedProbe>;
  readonly gossipQueue: Map<string, QueuedGossip>;
  readonly notices: Map<string, StoredNotice>;
  /** Endpoints that the last read of the VM list contained as leaving. */
  listedLeaving: ReadonlySet<EndpointId>;
  nextSequence: number;
  probeOrder: VmId[];
  nextProbeAt: Instant;
  nextUnreachableProbeAt: Instant;
  nextSyncAt: Instant;
  viewChangedAt: Instant;
  /**
   * XOR of the hashes of all runs that are not dead and all leaving notices.
   */
  viewHash: number;
  /** When the next tick is due; undefined before the first. */
  nextTickAt: Instant | undefined;
  degradedUntil: Deadline;
  /** When any peer last sent a message. */
  anyContactAt: Instant;
  isolated: boolean;
  superseded: boolean;
  readonly digests: DigestState;
}

/** Kinds of input events of membership. */
export enum MembershipEventKind {
  EndpointLeavingSeen = 'endpointLeavingSeen',
  EndpointStayingSeen = 'endpointStayingSeen',
  Leaving = 'leaving',
  ListFailed = 'listFailed',
  ListRead = 'listRead',
  LocalDigest = 'localDigest',
  MessageReceived = 'messageReceived',
  Tick = 'tick',
}

/** Any input event of membership. */
export type MembershipInput =
  | {
      readonly kind: MembershipEventKind.MessageReceived;
      /** Address of the sender, for error messages. */
      readonly from: string;
      readonly message: PeerMessage;
    }
  | {readonly kind: MembershipEventKind.Tick}
  | {
      readonly kind: MembershipEventKind.ListRead;
      readonly vms: readonly ListedVm[];
    }
  | {readonly kind: MembershipEventKind.ListFailed; readonly detail: string}
  | {
      readonly kind: MembershipEventKind.LocalDigest;
      readonly digest: VmDigest;
    }
  /** This VM starts a planned stop. */
  | {readonly kind: MembershipEventKind.Leaving}
  | {
      readonly kind:
        | MembershipEventKind.EndpointLeavingSeen
        | MembershipEventKind.EndpointStayingSeen;
      readonly endpoint: EndpointId;
      readonly source: LeavingSource;
      /** When the source reported it, such as the time of a load report. */
      readonly time: Instant;
    };

/** Kinds of commands that membership issues. */
export enum MembershipCommandKind {
  DigestReceived = 'digestReceived',
  EndpointLeaving = 'endpointLeaving',
  EndpointStaying = 'endpointStaying',
  /** A later run of this VM exists, so this process must stop. */
  OwnRunSuperseded = 'ownRunSuperseded',
  PeerChanged = 'peerChanged',
  PeerRemoved = 'peerRemoved',
  RegionDigestReceived = 'regionDigestReceived',
  Send = 'send',
}

/** Any command that membership issues. */
export type MembershipCommand =
  | {
      readonly kind: MembershipCommandKind.Send;
      /** Peer address. */
      readonly to: string;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: MembershipCommandKind.PeerChanged;
      readonly peer: PeerUpdate;
      readonly state: PeerState;
    }
  | {readonly kind: MembershipCommandKind.PeerRemoved; readonly vm: VmId}
  | {
      readonly kind: MembershipCommandKind.DigestReceived;
      readonly digest: VmDigest;
    }
  | {
      readonly kind: MembershipCommandKind.RegionDigestReceived;
      readonly digest: RegionDigest;
    }
  | {
      readonly kind:
        | MembershipCommandKind.EndpointLeaving
        | MembershipCommandKind.EndpointStaying;
      readonly endpoint: EndpointId;
    }
  | {readonly kind: MembershipCommandKind.OwnRunSuperseded};

/**
 * Context of one membership decision.
 * @internal
 */
export type Turn = DecisionTurn<MembershipState, MembershipCommand>;

/** Identity of this VM, from its settings. */
export interface OwnIdentity {
  readonly vm: VmId;
  readonly startedAt: Instant;
  readonly peerAddress: string;
  readonly address: string;
  readonly dataCentre: DataCentreId;
}

/** Tells whether a peer in this state can be sent work and messages. */
export function isReachable(
  state: PeerState,
): state is PeerState.Alive | PeerState.Leaving {
  return state === PeerState.Alive || state === PeerState.Leaving;
}

/**
 * Returns a peer's state; leaving if alive while the VM list lists its run as
 * leaving.
 */
export function getEffectiveState(peer: Peer): PeerState {
  const {state, startedAt} = peer.update;
  const since = peer.listedLeavingSince;
  if (state !== PeerState.Alive || since === undefined) return state;
  return startedAt <= since ? PeerState.Leaving : state;
}
