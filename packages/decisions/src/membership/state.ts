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
import type {DigestBook} from './digest_book.js';
import type {
  EndpointNotice,
  LeavingSource,
  PeerMessage,
  PeerUpdate,
  RegionDigest,
} from './messages.js';
import {PeerState} from './messages.js';
import type {MembershipOptions} from './options.js';

/** What a VM holds of one peer. */
export interface Peer {
  update: PeerUpdate;
  /** When a message of this run last came; undefined before the first. */
  heardAt: Instant | undefined;
  /** When the peer turned suspect. */
  suspectedAt: Instant | undefined;
  /** A suspect peer is dead from here on. */
  suspectUntil: Deadline | undefined;
  /** A dead peer is forgotten from here on. */
  forgetAt: Deadline | undefined;
  /** Whether the last VM list named it. */
  listed: boolean;
  /** Since when the VM list says that it leaves. */
  listedLeavingSince: Instant | undefined;
  /** The last state in which the peer was in use. */
  inUseState: PeerState.Alive | PeerState.Leaving;
  /** A verdict taken while no peer was heard; not told to others. */
  unshared: boolean;
  /** No accusation is sent in answer to digests before this. */
  nextAccusationAt: Instant;
}

/** A probe of one peer that waits for its Ack. */
export interface Probe {
  readonly vm: VmId;
  readonly startedAt: Instant;
  indirect: boolean;
  expiresAt: Deadline;
}

/** A probe run for another peer. */
export interface RelayedProbe {
  readonly askerAddress: string;
  readonly askerSequence: number;
  readonly expiresAt: Deadline;
}

/** News still to be sent, with how often. */
export interface QueuedNews {
  readonly update?: PeerUpdate;
  readonly notice?: EndpointNotice;
  sendsLeft: number;
  pushed: boolean;
}

/** A notice and when it lapses. */
export interface HeldNotice {
  readonly notice: EndpointNotice;
  readonly expiresAt: Deadline;
}

/** The state of membership at one VM. */
export interface MembershipState {
  readonly options: MembershipOptions;
  self: PeerUpdate;
  readonly peers: Map<VmId, Peer>;
  readonly probes: Map<number, Probe>;
  readonly relays: Map<number, RelayedProbe>;
  readonly queue: Map<string, QueuedNews>;
  readonly notices: Map<string, HeldNotice>;
  /** Endpoints that this VM's last list read named as leaving. */
  listedLeaving: ReadonlySet<EndpointId>;
  nextSequence: number;
  probeOrder: VmId[];
  nextProbeAt: Instant;
  nextLostProbeAt: Instant;
  nextSyncAt: Instant;
  changedAt: Instant;
  /** Hash over the runs that are not dead, and over standing notices. */
  view: number;
  /** When the next tick is due; undefined before the first. */
  nextTickAt: Instant | undefined;
  patientUntil: Deadline;
  /** When any peer was last heard. */
  lastHeardAt: Instant;
  isolated: boolean;
  superseded: boolean;
  readonly digests: DigestBook;
}

/** The events that membership takes. */
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

/** Any event of membership. */
export type MembershipInput =
  | {
      readonly kind: MembershipEventKind.MessageReceived;
      /** Address that the message came from, for log events. */
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
  /** This VM begins a planned stop. */
  | {readonly kind: MembershipEventKind.Leaving}
  | {
      readonly kind:
        | MembershipEventKind.EndpointLeavingSeen
        | MembershipEventKind.EndpointStayingSeen;
      readonly endpoint: EndpointId;
      readonly source: LeavingSource;
      /** When the source said so, as by a load report's own time. */
      readonly time: Instant;
    };

/** The commands that membership gives. */
export enum MembershipCommandKind {
  DigestReceived = 'digestReceived',
  EndpointLeaving = 'endpointLeaving',
  EndpointStaying = 'endpointStaying',
  /** A later run of this VM exists: this process is to stop. */
  OwnRunSuperseded = 'ownRunSuperseded',
  PeerChanged = 'peerChanged',
  PeerForgotten = 'peerForgotten',
  RegionDigestReceived = 'regionDigestReceived',
  Send = 'send',
}

/** Any command of membership. */
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
  | {readonly kind: MembershipCommandKind.PeerForgotten; readonly vm: VmId}
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
 * One decision in the making.
 * @internal
 */
export type Turn = DecisionTurn<MembershipState, MembershipCommand>;

/** Who this VM is, from its settings. */
export interface OwnIdentity {
  readonly vm: VmId;
  readonly startedAt: Instant;
  readonly peerAddress: string;
  readonly address: string;
  readonly dataCentre: DataCentreId;
}

/** Tells whether work and messages may go to a peer in this state. */
export function isReachable(
  state: PeerState,
): state is PeerState.Alive | PeerState.Leaving {
  return state === PeerState.Alive || state === PeerState.Leaving;
}

/** Returns the state of a peer with the VM list's word taken in. */
export function getEffectiveState(peer: Peer): PeerState {
  const {state, startedAt} = peer.update;
  const since = peer.listedLeavingSince;
  if (state !== PeerState.Alive || since === undefined) return state;
  return startedAt <= since ? PeerState.Leaving : state;
}
