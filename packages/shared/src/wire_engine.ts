import type {EndpointId, ModelName, RequestId} from './ids.js';
import type {Deadline, Instant} from './instant.js';
import type {LayerRange} from './layer_range.js';
import type {EndpointRole} from './objects.js';

/** A record that a stage ran a layer range for a token in an attempt. */
export interface StageReceipt {
  readonly endpoint: EndpointId;
  readonly layers: LayerRange;
  readonly attempt: number;
}

/** A stage of a chain, as sent to engines. */
export interface StageTarget {
  readonly endpoint: EndpointId;
  readonly address: string;
  readonly layers: LayerRange;
}

/** Prompt and sampling parameters of a request; passed through unchanged. */
export interface GenerationParameters {
  readonly prompt: string;
  readonly maxTokens: number;
  /** Sampling parameters, opaque to the router. */
  readonly sampling: Readonly<Record<string, unknown>>;
}

/**
 * Body of POST /v1/streams at the last stage of a chain. The engine runs the
 * chain and answers with newline-delimited StreamEvent objects.
 */
export interface StreamRequest {
  readonly request: RequestId;
  readonly attempt: number;
  readonly model: ModelName;
  readonly generation: GenerationParameters;
  /** Tokens already delivered to the caller; their count is the next index. */
  readonly given: readonly string[];
  /** Streams with a higher priority are scheduled first. */
  readonly priority: number;
  readonly deadline: Deadline;
  readonly chain: readonly StageTarget[];
  /**
   * Whether the last stage resumes from the tokens that it holds of an earlier
   * attempt: it first resends those after the given ones, with their original
   * receipts, and then generates new ones. Refused with unknownStream when it
   * holds none.
   */
  readonly goesOn?: boolean;
}

/** The kinds of events on an engine's token stream. */
export enum StreamEventKind {
  End = 'end',
  Failed = 'failed',
  Token = 'token',
}

/** A token with the receipts of all stages that ran it. */
export interface TokenEvent {
  readonly kind: StreamEventKind.Token;
  readonly request: RequestId;
  readonly attempt: number;
  readonly index: number;
  readonly text: string;
  readonly receipts: readonly StageReceipt[];
}

/** The end of a generation of `tokens` tokens, including those given before. */
export interface EndEvent {
  readonly kind: StreamEventKind.End;
  readonly request: RequestId;
  readonly attempt: number;
  readonly tokens: number;
}

/** The failure of a chain; `endpoint` is the failed stage, when known. */
export interface FailedEvent {
  readonly kind: StreamEventKind.Failed;
  readonly request: RequestId;
  readonly attempt: number;
  readonly endpoint?: EndpointId;
  readonly reason: EngineRefusal;
  readonly detail: string;
}

/** Any event on an engine's token stream. */
export type StreamEvent = EndEvent | FailedEvent | TokenEvent;

/** Why an engine refuses or terminates work. */
export enum EngineRefusal {
  Cancelled = 'cancelled',
  DeadlinePassed = 'deadlinePassed',
  Leaving = 'leaving',
  ModelNotLoaded = 'modelNotLoaded',
  OldAttempt = 'oldAttempt',
  OldFencing = 'oldFencing',
  /** The engine has not seen the first step of the attempt. */
  UnknownStream = 'unknownStream',
  Overloaded = 'overloaded',
  StageLost = 'stageLost',
  WrongLayers = 'wrongLayers',
}

/**
 * Body of POST /v1/steps, which runs the held layers for one token. With a
 * non-empty `forward` the stage sends its activation to the next stage and
 * answers with the result of the last one; otherwise with its own output.
 */
export interface StepRequest {
  readonly request: RequestId;
  readonly attempt: number;
  readonly index: number;
  readonly model: ModelName;
  readonly layers: LayerRange;
  readonly priority: number;
  readonly deadline: Deadline;
  /**
   * The prompt and the tokens given so far, whose prefix may be cached. Stages
   * keep the context, so it is sent with the first step of an attempt only and
   * is "" afterwards.
   */
  readonly context: string;
  /** Parameters of the generation; sent with the first step of an attempt. */
  readonly generation?: GenerationParameters;
  /** Prompt tokens to prefill before this step; 0 after the first step. */
  readonly prefillTokens: number;
  /** Output of the previous stage; "" at layer 0. */
  readonly activation: string;
  readonly forward: readonly StageTarget[];
}

/** Response to a StepRequest. */
export interface StepResponse {
  /** The activation, or the token's text after the last layer. */
  readonly output: string;
  readonly receipts: readonly StageReceipt[];
  /** Whether this token ends the generation. */
  readonly last?: boolean;
}

/** Response to GET /v1/load; `time` tells how old the figures are. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  /** When the figures were taken, which may be earlier than the response. */
  readonly time: Instant;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens waiting for prefill. */
  readonly queuedPrefillTokens: number;
  readonly leaving: boolean;
}

/** The kinds of changes to an engine's prefix cache. */
export enum CacheEventKind {
  Evicted = 'evicted',
  Stored = 'stored',
}

/**
 * A change to the prefix cache; prefixes are identified by hashPrefixBlocks.
 */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly prefixHashes: readonly string[];
}

/**
 * Response to GET /v1/cache-events?from=N; a missing sequence number is a gap.
 */
export interface CacheEventsResponse {
  readonly next: number;
  readonly events: readonly CacheEvent[];
}

/** The model, layers and role of an engine. */
export interface EngineState {
  readonly model: ModelName;
  readonly layers: LayerRange;
  readonly role: EndpointRole;
}

/** Body of POST /v1/orders, which sets the wanted state; idempotent. */
export interface OrderRequest {
  readonly wanted: EngineState;
  /** Fencing token: the log offset of the lease record of the orders' owner. */
  readonly fencing: number;
  /** The engine ignores the order after this instant. */
  readonly deadline: Deadline;
}

/** Response to GET /v1/state: what the engine holds and what it is loading. */
export interface EngineStateResponse {
  readonly held?: EngineState;
  readonly loading?: EngineState;
  /** Highest fencing token seen. */
  readonly fencing: number;
}

/** Body of an engine's refusal, with HTTP status 409 or 503. */
export interface EngineProblem {
  readonly reason: EngineRefusal;
  readonly detail: string;
  readonly endpoint: EndpointId;
}
