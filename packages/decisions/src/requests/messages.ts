import type {
  EndEvent,
  EndpointId,
  EngineRefusal,
  FailedEvent,
  FinalAnswer,
  Instant,
  StageTarget,
  TokenEvent,
} from '@zinniaspindle/shared';
import type {FailureCertainty} from '../retries/breaker.js';

/** What can happen to a request. */
export enum RequestEventKind {
  CallerGone = 'callerGone',
  ChainAssigned = 'chainAssigned',
  ChainRefused = 'chainRefused',
  DeadlineReached = 'deadlineReached',
  Ended = 'ended',
  Failed = 'failed',
  NotAccepted = 'notAccepted',
  Silent = 'silent',
  StreamBroken = 'streamBroken',
  Superseded = 'superseded',
  Token = 'token',
}

/** Routing found a chain for the next attempt. */
export interface ChainAssigned {
  readonly kind: RequestEventKind.ChainAssigned;
  readonly chain: readonly StageTarget[];
}

/** No chain can meet the deadline, or the retry budget is spent. */
export interface ChainRefused {
  readonly kind: RequestEventKind.ChainRefused;
  readonly retryAt: Instant;
  readonly reason: string;
}

/** The engine streamed a token. */
export interface TokenArrived {
  readonly kind: RequestEventKind.Token;
  readonly token: TokenEvent;
}

/** The engine says that the generation is complete. */
export interface StreamEnded {
  readonly kind: RequestEventKind.Ended;
  readonly end: EndEvent;
}

/** The engine says that the chain cannot go on. */
export interface StreamFailed {
  readonly kind: RequestEventKind.Failed;
  readonly failure: FailedEvent;
}

/** The lead stage did not take the stream: no stage ran or will run it. */
export interface StreamNotAccepted {
  readonly kind: RequestEventKind.NotAccepted;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** The engine's reason; absent when it could not be connected to. */
  readonly reason?: EngineRefusal;
  readonly detail: string;
}

/** The stream closed without an end, or the engine answered nonsense. */
export interface StreamBroken {
  readonly kind: RequestEventKind.StreamBroken;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly detail: string;
}

/** No token came for longer than the chain's recent gaps allow. */
export interface StreamSilent {
  readonly kind: RequestEventKind.Silent;
  readonly attempt: number;
  /** Stages that no other stream had tokens from either. */
  readonly endpoints: readonly EndpointId[];
}

/** The caller left and did not come back in time. */
export interface CallerGone {
  readonly kind: RequestEventKind.CallerGone;
}

/** The request's deadline has passed. */
export interface DeadlineReached {
  readonly kind: RequestEventKind.DeadlineReached;
}

/** Another VM took the request over. */
export interface RequestSuperseded {
  readonly kind: RequestEventKind.Superseded;
  readonly attempt: number;
}

/** Any event of a request. */
export type RequestEvent =
  | CallerGone
  | ChainAssigned
  | ChainRefused
  | DeadlineReached
  | RequestSuperseded
  | StreamBroken
  | StreamEnded
  | StreamFailed
  | StreamNotAccepted
  | StreamSilent
  | TokenArrived;

/** What a request asks of its host. */
export enum RequestCommandKind {
  AskChain = 'askChain',
  CancelStream = 'cancelStream',
  Deliver = 'deliver',
  Finish = 'finish',
  OpenStream = 'openStream',
  ReportEndpoint = 'reportEndpoint',
  SaveRecord = 'saveRecord',
}

/** Asks routing for a chain that avoids endpoints and keeps others. */
export interface AskChain {
  readonly kind: RequestCommandKind.AskChain;
  readonly excluded: readonly EndpointId[];
  readonly keep: readonly StageTarget[];
}

/** Opens the engine stream of an attempt. */
export interface OpenStream {
  readonly kind: RequestCommandKind.OpenStream;
  readonly attempt: number;
  readonly chain: readonly StageTarget[];
  /** Whether the lead stage is to go on with what it holds. */
  readonly goesOn: boolean;
}

/** Cancels the engine stream of an attempt at every stage. */
export interface CancelStream {
  readonly kind: RequestCommandKind.CancelStream;
  readonly attempt: number;
  readonly chain: readonly StageTarget[];
}

/** Stores the request record at its holders. */
export interface SaveRecord {
  readonly kind: RequestCommandKind.SaveRecord;
}

/** Hands one token to the caller. */
export interface DeliverToken {
  readonly kind: RequestCommandKind.Deliver;
  readonly index: number;
  readonly text: string;
}

/** Tells the endpoint view that an endpoint failed an attempt. */
export interface ReportEndpoint {
  readonly kind: RequestCommandKind.ReportEndpoint;
  readonly endpoint: EndpointId;
  readonly certainty: FailureCertainty;
  readonly reason?: EngineRefusal;
  readonly detail: string;
}

/** Gives the final answer. */
export interface FinishRequest {
  readonly kind: RequestCommandKind.Finish;
  readonly answer: FinalAnswer;
  readonly detail: string;
  readonly tokens: number;
  readonly retryAt?: Instant;
}

/** Any command of a request. */
export type RequestCommand =
  | AskChain
  | CancelStream
  | DeliverToken
  | FinishRequest
  | OpenStream
  | ReportEndpoint
  | SaveRecord;
