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

/** Phase of a request. */
export enum RequestPhase {
  Finished = 'finished',
  Running = 'running',
  WaitingForChain = 'waitingForChain',
}

/** The caller's request; the same for all attempts. */
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

/** The tokens that a caller already has, identified by count and hash. */
export interface CallerPrefix {
  /** Number of tokens, from the first on. */
  readonly tokens: number;
  /** Hash of their text. */
  readonly hash: string;
}

/** A chain that was asked for while the attempt goes on. */
export interface RequestMove {
  /** Suspected stages, which the chain leaves out. */
  readonly endpoints: readonly EndpointId[];
}

/** State of one request over all its attempts. */
export interface RequestState {
  readonly spec: RequestSpec;
  phase: RequestPhase;
  /** Number of the attempt; increases with each chain and each takeover. */
  attempt: number;
  chain: readonly StageTarget[];
  /** Tokens delivered so far, in order. */
  readonly delivered: string[];
  /** Whether any stage may have run a layer for this request. */
  mayHaveRun: boolean;
  /** Whether an earlier attempt may have run a layer. */
  earlierMayHaveRun: boolean;
  /** Whether the next attempt continues the stream that its lead stage holds. */
  goesOn: boolean;
  /** Attempt number in the receipts of the last token. */
  lastReceiptAttempt: number;
  /** Tokens that the caller had received when it reconnected to this VM. */
  readonly callerPrefix: CallerPrefix | undefined;
  /** Endpoints that failed an attempt of this request. */
  readonly failedEndpoints: EndpointId[];
  /** Set while a silent attempt waits for another chain. */
  move: RequestMove | undefined;
  /** A silent attempt asks for no other chain before this instant. */
  nextMoveAt: Instant;
  /** When the attempt started or its latest token arrived. */
  lastProgressAt: Instant;
}

/** Creates the state of a new request. */
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
    earlierMayHaveRun: false,
    goesOn: false,
    lastReceiptAttempt: 0,
    callerPrefix: undefined,
    failedEndpoints: [],
    move: undefined,
    nextMoveAt: 0,
    lastProgressAt: now,
  };
}

/** State of a request that another VM ran, from its record and the caller. */
export interface ResumedRequest {
  /** The highest attempt that may have run. */
  readonly attempt: number;
  /** Tokens known to have been delivered. */
  readonly delivered: readonly string[];
  /** Tokens that the caller already has; absent if none. */
  readonly callerPrefix?: CallerPrefix;
}

/** Creates the state of a request that another VM ran before. */
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
    earlierMayHaveRun: true,
    goesOn: true,
    callerPrefix: resumed.callerPrefix,
  };
}
