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

/** Plans a chain from the VM's current view of the fleet. */
export type PlanChain = (
  query: ChainQuery,
  now: Instant,
  random: Random,
) => Result<ChainPlan, RoutingError>;

/** Reads the fleet's current capacity, in tokens per second. */
export type ReadCapacity = (now: Instant) => number;

/** Functions and settings that admission depends on. */
export interface AdmissionTools {
  readonly planChain: PlanChain;
  readonly readCapacity: ReadCapacity;
  readonly policy: AdmissionPolicy;
  readonly options: AdmissionOptions;
  readonly limitOptions: LimitOptions;
  /** Tells whether the budget allows a retry; only tests replace it. */
  readonly canRetry: (budget: RetryBudget) => boolean;
}

/** Limits of admission at one VM. */
export interface AdmissionOptions {
  readonly maxRunning: number;
  readonly maxQueuedBytes: number;
  /** Longest wait in the queue. */
  readonly maxQueueMilliseconds: number;
  /** How long a queue pauses after none of its requests could start. */
  readonly pauseMilliseconds: number;
  /** Time constant of the exponential decay of the drain rate. */
  readonly drainDecayMilliseconds: number;
}

/** Limits that apply unless a deployment overrides them. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxRunning: 4000,
  maxQueuedBytes: 64 * 1024 * 1024,
  maxQueueMilliseconds: 1000,
  pauseMilliseconds: 60,
  drainDecayMilliseconds: 4000,
};

/** A request that runs at the engines. */
export interface RunningWork {
  readonly work: WorkItem;
  tokensDelivered: number;
  /** Number of lost chains that were replaced. */
  replacements: number;
}

/** The queue of one model, with its drain rate and latest predictions. */
export interface ModelQueue {
  readonly queue: FairQueue;
  /** Tokens per second that leave the queue. */
  readonly drainRate: MovingRate;
  /** Predicted time to the first token, from the last plan. */
  firstTokenMilliseconds: number;
  /** Predicted time between tokens, from the last plan, capped by the policy. */
  gapMilliseconds: number;
  /** No request of this queue starts before this instant. */
  pausedUntil: Deadline;
}

/** State of admission at one VM. */
export interface AdmissionState {
  readonly limits: AccountLimits;
  readonly models: Map<ModelName, ModelQueue>;
  readonly running: Map<RequestId, RunningWork>;
  readonly queued: Map<RequestId, WorkItem>;
  queuedBytes: number;
  readonly vmRetryBudget: RetryBudget;
  readonly accountRetryBudgets: Map<AccountId, RetryBudget>;
}

/** Creates the state of a VM without requests. */
export function createAdmissionState(): AdmissionState {
  return {
    limits: createAccountLimits(),
    models: new Map(),
    running: new Map(),
    queued: new Map(),
    queuedBytes: 0,
    vmRetryBudget: createRetryBudget(vmRetryOptions),
    accountRetryBudgets: new Map(),
  };
}

/** Returns the queue of a model, created on first use. */
export function takeModelQueue(
  state: AdmissionState,
  model: ModelName,
  now: Instant,
): ModelQueue {
  const known = state.models.get(model);
  if (known !== undefined) return known;
  const created: ModelQueue = {
    queue: createFairQueue(),
    drainRate: createMovingRate(now),
    firstTokenMilliseconds: 0,
    gapMilliseconds: 0,
    pausedUntil: 0,
  };
  state.models.set(model, created);
  return created;
}

/** Makes the admission tools of a VM; absent ones have defaults. */
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
