import {
  FailureCause,
  type DemandRow,
  type StoreEra,
} from '@zinniaspindle/decisions';
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
  /** The first and only message of a connection to pass on. */
  Relay = 'relay',
}

/** Lifecycle phase of a VM; only a ready one accepts new callers. */
export enum PeerPhase {
  Starting = 'starting',
  Ready = 'ready',
  Leaving = 'leaving',
}

/** Introduces the sending VM; the first message on each connection. */
export interface Hello {
  readonly kind: PeerMessageKind.Hello;
  readonly vm: string;
  /** When its process started; a later value marks a restart. */
  readonly startedAt: Instant;
  /** host:port on which it accepts peers. */
  readonly peerAddress: string;
  /** host:port on which it accepts callers. */
  readonly callerAddress: string;
  /** Bandwidth of its link, in Mbit/s. */
  readonly linkMegabits: number;
  /** Processor time that it gets a second, in cores; older builds send none. */
  readonly cores?: number | undefined;
  /** Peer addresses of the VMs known to it. */
  readonly known: readonly string[];
  /**
   * Whether it has heard nothing of the receiver for too long, whose link may have
   * gone silent. Older builds neither send nor read it.
   */
  readonly isUnheard?: boolean | undefined;
}

/**
 * How current a VM's copy of a topic is: its next offset, and the age of its own
 * last read of the store. What it heard from peers does not count: the transit
 * times of messages that are passed on would add up, and a fleet that reads
 * nothing would believe that it is up to date.
 */
export interface TopicAge {
  readonly topic: Topic;
  /** Era of the store that the offset belongs to. */
  readonly era: StoreEra;
  readonly next: number;
  readonly ageMilliseconds: number;
}

/** Sent to every peer at the heartbeat period. */
export interface Heartbeat {
  readonly kind: PeerMessageKind.Heartbeat;
  readonly phase: PeerPhase;
  /** Whether the VM holds the ownership of orders to endpoints. */
  readonly isOwner: boolean;
  /** Whether the store served the VM's last read. */
  readonly canRead: boolean;
  /** When it was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
  readonly topics: readonly TopicAge[];
  readonly loads: readonly LoadRow[];
  /** The latest era of the store that the VM knows of; older builds send none. */
  readonly storeEra: StoreEra;
  /** Rows that the receiver parses; older builds send none. */
  readonly quarantines: readonly unknown[];
  /**
   * The sender's requests for paths by service and rank; undefined if there are
   * none, or one rank. Older builds neither send nor read them.
   */
  readonly demands?: readonly DemandRow[];
}

/** A record as sent between VMs; a null value deletes its key. */
export type RecordRow = readonly [
  key: string,
  value: Uint8Array | null,
  offset: number,
];

/**
 * Forwards what the sender just read from the store: the newest record of each
 * key that changed between two offsets.
 */
export interface Records {
  readonly kind: PeerMessageKind.Records;
  readonly topic: Topic;
  /** Era of the offsets; older builds send none. */
  readonly era?: number;
  readonly from: number;
  readonly next: number;
  /** When it was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
  /** Age of what was read when it was sent; older builds send none. */
  readonly ageMilliseconds?: number;
  readonly rows: readonly RecordRow[];
}

/** Requests a snapshot of a topic. */
export interface TopicSnapshotRequest {
  readonly kind: PeerMessageKind.SnapshotRequest;
  readonly topic: Topic;
}

/** Snapshot of a topic: the newest record of each key, with its age. */
export interface TopicSnapshot {
  readonly kind: PeerMessageKind.Snapshot;
  readonly topic: Topic;
  /** Era of the offsets; older builds send none. */
  readonly era?: number;
  readonly next: number;
  readonly ageMilliseconds: number;
  /** When it was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
  readonly rows: readonly RecordRow[];
}

/**
 * Reports that an endpoint does not answer the sender, refuses its requests or
 * has stated that it leaves.
 */
export interface SuspicionMessage {
  readonly kind: PeerMessageKind.Suspicion;
  readonly id: string;
  readonly bornAt: Instant;
  readonly cause: FailureCause;
  /** The requests under which it ended. */
  readonly ended?: EndedRequests;
}

/** An attempt that broke at an endpoint that ended, as sent between VMs. */
export type EndedAttemptRow = readonly [
  request: string,
  traits: readonly string[],
  sentAgeMilliseconds: number,
];

/** Attempts that broke at an endpoint that ended. */
export interface EndedRequests {
  readonly service: string;
  /** When the message was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
  /** Time since the endpoint ended. */
  readonly ageMilliseconds: number;
  /** Those whose answer had not begun. */
  readonly attempts: readonly EndedAttemptRow[];
  /**
   * Those whose answer had begun and was not lasting; undefined if there are none.
   * Older builds neither send nor read them, and would take them for the above.
   */
  readonly begun?: readonly EndedAttemptRow[];
}

/**
 * Makes the message that an endpoint leaves. It is a suspicion by its kind: VMs
 * of earlier versions close a connection on a message of unknown kind, and count
 * a suspicion of unknown cause as that of one unanswered probe.
 */
export function makeLeavingMessage({
  id,
  bornAt,
}: Pick<SuspicionMessage, 'id' | 'bornAt'>): SuspicionMessage {
  const cause = FailureCause.Leaving;
  return {kind: PeerMessageKind.Suspicion, id, bornAt, cause};
}

/** Makes the message that an endpoint has ended under requests; as above. */
export function makeEndedMessage(
  {id, bornAt}: Pick<SuspicionMessage, 'id' | 'bornAt'>,
  ended: EndedRequests,
): SuspicionMessage {
  const cause = FailureCause.Ended;
  return {kind: PeerMessageKind.Suspicion, id, bornAt, cause, ended};
}

/** Parts of prompts that answers were begun on. */
export interface AnsweredParts {
  readonly service: string;
  /** When the message was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
  readonly parts: readonly AnsweredPartRow[];
  /** Whether these answers are lasting; older builds neither send nor read it. */
  readonly isLasting?: boolean;
}

/** A part that an answer was begun on, and the time since then. */
export type AnsweredPartRow = readonly [part: string, ageMilliseconds: number];

/** Refutes a suspicion: the suspected endpoint answers the sender. */
export interface RefutationMessage {
  readonly kind: PeerMessageKind.Refutation;
  readonly id: string;
  readonly bornAt: Instant;
  /** Refutes that these parts end endpoints, and nothing of an endpoint. */
  readonly answered?: AnsweredParts;
  /** What an endpoint states of its limit; refutes nothing either. */
  readonly limited?: LimitedEndpoint;
  /** A pause that an endpoint wants of the receiver; refutes nothing either. */
  readonly paused?: PausedEndpoint;
  /** An order that the sender is about to send; refutes nothing either. */
  readonly announced?: AnnouncedOrder;
}

/**
 * Makes the message that answers were begun on parts. It is a refutation by its
 * kind, of an endpoint that no VM knows, so that earlier versions ignore it.
 */
export function makeAnsweredMessage(
  answered: AnsweredParts,
): RefutationMessage {
  const kind = PeerMessageKind.Refutation;
  return {kind, id: '', bornAt: 0, answered};
}

/** What an endpoint has stated of its limit in an answer to the sender. */
export interface LimitedEndpoint {
  readonly id: string;
  readonly bornAt: Instant;
  /** Requests a second from all VMs; null if it states no limit any more. */
  readonly perSecond: number | null;
  /** When the message was sent, in Unix milliseconds of the sender's clock. */
  readonly sentAt: Instant;
}

/** Makes the message of an endpoint's limit; as above. */
export function makeLimitedMessage(
  limited: LimitedEndpoint,
): RefutationMessage {
  const kind = PeerMessageKind.Refutation;
  return {kind, id: '', bornAt: 0, limited};
}

/** An endpoint that asked for a pause on a connection which the receiver passed on. */
export interface PausedEndpoint {
  readonly id: string;
  readonly bornAt: Instant;
  readonly milliseconds: number;
}

/** Makes the message of a pause; as above. */
export function makePausedMessage(paused: PausedEndpoint): RefutationMessage {
  const kind = PeerMessageKind.Refutation;
  return {kind, id: '', bornAt: 0, paused};
}

/** An order to an endpoint, which may accept it or not. */
export interface AnnouncedOrder {
  readonly id: string;
  readonly bornAt: Instant;
  readonly range: LayerRange;
  /** Number of orders that the endpoint has accepted if it accepts this one. */
  readonly orderCount: number;
  /** Whether it cuts off the requests on layers that the endpoint unloads. */
  readonly cutsRequests: boolean;
}

/** Makes the message of an order before it is sent; as above. */
export function makeAnnouncedMessage(
  announced: AnnouncedOrder,
): RefutationMessage {
  const kind = PeerMessageKind.Refutation;
  return {kind, id: '', bornAt: 0, announced};
}

/** Forwards what an endpoint reported to the sender. */
export interface FactsMessage {
  readonly kind: PeerMessageKind.Facts;
  readonly facts: EndpointFacts;
}

/** Announces that an endpoint was ordered to hold a layer range. */
export interface OrderMessage {
  readonly kind: PeerMessageKind.Order;
  readonly id: string;
  readonly bornAt: Instant;
  readonly range: LayerRange;
  /** Number of orders that the endpoint has accepted, including this one. */
  readonly orderCount: number;
  /** Whether streams on the layers that it unloads are to move or are cut off. */
  readonly cutsRequests: boolean;
  /**
   * Whether the endpoint lets those finish that do not move. Older builds neither
   * send nor read it; their endpoints cut all of them off.
   */
  readonly waitsForRequests?: boolean;
}

/** Asks a peer to connect to an endpoint and to pass all further bytes on. */
export interface RelayRequest {
  readonly kind: PeerMessageKind.Relay;
  readonly id: string;
  /** The request or call that needs the connection, for the log. */
  readonly purpose: string;
  /** Whether the sender reads frames; older builds neither send nor read it. */
  readonly readsFrames?: boolean;
}

/**
 * What the peer answers in place of `RelayOutcome.Open` if the sender reads frames:
 * what follows are frames of the endpoint's bytes.
 */
export const openFramed = 'f';

/** What the peer answers, as one character; earlier versions close instead. */
export enum RelayOutcome {
  /** What follows comes from the endpoint. */
  Open = 'o',
  /** Nothing listens at the endpoint's address. */
  Refused = 'r',
  /** The endpoint did not accept in time. */
  Silent = 's',
  /** The peer does not reach or know the endpoint, or passes too much on. */
  Unavailable = 'u',
  /** There was no answer of the peer. */
  NoRelay = 'n',
}

/** Makes the request to pass a connection on. */
export function makeRelayRequest(id: string, purpose: string): RelayRequest {
  return {kind: PeerMessageKind.Relay, id, purpose};
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
  | OrderMessage
  | RelayRequest;
