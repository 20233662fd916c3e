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

/** Kinds of event of a request. */
export enum RequestEventKind {
  CallerGone = 'callerGone',
  ChainAssigned = 'chainAssigned',
  ChainRefused = 'chainRefused',
  DeadlineReached = 'deadlineReached',
  Ended = 'ended',
  Failed = 'failed',
  NotAccepted = 'notAccepted',
  Silent = 'silent',
  StopReached = 'stopReached',
  StreamBroken = 'streamBroken',
  Superseded = 'superseded',
  Token = 'token',
}

/** Routing assigned a chain to the next attempt. */
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

/** The engine reported the end of the generation. */
export interface StreamEnded {
  readonly kind: RequestEventKind.Ended;
  readonly end: EndEvent;
}

/** The engine reported that the chain can't continue. */
export interface StreamFailed {
  readonly kind: RequestEventKind.Failed;
  readonly failure: FailedEvent;
}

/** The lead stage did not accept the stream: no stage ran or will run it. */
export interface StreamNotAccepted {
  readonly kind: RequestEventKind.NotAccepted;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** The engine's reason; absent if the connection failed. */
  readonly reason?: EngineRefusal;
  readonly detail: string;
}

/** The stream closed without an end event, or carried invalid data. */
export interface StreamBroken {
  readonly kind: RequestEventKind.StreamBroken;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly detail: string;
}

/** No token arrived within the timeout derived from the chain's recent gaps. */
export interface StreamSilent {
  readonly kind: RequestEventKind.Silent;
  readonly attempt: number;
  /** Suspected stages: no other stream received tokens through them either. */
  readonly endpoints: readonly EndpointId[];
}

/** The caller disconnected and did not reconnect in time. */
export interface CallerGone {
  readonly kind: RequestEventKind.CallerGone;
}

/** The request's deadline has passed. */
export interface DeadlineReached {
  readonly kind: RequestEventKind.DeadlineReached;
}

/** The VM ends before the request does. */
export interface StopReached {
  readonly kind: RequestEventKind.StopReached;
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
  | StopReached
  | StreamBroken
  | StreamEnded
  | StreamFailed
  | StreamNotAccepted
  | StreamSilent
  | TokenArrived;

/** Kinds of command that a request issues to its host. */
export enum RequestCommandKind {
  AskChain = 'askChain',
  CancelStream = 'cancelStream',
  Deliver = 'deliver',
  Finish = 'finish',
  OpenStream = 'openStream',
  ReportEndpoint = 'reportEndpoint',
  SaveRecord = 'saveRecord',
}

/** Asks routing for a chain that avoids the excluded endpoints and keeps stages. */
export interface AskChain {
  readonly kind: RequestCommandKind.AskChain;
  readonly excluded: readonly EndpointId[];
  readonly keep: readonly StageTarget[];
  /** Whether the attempt goes on until a chain is assigned, and without one. */
  readonly canStay: boolean;
}

/** Opens the engine stream of an attempt. */
export interface OpenStream {
  readonly kind: RequestCommandKind.OpenStream;
  readonly attempt: number;
  readonly chain: readonly StageTarget[];
  /** Whether the lead stage continues a stream that it already holds. */
  readonly goesOn: boolean;
}

/** Cancels an attempt at every stage of its chain. */
export interface CancelStream {
  readonly kind: RequestCommandKind.CancelStream;
  readonly attempt: number;
  readonly chain: readonly StageTarget[];
}

/** Stores the request record at its holders. */
export interface SaveRecord {
  readonly kind: RequestCommandKind.SaveRecord;
}

/** Delivers one token to the caller. */
export interface DeliverToken {
  readonly kind: RequestCommandKind.Deliver;
  readonly index: number;
  readonly text: string;
}

/** Reports an endpoint that failed an attempt to the fleet view. */
export interface ReportEndpoint {
  readonly kind: RequestCommandKind.ReportEndpoint;
  readonly endpoint: EndpointId;
  readonly certainty: FailureCertainty;
  readonly reason?: EngineRefusal;
  readonly detail: string;
}

/** Sends the final answer; retryAt is when the caller may try again. */
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
