import type {IncomingMessage} from 'node:http';
import type {Deadline, Instant} from '@zinniaspindle/shared';
import type {
  PathPart,
  ProcessClaims,
  PromptSegments,
} from '@zinniaspindle/decisions';

/** Alternating header names and values, as in node:http's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** The decoded head of a caller's request. */
export interface CallerRequest {
  readonly host: string;
  readonly path: string;
  readonly attemptId: string;
  /** The caller's API key. */
  readonly key: string | undefined;
  /** The caller's timeout; undefined if the request has none. */
  readonly timeoutMilliseconds: number | undefined;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /**
   * Ids of the parts of its prompt that other requests may share, in their order.
   */
  readonly promptParts: readonly string[];
  /**
   * Reads all segments of its prompt, in their order; undefined without any. A
   * function, since only models with a prompt cache need them.
   */
  readonly readPromptSegments?: (() => PromptSegments) | undefined;
  /** Equal for requests with the same model and prompt; empty without one. */
  readonly prompt: string;
  /** The caller's estimate of the number of tokens in the answer. */
  readonly estimatedAnswerTokens: number | undefined;
  /** Id of the last event of this stream that the caller received. */
  readonly lastEventId: string | undefined;
  /** The end-to-end headers, without those that the gateway sets or drops. */
  readonly forwardedHeaders: RawHeaders;
}

/** What the gateway adds to a caller's request before it forwards it. */
export interface ForwardingContext {
  readonly endpointId: string;
  readonly deadline: Deadline;
  readonly now: Instant;
  readonly accountName: string | undefined;
  /** From 0, the most urgent, to 9; undefined for the endpoint's default. */
  readonly urgency: number | undefined;
  /** Path through the endpoints; undefined for services without a model. */
  readonly parts: readonly PathPart[] | undefined;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
  /** Whether the connection may serve further requests; else it is closed. */
  readonly keepsConnection?: boolean;
}

/** What an endpoint states about itself in the headers of any answer. */
export interface EndpointNotice {
  /** Whether it is about to exit and wants no new work. */
  readonly isLeaving: boolean;
  /**
   * For how long from now it wants no requests of this VM; NaN if that cannot be
   * read, undefined if it asks for no pause.
   */
  readonly pauseMilliseconds: number | undefined;
  /**
   * How many requests a second it takes from all VMs together; NaN if that
   * cannot be read, undefined if it names no limit.
   */
  readonly requestsPerSecond?: number | undefined;
}

/**
 * Receives what an endpoint states, and what tells which one it is, as soon as the
 * headers are there.
 */
export type HandleNotice = (
  notice: EndpointNotice,
  claims?: ProcessClaims,
) => void;

/** The decoded head of an endpoint's answer. */
export interface EndpointAnswer extends EndpointNotice {
  readonly status: number;
  readonly attemptId: string | undefined;
  /** Whether the answer has a seal; a success without one is not accepted. */
  readonly hasSeal: boolean;
  /**
   * Whether the endpoint states that it has not executed the request and won't.
   */
  readonly isNotRun: boolean;
  /** Whether it refuses the request because it was meant for another endpoint. */
  readonly isMisdirected: boolean;
  /** Id of the endpoint that answered; undefined if it is not stated. */
  readonly endpointId: string | undefined;
  /** The endpoint of the path that failed, as host:port. */
  readonly failedAddress: string | undefined;
  /** The end-to-end headers. */
  readonly forwardedHeaders: RawHeaders;
}

/** Decodes and encodes the heads of requests and answers. */
export interface ExchangeCodec {
  decodeRequest(request: IncomingMessage): CallerRequest;
  encodeUpstreamHeaders(
    request: CallerRequest,
    forwarding: ForwardingContext,
  ): RawHeaders;
  decodeAnswer(answer: IncomingMessage): EndpointAnswer;
  /** Encodes the headers of an answer that the gateway itself generates. */
  encodeLocalAnswer(
    request: CallerRequest | undefined,
    retryAfterMilliseconds: number | undefined,
  ): RawHeaders;
  encodeErrorBody(message: string): Buffer;
}

/** The addresses that callers may use, and how long they may cache them. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[];
  readonly lifetimeSeconds: number;
}

/** Decodes and encodes directory and readiness calls. */
export interface DirectoryCodec {
  isDirectoryCall(request: IncomingMessage): boolean;
  isReadyCall(request: IncomingMessage): boolean;
  encodeDirectoryAnswer(answer: DirectoryAnswer): Buffer;
}
