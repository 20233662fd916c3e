import type {
  DataCentreId,
  Deadline,
  EndpointId,
  EndpointObject,
  Instant,
  ModelName,
  StageTarget,
} from '@zinniaspindle/shared';
import type {PromptPrefix} from '../prompts/prompt_prefix.js';
import type {StageLoad} from './fleet_view.js';

/** Target time between tokens for queries that don't set one. */
export const defaultTargetGapMilliseconds = 27;

/** The requirements of a chain for one request. */
export interface ChainQuery {
  readonly model: ModelName;
  readonly layerCount: number;
  /** Tells whether an endpoint may serve; must be cheap, as each is checked. */
  readonly isAllowed: (endpoint: EndpointObject) => boolean;
  /** Number of prompt tokens, including the tokens already delivered. */
  readonly promptTokens: number;
  /** Prefixes of the prompt, shortest first. */
  readonly prefixes: readonly PromptPrefix[];
  /** Number of tokens left to generate. */
  readonly tokensLeft: number;
  readonly deadline: Deadline;
  /** Target time between tokens. */
  readonly targetGapMilliseconds?: number;
  readonly excluded: ReadonlySet<EndpointId>;
  /** Data centre of the VM that receives the tokens. */
  readonly dataCentre: DataCentreId;
  /** Stages of a running chain that are kept, with their cache. */
  readonly keep: readonly StageTarget[];
}

/** A chosen chain and its predicted times. */
export interface ChainPlan {
  readonly stages: readonly StageTarget[];
  /** The uncached prompt tokens of each stage, to record in the fleet view. */
  readonly stageLoads: readonly StageLoad[];
  readonly firstTokenAt: Instant;
  /** Predicted time between tokens. */
  readonly tokenGapMilliseconds: number;
  readonly finishAt: Instant;
  readonly reason: ChainReason;
}

/** Values that explain the choice of a chain, as fields of a log event. */
export interface ChainReason {
  readonly cost: number;
  /** Longest wait for prefill at any stage. */
  readonly waitMilliseconds: number;
  /** Prompt tokens predicted to be cached at every stage. */
  readonly cachedTokens: number;
  /** Highest ratio of a stage's step to its layers' share of the target gap. */
  readonly fullness: number;
  /** Number of endpoints that the search evaluated. */
  readonly weighed: number;
}
