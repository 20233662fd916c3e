import type {
  AccountId,
  AccountObject,
  EndpointId,
  Instant,
  RequestId,
  StageTarget,
  VmId,
} from '@zinniaspindle/shared';
import type {VmDigest} from '../membership/digest.js';
import type {ChainPlan, ChainQuery} from '../routing/chain_query.js';

/** A request under admission control. */
export interface WorkItem {
  readonly request: RequestId;
  readonly account: AccountId;
  /** Requests of higher priority go first within an account. */
  readonly priority: number;
  /** Memory that the request takes while it waits. */
  readonly bytes: number;
  readonly query: ChainQuery;
}

/** Kinds of event that admission handles. */
export enum AdmissionEventKind {
  AccountsSet = 'accountsSet',
  Arrived = 'arrived',
  CallerGone = 'callerGone',
  ChainLost = 'chainLost',
  DigestReceived = 'digestReceived',
  Finished = 'finished',
  PeerLost = 'peerLost',
  Resumed = 'resumed',
  Started = 'started',
  Tick = 'tick',
  TokenDelivered = 'tokenDelivered',
}

/** The configured accounts changed; these replace all earlier ones. */
export interface AdmissionAccountsSet {
  readonly kind: AdmissionEventKind.AccountsSet;
  readonly accounts: readonly AccountObject[];
}

/** A caller's request arrived. */
export interface WorkArrived {
  readonly kind: AdmissionEventKind.Arrived;
  readonly work: WorkItem;
}

/** The caller disconnected before its answer was complete. */
export interface WorkCallerGone {
  readonly kind: AdmissionEventKind.CallerGone;
  readonly request: RequestId;
}

/** A running request lost a stage and needs a chain for its remaining tokens. */
export interface WorkChainLost {
  readonly kind: AdmissionEventKind.ChainLost;
  readonly request: RequestId;
  /** Endpoints that the new chain must not use. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Stages that the new chain keeps. */
  readonly keep: readonly StageTarget[];
  /** Whether the request goes on without a new chain; false if absent. */
  readonly canStay?: boolean;
}

/** A digest of a peer arrived. */
export interface AdmissionDigestReceived {
  readonly kind: AdmissionEventKind.DigestReceived;
  readonly digest: VmDigest;
}

/** The request's last attempt ended, with any outcome. */
export interface WorkFinished {
  readonly kind: AdmissionEventKind.Finished;
  readonly request: RequestId;
}

/** A peer left the fleet or failed. */
export interface AdmissionPeerLost {
  readonly kind: AdmissionEventKind.PeerLost;
  readonly vm: VmId;
}

/** A request that another VM ran continues here, without queueing. */
export interface WorkResumed {
  readonly kind: AdmissionEventKind.Resumed;
  readonly work: WorkItem;
}

/** The engines accepted the request. */
export interface WorkStarted {
  readonly kind: AdmissionEventKind.Started;
  readonly request: RequestId;
}

/** A timer tick: time has passed. */
export interface AdmissionTick {
  readonly kind: AdmissionEventKind.Tick;
}

/** Further tokens were delivered to the caller. */
export interface WorkTokenDelivered {
  readonly kind: AdmissionEventKind.TokenDelivered;
  readonly request: RequestId;
  readonly tokens: number;
}

/** Any event that admission handles. */
export type AdmissionEvent =
  | AdmissionAccountsSet
  | WorkArrived
  | WorkCallerGone
  | WorkChainLost
  | AdmissionDigestReceived
  | WorkFinished
  | AdmissionPeerLost
  | WorkResumed
  | WorkStarted
  | AdmissionTick
  | WorkTokenDelivered;

/** Why a request was refused. */
export enum RefusalReason {
  /** The account has used up its fleet-wide limit. */
  AccountLimit = 'accountLimit',
  /** No chain would finish before the deadline. */
  DeadlineTooSoon = 'deadlineTooSoon',
  /** This VM has reached its limit on queued bytes. */
  EntryFull = 'entryFull',
  /** No chain of usable endpoints covers all layers. */
  NoChain = 'noChain',
  /** The predicted or actual wait in the queue is too long. */
  Overloaded = 'overloaded',
  /** The retry budget does not allow replacing a lost chain. */
  RetryBudget = 'retryBudget',
}

/** Why a queued or running request was cancelled. */
export enum CancelReason {
  CallerGone = 'callerGone',
  DeadlinePassed = 'deadlinePassed',
}

/** Kinds of command that admission issues. */
export enum AdmissionCommandKind {
  Cancel = 'cancel',
  Refuse = 'refuse',
  Start = 'start',
}

/** Cancels a queued or running request. */
export interface CancelWork {
  readonly kind: AdmissionCommandKind.Cancel;
  readonly request: RequestId;
  readonly reason: CancelReason;
}

/** Refuses a request; the caller may retry from retryAt on. */
export interface RefuseWork {
  readonly kind: AdmissionCommandKind.Refuse;
  readonly request: RequestId;
  readonly reason: RefusalReason;
  readonly retryAt: Instant;
}

/** Starts the request on a chain. */
export interface StartWork {
  readonly kind: AdmissionCommandKind.Start;
  readonly request: RequestId;
  readonly plan: ChainPlan;
  /** Whether the chain replaces a lost one. */
  readonly isRetry: boolean;
}

/** Any command that admission issues to its host. */
export type AdmissionCommand = CancelWork | RefuseWork | StartWork;
