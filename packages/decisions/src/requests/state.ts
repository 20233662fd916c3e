import type {
  AccountId,
  Deadline,
  EndpointId,
  GenerationParameters,
  Instant,
  ModelName,
  PipelineName,
  RequestId,
  StageTarget,
} from '@zinniaspindle/shared';

/** Where a request stands. */
export enum RequestPhase {
  Finished = 'finished',
  Running = 'running',
  WaitingForChain = 'waitingForChain',
}

/** What a caller asked for; constant over all attempts. */
export interface RequestSpec {
  readonly id: RequestId;
  readonly account: AccountId;
  readonly pipeline: PipelineName;
  readonly model: ModelName;
  readonly layerCount: number;
  readonly generation: GenerationParameters;
  readonly priority: number;
  readonly deadline: Deadline;
}

/** The tokens that a caller holds, named without their text. */
export interface CallerPrefix {
  /** Number of tokens, from the first on. */
  readonly tokens: number;
  /** Hash of their text. */
  readonly hash: string;
}

/** One request of a caller, over all its attempts. */
export interface RequestState {
  readonly spec: RequestSpec;
  phase: RequestPhase;
  /** Raised for each new chain, and when another VM takes over. */
  attempt: number;
  chain: readonly StageTarget[];
  /** Tokens delivered so far, in order. */
  readonly delivered: string[];
  /** Whether any stage may have run a layer for this request. */
  mayHaveRun: boolean;
  /** Whether an attempt before the current one may have run a layer. */
  mayHaveRunBefore: boolean;
  /** Whether the next attempt goes on with what its lead stage holds. */
  goesOn: boolean;
  /** Attempt in the receipts of the last token. */
  receiptAttempt: number;
  /** What the caller had when it came here from another VM. */
  readonly callerPrefix: CallerPrefix | undefined;
  /** Endpoints that failed an attempt of this request. */
  readonly failedEndpoints: EndpointId[];
  /** When the attempt, or its latest token, began. */
  lastProgressAt: Instant;
}

/** Starts a request that no VM has run yet. */
export function createRequestState(
  spec: RequestSpec,
  now: Instant,
): RequestState {
  return {
    spec,
    phase: RequestPhase.WaitingForChain,
    attempt: 0,
    chain: [],
    delivered: [],
    mayHaveRun: false,
    mayHaveRunBefore: false,
    goesOn: false,
    receiptAttempt: 0,
    callerPrefix: undefined,
    failedEndpoints: [],
    lastProgressAt: now,
  };
}

/** What is known of a request that another VM ran. */
export interface ResumedRequest {
  /** The highest attempt that may have run. */
  readonly attempt: number;
  /** Tokens that are known to have been delivered. */
  readonly delivered: readonly string[];
  /** What the caller has; absent when it has nothing. */
  readonly callerPrefix?: CallerPrefix;
}

/** Starts a request that another VM ran before. */
export function createResumedState(
  spec: RequestSpec,
  resumed: ResumedRequest,
  now: Instant,
): RequestState {
  return {
    ...createRequestState(spec, now),
    attempt: resumed.attempt,
    delivered: [...resumed.delivered],
    mayHaveRun: true,
    mayHaveRunBefore: true,
    goesOn: true,
    callerPrefix: resumed.callerPrefix,
  };
}
