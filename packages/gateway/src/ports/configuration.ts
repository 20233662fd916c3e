import type {StageModel} from '@zinniaspindle/decisions';

/** What a route's requests allow to be repeated. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** May run once at most. */
  Unsafe = 'unsafe',
  /** Answered by a stream of events; may run again only where resumable. */
  Streaming = 'streaming',
}

/** One of the services that a route's requests are shared among. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** A route as the operator published it. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest that fits a path wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or a stream's first event, that callers want. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints that may run one request of a caller. */
  readonly attempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another endpoint after its last event. */
  readonly isResumable: boolean;
}

/** A kind of accelerator that endpoints of a model service run on. */
export interface AcceleratorKind {
  readonly name: string;
  readonly sizeMegabytes: number;
  /** Factor on the time of a token's pass. */
  readonly pace: number;
}

/** The model that a service's endpoints share among them. */
export interface ServiceModel {
  readonly shape: StageModel;
  readonly kinds: ReadonlyMap<string, AcceleratorKind>;
  /** Mean tokens of an answer. */
  readonly usualAnswerTokens: number;
}

/** A service as the operator published it. */
export interface Service {
  readonly name: string;
  /** Undefined for plain services. */
  readonly model: ServiceModel | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** The client account that a key belongs to. */
export interface Account {
  readonly name: string;
  readonly priority: number | undefined;
}

/** The whole configuration of one version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Accounts by key; undefined when callers need no key at all. */
  readonly accounts: ReadonlyMap<string, Account> | undefined;
}
