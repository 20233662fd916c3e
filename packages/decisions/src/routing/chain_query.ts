import type {
  DataCentreId,
  Deadline,
  EndpointId,
  EndpointObject,
  Instant,
  ModelName,
  StageTarget,
} from '@zinniaspindle/shared';
import type {StageWork} from './fleet_view.js';

/** A prefix of the prompt, named by the hash of its text. */
export interface PromptPrefix {
  readonly hash: string;
  /** Tokens from the start of the prompt to the end of the prefix. */
  readonly tokens: number;
}

/** The token gap that a chain should keep to where a query gives none. */
export const defaultTargetGapMilliseconds = 27;

/** What a chain is wanted for. */
export interface ChainQuery {
  readonly model: ModelName;
  readonly layerCount: number;
  /** Tells whether an endpoint may serve; called for each one, so cheap. */
  readonly isAllowed: (endpoint: EndpointObject) => boolean;
  /** Prompt and given tokens. */
  readonly promptTokens: number;
  /** Prefixes of the prompt, shortest first. */
  readonly prefixes: readonly PromptPrefix[];
  /** Tokens that are left to generate. */
  readonly tokensLeft: number;
  readonly deadline: Deadline;
  /** Milliseconds between tokens that the chain should keep to. */
  readonly targetGapMilliseconds?: number;
  readonly excluded: ReadonlySet<EndpointId>;
  /** Where the tokens are wanted. */
  readonly dataCentre: DataCentreId;
  /** Stages of a running chain that have to stay, with their cache. */
  readonly keep: readonly StageTarget[];
}

/** A chosen chain and what is predicted of it. */
export interface ChainPlan {
  readonly stages: readonly StageTarget[];
  /** The uncached prompt tokens of each stage, for the fleet view. */
  readonly work: readonly StageWork[];
  readonly firstTokenAt: Instant;
  /** Milliseconds between tokens. */
  readonly tokenGapMilliseconds: number;
  readonly finishAt: Instant;
  readonly reason: ChainReason;
}

/** Why a chain was chosen, as fields of a log event. */
export interface ChainReason {
  readonly cost: number;
  /** Longest wait for prefill at a stage. */
  readonly waitMilliseconds: number;
  /** Prompt tokens believed to be cached, least over the stages. */
  readonly cachedTokens: number;
  /** The fullest stage's step over its layers' share of the target gap. */
  readonly fullness: number;
  /** Endpoints that were weighed. */
  readonly weighed: number;
}
