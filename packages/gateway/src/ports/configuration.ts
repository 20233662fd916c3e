import type {EngineFigures, StageModel} from '@zinniaspindle/decisions';

/** Whether a route's requests may be executed more than once. */
export enum RouteKind {
  /** May be executed more than once. */
  Safe = 'safe',
  /** May be executed at most once. */
  Unsafe = 'unsafe',
  /** Answered by a stream of events; retried only if the route is resumable. */
  Streaming = 'streaming',
}

/** One of the services that a route distributes its requests to. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** A route of the operator's configuration. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** Target latency of the answer, or of a stream's first event. */
  readonly targetLatencyMilliseconds: number;
  /** Target of the longest gap between a stream's events; undefined for none. */
  readonly gapTargetMilliseconds?: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that may execute one request of a caller. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether another endpoint may resume a stream after its last event. */
  readonly isResumable: boolean;
}

/** A kind of accelerator that endpoints of a service run on. */
export interface AcceleratorKind {
  readonly name: string;
  /** Memory for layers and requests. */
  readonly sizeMegabytes: number;
  /** Factor on the time of a token per layer; lower is faster. */
  readonly pace: number;
  /** Factor on the time of a prefill; undefined if unknown. */
  readonly readFactor?: number | undefined;
}

/** What the endpoints of a model keep of prompts that they have processed. */
export interface PromptCacheLimits {
  /** Prompt tokens that a path keeps at most, in memory no request uses. */
  readonly tokens: number;
  /** Time after its last use for which a prefix is kept. */
  readonly ttlMilliseconds: number;
}

/** The model that a service's endpoints hold, each a range of its layers. */
export interface ServiceModel {
  readonly shape: StageModel;
  readonly kinds: ReadonlyMap<string, AcceleratorKind>;
  /** Mean number of tokens of an answer. */
  readonly meanAnswerTokens: number;
  /** Mean number of tokens of a prompt; undefined if unknown. */
  readonly meanPromptTokens?: number | undefined;
  /** From which times are predicted; undefined if the engine does not state all. */
  readonly figures?: EngineFigures | undefined;
  /** Time by which the endpoints' reports lag; undefined if not stated. */
  readonly reportLagMilliseconds?: number | undefined;
  /** Undefined if its endpoints keep nothing of prompts. */
  readonly promptCache?: PromptCacheLimits | undefined;
}

/** A service of the operator's configuration. */
export interface Service {
  readonly name: string;
  /** Undefined for services without a model. */
  readonly model: ServiceModel | undefined;
}

/** Size limits and timeouts of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The client account of an API key. */
export interface Account {
  readonly name: string;
  readonly priority: number | undefined;
}

/** The complete configuration of one version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Accounts by API key; undefined if no route requires a key. */
  readonly accounts: ReadonlyMap<string, Account> | undefined;
}
