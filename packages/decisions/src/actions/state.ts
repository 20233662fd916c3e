import type {
  AccountId,
  ActionKey,
  Deadline,
  Instant,
  ServiceName,
} from '@zinniaspindle/shared';
import type {
  AbandonmentRecord,
  Offset,
  OutcomeRecord,
  WriterId,
} from '../log/records.js';
import type {SubmitToken} from '../log/journal_types.js';
import type {Turn} from '../turn.js';
import type {ActionCommand} from './commands.js';
import type {ActionRequest, AttemptNumber, RequestToken} from './inputs.js';
import type {ActionGuard, ActionsOptions} from './options.js';

/** Status of the claim that won its key, as folded from the log. */
export enum ClaimStatus {
  /**
   * Its writer has not called and never will; the next claim on the key wins.
   */
  Abandoned = 'abandoned',
  Active = 'active',
  Completed = 'completed',
  /** Its writer called and does not know the result. */
  OutcomeUnknown = 'outcomeUnknown',
}

/** The claim that won its key, as folded from the log. */
export interface ClaimEntry {
  readonly account: AccountId;
  readonly key: ActionKey;
  readonly offset: Offset;
  readonly writer: WriterId;
  readonly attempt: AttemptNumber;
  readonly service: ServiceName;
  readonly digest: string;
  readonly forgetAt: Instant;
  fate: ClaimStatus;
  result?: string;
}

/** One claim of a window, with its account and key as one text. */
export interface WindowClaim {
  readonly claimKey: string;
  readonly entry: ClaimEntry;
}

/** All claims that a VM holds, oldest first; transferred to new VMs. */
export type ClaimWindow = readonly WindowClaim[];

/** Stage of an attempt of this VM. */
export enum AttemptStage {
  Calling = 'calling',
  Claiming = 'claiming',
  /** The claim won; the call waits for the service's concurrency limit. */
  Queued = 'queued',
}

/** One attempt of this VM, started by one request. */
export interface Attempt {
  readonly number: AttemptNumber;
  readonly initiator: ActionRequest;
  /** The call is not sent after this instant. */
  readonly deadline: Deadline;
  stage: AttemptStage;
  /** Log offset of the claim; -1 until it was read back. */
  claim: Offset;
  /** When the outcome of the call counts as unknown. */
  callExpiresAt: Deadline;
}

/** A request that waits for its final answer. */
export interface WaitingRequest {
  readonly request: ActionRequest;
  readonly deadline: Deadline;
  /** When to look up the result at the service; absent without look-ups. */
  lookUpAt?: Instant;
}

/** An outcome or abandonment whose append is not confirmed yet. */
export interface PendingRecord {
  readonly body: AbandonmentRecord | OutcomeRecord;
  readonly giveUpAt: Deadline;
  /** When to submit it again; absent while a submission is in progress. */
  resubmitAt?: Instant;
}

/** State of protected actions at one VM. */
export interface ActionsState {
  readonly options: ActionsOptions;
  ready: boolean;
  nextAttempt: AttemptNumber;
  nextToken: number;
  /** Winning claims by account and key, oldest first. */
  readonly claims: Map<string, ClaimEntry>;
  readonly attempts: Map<AttemptNumber, Attempt>;
  /** This VM's attempt by account and key. */
  readonly attemptByKey: Map<string, Attempt>;
  readonly waiting: Map<RequestToken, WaitingRequest>;
  readonly waitingByKey: Map<string, Set<RequestToken>>;
  readonly claimTokens: Map<SubmitToken, AttemptNumber>;
  readonly pending: Map<SubmitToken, PendingRecord>;
}

/** Context of one decision of the actions state machine. */
export type ActionsTurn = Turn<ActionsState, ActionCommand>;

/** Creates the state of a VM that has not read any records yet. */
export function createActionsState(options: ActionsOptions): ActionsState {
  return {
    options,
    ready: false,
    nextAttempt: 1,
    nextToken: 1,
    claims: new Map(),
    attempts: new Map(),
    attemptByKey: new Map(),
    waiting: new Map(),
    waitingByKey: new Map(),
    claimTokens: new Map(),
    pending: new Map(),
  };
}

/** Lists all claims, for a new VM that can't read them from the log. */
export function listClaims(state: ActionsState): ClaimWindow {
  const window: WindowClaim[] = [];
  for (const [claimKey, entry] of state.claims) {
    window.push({claimKey, entry: {...entry}});
  }
  return window;
}

/** Formats an account and key as one unique text. */
export function formatClaimKey(account: AccountId, key: ActionKey): string {
  return `${account}/${key}`;
}

/** Tells whether a safeguard is on; only tests switch them off. */
export function isGuarded(state: ActionsState, guard: ActionGuard): boolean {
  return !state.options.guardsOff?.has(guard);
}
