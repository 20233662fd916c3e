import type {FailureCause} from '@zinniaspindle/decisions';
import type {Instant, LayerRange} from '@zinniaspindle/shared';
import type {EndpointFacts} from '../fleet/endpoint_state.js';
import type {LoadRow} from '../fleet/load_tracker.js';
import type {Topic} from '../ports/index.js';

/** Kinds of messages between VMs. */
export enum PeerMessageKind {
  Hello = 'hello',
  Heartbeat = 'beat',
  Records = 'records',
  SnapshotRequest = 'ask',
  Snapshot = 'newest',
  Suspicion = 'accusation',
  Refutation = 'voucher',
  Facts = 'facts',
  Order = 'order',
}

/** Whether a VM takes new callers. */
export enum PeerPhase {
  Starting = 'starting',
  Ready = 'ready',
  Leaving = 'leaving',
}

/** A VM's own introduction, the first message on each connection. */
export interface Hello {
  readonly kind: PeerMessageKind.Hello;
  readonly vm: string;
  /** When its process started; a restart has a higher one. */
  readonly startedAt: Instant;
  /** Where it hears peers, as host:port. */
  readonly peerAddress: string;
  /** Where it hears callers, as host:port. */
  readonly callerAddress: string;
  /** Rate of its link, in Mbit/s. */
  readonly linkMegabits: number;
  /** Peer addresses of the VMs that it knows. */
  readonly known: readonly string[];
}

/** How far a VM's knowledge of a topic reaches. */
export interface TopicAge {
  readonly topic: Topic;
  readonly next: number;
  readonly ageMilliseconds: number;
}

/** Sent a few times a second. */
export interface Heartbeat {
  readonly kind: PeerMessageKind.Heartbeat;
  readonly phase: PeerPhase;
  /** Whether the VM owns the orders to endpoints. */
  readonly isOwner: boolean;
  readonly topics: readonly TopicAge[];
  readonly loads: readonly LoadRow[];
}

/** A record on its way between VMs; null drops its key. */
export type RecordRow = readonly [
  key: string,
  value: Uint8Array | null,
  offset: number,
];

/** Records that a VM read from the store just now. */
export interface Records {
  readonly kind: PeerMessageKind.Records;
  readonly topic: Topic;
  readonly from: number;
  readonly rows: readonly RecordRow[];
}

/** Asks for the newest records of a topic. */
export interface TopicSnapshotRequest {
  readonly kind: PeerMessageKind.SnapshotRequest;
  readonly topic: Topic;
}

/** The newest records of a topic, as of an age. */
export interface TopicSnapshot {
  readonly kind: PeerMessageKind.Snapshot;
  readonly topic: Topic;
  readonly next: number;
  readonly ageMilliseconds: number;
  readonly rows: readonly RecordRow[];
}

/** Says that an endpoint does not answer a VM, or refuses its requests. */
export interface SuspicionMessage {
  readonly kind: PeerMessageKind.Suspicion;
  readonly id: string;
  readonly bornAt: Instant;
  readonly cause: FailureCause;
}

/** Says that an endpoint that another VM found silent answers this one. */
export interface RefutationMessage {
  readonly kind: PeerMessageKind.Refutation;
  readonly id: string;
  readonly bornAt: Instant;
}

/** What an endpoint answered to a VM. */
export interface FactsMessage {
  readonly kind: PeerMessageKind.Facts;
  readonly facts: EndpointFacts;
}

/** Says that an endpoint was ordered to hold a range. */
export interface OrderMessage {
  readonly kind: PeerMessageKind.Order;
  readonly id: string;
  readonly bornAt: Instant;
  readonly range: LayerRange;
  /** Orders that the endpoint accepted, this one included. */
  readonly orderCount: number;
  /** Whether streams on layers that it gives up are cut off. */
  readonly cutsRequests: boolean;
}

/** Any message between VMs. */
export type PeerMessage =
  | Hello
  | Heartbeat
  | Records
  | TopicSnapshotRequest
  | TopicSnapshot
  | SuspicionMessage
  | RefutationMessage
  | FactsMessage
  | OrderMessage;
