import type {
  AccountId,
  Deadline,
  Instant,
  ModelName,
  Random,
  RequestId,
} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {ChainPlan, ChainQuery} from '../routing/chain_query.js';
import type {RoutingError} from '../routing/errors.js';
import {
  canRetry,
  createRetryBudget,
  vmRetryOptions,
  type RetryBudget,
} from '../retries/retry_budget.js';
import {
  createAccountLimits,
  defaultLimitOptions,
  type AccountLimits,
  type LimitOptions,
} from './account_limits.js';
import {createFairQueue, type FairQueue} from './fair_queue.js';
import type {AdmissionPolicy} from './admission_policy.js';
import type {WorkItem} from './messages.js';
import {createMovingRate, type MovingRate} from './moving_rate.js';

/** Plans a chain by what the VM believes now. */
export type PlanChain = (
  query: ChainQuery,
  now: Instant,
  random: Random,
) => Result<ChainPlan, RoutingError>;

/** Reads the tokens a second that the fleet's endpoints can generate now. */
export type ReadCapacity = (now: Instant) => number;

/** The functions and settings that admission works with. */
export interface AdmissionTools {
  readonly planChain: PlanChain;
  readonly readCapacity: ReadCapacity;
  readonly policy: AdmissionPolicy;
  readonly options: AdmissionOptions;
  readonly limitOptions: LimitOptions;
  /** Tells whether a retry is paid for; switched off in proofs only. */
  readonly canRetry: (budget: RetryBudget) => boolean;
}

/** Bounds of one VM. */
export interface AdmissionOptions {
  readonly maxRunning: number;
  readonly maxQueuedBytes: number;
  /** Longest wait in the queue, milliseconds. */
  readonly queueMilliseconds: number;
  /** Pause after a queue met a full fleet, milliseconds. */
  readonly pauseMilliseconds: number;
  /** Memory of the drain rate, milliseconds. */
  readonly drainMemoryMilliseconds: number;
}

/** The bounds used where a deployment gives none. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxRunning: 4000,
  maxQueuedBytes: 64 * 1024 * 1024,
  queueMilliseconds: 1000,
  pauseMilliseconds: 60,
  drainMemoryMilliseconds: 4000,
};

/** A request that runs at the engines. */
export interface RunningWork {
  readonly work: WorkItem;
  tokensDelivered: number;
  /** Times that a lost chain was replaced. */
  replacements: number;
}

/** The queue of one model and what is known of its pace. */
export interface ModelQueue {
  readonly queue: FairQueue;
  /** Tokens a second that leave the queue. */
  readonly drain: MovingRate;
  firstTokenMilliseconds: number;
  gapMilliseconds: number;
  /** The queue is not looked at before this instant. */
  pausedUntil: Deadline;
}

/** Everything that admission at one VM knows. */
export interface AdmissionState {
  readonly limits: AccountLimits;
  readonly models: Map<ModelName, ModelQueue>;
  readonly running: Map<RequestId, RunningWork>;
  readonly queued: Map<RequestId, WorkItem>;
  queuedBytes: number;
  readonly retries: RetryBudget;
  readonly accountRetries: Map<AccountId, RetryBudget>;
}

/** Creates the state of a VM that has no requests yet. */
export function createAdmission(): AdmissionState {
  return {
    limits: createAccountLimits(),
    models: new Map(),
    running: new Map(),
    queued: new Map(),
    queuedBytes: 0,
    retries: createRetryBudget(vmRetryOptions),
    accountRetries: new Map(),
  };
}

/** Takes the queue of a model, creating it at first use. */
export function takeModelQueue(
  state: AdmissionState,
  model: ModelName,
  now: Instant,
): ModelQueue {
  const known = state.models.get(model);
  if (known !== undefined) return known;
  const created: ModelQueue = {
    queue: createFairQueue(),
    drain: createMovingRate(now),
    firstTokenMilliseconds: 0,
    gapMilliseconds: 0,
    pausedUntil: 0,
  };
  state.models.set(model, created);
  return created;
}

/** Makes the tools of a VM from what a deployment sets. */
export function makeAdmissionTools(
  tools: Pick<AdmissionTools, 'planChain' | 'policy' | 'readCapacity'> &
    Partial<AdmissionTools>,
): AdmissionTools {
  return {
    options: defaultAdmissionOptions,
    limitOptions: defaultLimitOptions,
    canRetry,
    ...tools,
  };
}
