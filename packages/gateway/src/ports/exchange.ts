import type {IncomingMessage} from 'node:http';
import type {Deadline, Instant} from '@zinniaspindle/shared';
import type {PathPart} from '@zinniaspindle/decisions';

/** Header names and values in turn, as node:http gives and takes them. */
export type RawHeaders = readonly string[];

/** A caller's request, its head decoded. */
export interface CallerRequest {
  readonly host: string;
  readonly path: string;
  readonly attemptId: string;
  readonly key: string | undefined;
  /** How long the caller waits; undefined when it does not say. */
  readonly patienceMilliseconds: number | undefined;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  readonly answerHint: number | undefined;
  /** Last event that the caller has of this stream. */
  readonly lastEventId: string | undefined;
  /** The headers that concern more than one connection, key left out. */
  readonly forwarded: RawHeaders;
}

/** What a request to an endpoint says besides what the caller sent. */
export interface Forwarding {
  readonly endpointId: string;
  readonly deadline: Deadline;
  readonly now: Instant;
  readonly accountName: string | undefined;
  /** 0 is the most urgent, 9 the least; undefined for the usual. */
  readonly urgency: number | undefined;
  /** Undefined for plain services. */
  readonly parts: readonly PathPart[] | undefined;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the head of an endpoint's answer says. */
export interface EndpointAnswer {
  readonly status: number;
  readonly attemptId: string | undefined;
  readonly hasSeal: boolean;
  /** The endpoint states that it did not run the request and will not. */
  readonly isNotRun: boolean;
  /** The endpoint that answered, where it says so. */
  readonly endpointId: string | undefined;
  /** The endpoint that a path failed at, as host:port. */
  readonly faultAddress: string | undefined;
  readonly forwarded: RawHeaders;
}

/** Translates the heads of requests and answers. */
export interface ExchangeCodec {
  decodeRequest(request: IncomingMessage): CallerRequest;
  encodeForwarded(request: CallerRequest, forwarding: Forwarding): RawHeaders;
  decodeAnswer(answer: IncomingMessage): EndpointAnswer;
  /** Headers of an answer of the gateway's own. */
  encodeOwnAnswer(
    request: CallerRequest | undefined,
    retryAfterMilliseconds: number | undefined,
  ): RawHeaders;
  encodeErrorBody(message: string): Buffer;
}

/** The addresses that callers may use, and for how long. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[];
  readonly lifetimeSeconds: number;
}

/** Translates directory and readiness calls. */
export interface DirectoryCodec {
  isDirectoryCall(request: IncomingMessage): boolean;
  isReadyCall(request: IncomingMessage): boolean;
  encodeDirectoryAnswer(answer: DirectoryAnswer): Buffer;
}
