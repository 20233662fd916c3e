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

/** A request as admission sees it. */
export interface WorkItem {
  readonly request: RequestId;
  readonly account: AccountId;
  /** Higher goes first within an account. */
  readonly priority: number;
  /** Bytes that the request holds in memory while it waits. */
  readonly bytes: number;
  readonly query: ChainQuery;
}

/** The kinds of event that admission takes. */
export enum AdmissionEventKind {
  AccountsSet = 'accountsSet',
  Arrived = 'arrived',
  CallerGone = 'callerGone',
  ChainLost = 'chainLost',
  DigestHeard = 'digestHeard',
  Finished = 'finished',
  PeerLost = 'peerLost',
  Resumed = 'resumed',
  Started = 'started',
  Tick = 'tick',
  TokenDelivered = 'tokenDelivered',
}

/** The configured accounts replace the ones before. */
export interface WorkAccountsSet {
  readonly kind: AdmissionEventKind.AccountsSet;
  readonly accounts: readonly AccountObject[];
}

/** A caller's request was read. */
export interface WorkArrived {
  readonly kind: AdmissionEventKind.Arrived;
  readonly work: WorkItem;
}

/** The caller left before its answer was whole. */
export interface WorkCallerGone {
  readonly kind: AdmissionEventKind.CallerGone;
  readonly request: RequestId;
}

/** A running request lost a stage and needs a chain for what is left. */
export interface WorkChainLost {
  readonly kind: AdmissionEventKind.ChainLost;
  readonly request: RequestId;
  /** Endpoints that the new chain must not use. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Stages that go on. */
  readonly keep: readonly StageTarget[];
}

/** A peer told about itself. */
export interface WorkDigestHeard {
  readonly kind: AdmissionEventKind.DigestHeard;
  readonly digest: VmDigest;
}

/** The request's last attempt ended, whatever its outcome. */
export interface WorkFinished {
  readonly kind: AdmissionEventKind.Finished;
  readonly request: RequestId;
}

/** A peer left or died. */
export interface WorkPeerLost {
  readonly kind: AdmissionEventKind.PeerLost;
  readonly vm: VmId;
}

/** A request that another VM ran goes on here; it does not wait. */
export interface WorkResumed {
  readonly kind: AdmissionEventKind.Resumed;
  readonly work: WorkItem;
}

/** The engines took the request. */
export interface WorkStarted {
  readonly kind: AdmissionEventKind.Started;
  readonly request: RequestId;
}

/** Time has passed. */
export interface WorkTick {
  readonly kind: AdmissionEventKind.Tick;
}

/** The caller was given further tokens. */
export interface WorkTokenDelivered {
  readonly kind: AdmissionEventKind.TokenDelivered;
  readonly request: RequestId;
  readonly tokens: number;
}

/** Anything that admission is told. */
export type AdmissionEvent =
  | WorkAccountsSet
  | WorkArrived
  | WorkCallerGone
  | WorkChainLost
  | WorkDigestHeard
  | WorkFinished
  | WorkPeerLost
  | WorkResumed
  | WorkStarted
  | WorkTick
  | WorkTokenDelivered;

/** Why a request is refused. */
export enum RefusalReason {
  /** The account's fleet-wide limit is used up. */
  AccountLimit = 'accountLimit',
  /** No chain would finish before the deadline. */
  DeadlineTooSoon = 'deadlineTooSoon',
  /** The VM's own bounds on requests or bytes are reached. */
  EntryFull = 'entryFull',
  /** No legal chain of usable endpoints exists. */
  NoChain = 'noChain',
  /** The wait in the queue would be too long. */
  Overloaded = 'overloaded',
  /** A lost chain may not be replaced: too many retries already. */
  RetryBudget = 'retryBudget',
}

/** Why running work is cancelled at the engines. */
export enum CancelReason {
  CallerGone = 'callerGone',
  DeadlinePassed = 'deadlinePassed',
}

/** The kinds of command that admission gives. */
export enum AdmissionCommandKind {
  Cancel = 'cancel',
  Refuse = 'refuse',
  Start = 'start',
}

/** Stop the request at the engines. */
export interface CancelWork {
  readonly kind: AdmissionCommandKind.Cancel;
  readonly request: RequestId;
  readonly reason: CancelReason;
}

/** Answer the request now; retryAt is when to come back. */
export interface RefuseWork {
  readonly kind: AdmissionCommandKind.Refuse;
  readonly request: RequestId;
  readonly reason: RefusalReason;
  readonly retryAt: Instant;
}

/** Run the request on a chain. */
export interface StartWork {
  readonly kind: AdmissionCommandKind.Start;
  readonly request: RequestId;
  readonly plan: ChainPlan;
  /** Whether this replaces a lost chain. */
  readonly isRetry: boolean;
}

/** Anything that admission asks of its host. */
export type AdmissionCommand = CancelWork | RefuseWork | StartWork;
