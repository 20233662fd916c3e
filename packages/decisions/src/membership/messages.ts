import type {
  AccountId,
  DataCentreId,
  EndpointId,
  Instant,
  VmId,
} from '@zinniaspindle/shared';
import type {Offset} from '../log/records.js';

/** State of a peer in a VM's view. */
export enum PeerState {
  Alive = 'alive',
  Dead = 'dead',
  Leaving = 'leaving',
  Suspect = 'suspect',
}

/** One run of a VM's process; a run that started later supersedes it. */
export interface VmRun {
  readonly vm: VmId;
  readonly startedAt: Instant;
}

/** State of a run as gossiped; only the run itself raises its incarnation. */
export interface PeerUpdate extends VmRun {
  readonly incarnation: number;
  readonly state: PeerState;
  /** host:port on which it accepts peers. */
  readonly peerAddress: string;
  /** host:port on which it accepts callers. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
}

/** The source of the information that an endpoint is leaving. */
export enum LeavingSource {
  /** The engine's load report, or its refusal of a request. */
  Engine = 'engine',
  List = 'list',
  Operator = 'operator',
}

/** Whether an endpoint is leaving, according to one source. */
export interface EndpointNotice {
  readonly endpoint: EndpointId;
  readonly source: LeavingSource;
  readonly leaving: boolean;
  /** When the source reported it; of two notices, the later one applies. */
  readonly time: Instant;
}

/** Kinds of membership messages between peers. */
export enum PeerMessageKind {
  Ack = 'ack',
  Digest = 'digest',
  Gossip = 'gossip',
  Ping = 'ping',
  PingRequest = 'pingRequest',
  RegionDigest = 'regionDigest',
  Sync = 'sync',
}

/** Gossip that is piggybacked on probe, gossip and sync messages. */
interface GossipFields {
  readonly sender: PeerUpdate;
  readonly updates: readonly PeerUpdate[];
  readonly notices: readonly EndpointNotice[];
}

/** Probes a peer, which answers with an Ack of the same sequence. */
export interface PingMessage extends GossipFields {
  readonly kind: PeerMessageKind.Ping;
  readonly sequence: number;
  /** Hash of the sender's view; views that differ are merged by Sync. */
  readonly view: number;
}

/**
 * Answers a Ping, or relays the target's Ack to the sender of a PingRequest.
 */
export interface AckMessage extends GossipFields {
  readonly kind: PeerMessageKind.Ack;
  readonly sequence: number;
  readonly view: number;
}

/** Asks a peer to probe another peer on the sender's behalf. */
export interface PingRequestMessage extends GossipFields {
  readonly kind: PeerMessageKind.PingRequest;
  readonly sequence: number;
  /** Peer address of the VM to probe. */
  readonly target: string;
}

/** Carries gossip only. */
export interface GossipMessage extends GossipFields {
  readonly kind: PeerMessageKind.Gossip;
}

/** One part of the sender's full view. */
export interface SyncMessage extends GossipFields {
  readonly kind: PeerMessageKind.Sync;
  /** Whether the receiver must send its own view back. */
  readonly wantsReply: boolean;
}

/** Load reports of endpoints; all columns have the same length. */
export interface ReportColumns {
  readonly endpoints: readonly EndpointId[];
  readonly times: readonly Instant[];
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly queuedPrefillTokens: readonly number[];
  readonly leaving: readonly boolean[];
}

/** Demands by account; all columns have the same length. */
export interface DemandColumns {
  readonly accounts: readonly AccountId[];
  readonly tokensPerSecond: readonly number[];
}

/** Uses by endpoint; all columns have the same length. */
export interface UseColumns {
  readonly endpoints: readonly EndpointId[];
  readonly running: readonly number[];
  readonly prefillTokens: readonly number[];
}

/**
 * The sender's own digest. Entries are absolute values; only changed ones and
 * a few refreshed ones are sent, so later messages make up for a lost one.
 */
export interface DigestMessage {
  readonly kind: PeerMessageKind.Digest;
  readonly sender: VmRun;
  readonly sequence: number;
  readonly time: Instant;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly load: number;
  readonly nextOffset: Offset;
  readonly demands: DemandColumns;
  readonly uses: UseColumns;
  readonly reports: ReportColumns;
  readonly leavingEndpoints: readonly EndpointId[];
  readonly failingEndpoints: readonly EndpointId[];
}

/**
 * A few entry VMs of a region for callers; all columns have the same length.
 */
export interface EntryColumns {
  readonly vms: readonly VmId[];
  readonly loads: readonly number[];
}

/** Aggregate over the VMs of one region, sent to the other regions. */
export interface RegionDigest {
  readonly region: string;
  readonly time: Instant;
  /** Number of VMs in the aggregate. */
  readonly vms: number;
  readonly entries: EntryColumns;
  readonly demands: DemandColumns;
  readonly uses: UseColumns;
}

/**
 * Carries a region's digest; the first receiver forwards it within its region.
 */
export interface RegionDigestMessage {
  readonly kind: PeerMessageKind.RegionDigest;
  readonly sender: VmRun;
  readonly passOn: boolean;
  readonly digest: RegionDigest;
}

/** Any membership message between peers. */
export type PeerMessage =
  | AckMessage
  | DigestMessage
  | GossipMessage
  | PingMessage
  | PingRequestMessage
  | RegionDigestMessage
  | SyncMessage;

/** Maximum number of updates, and of notices, in one message. */
export const maxGossipItemsPerMessage = 24;

/** Maximum number of entries in each column of a digest message. */
export const maxDigestEntries = 256;
