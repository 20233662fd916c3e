import type {ProcessClaims} from '@zinniaspindle/decisions';
import {CodedError} from '@zinniaspindle/shared';

/** Why a call to the store failed. */
export enum StoreErrorCode {
  /** A condition of the call does not hold. */
  Conflict = 'conflict',
  /** The records asked for are deleted. */
  Expired = 'expired',
  /** The rate limit of calls is exceeded. */
  Throttled = 'throttled',
  /** The store answered that it did not execute the call. */
  Unavailable = 'unavailable',
  /** No answer: the call may have been executed, or may be later. */
  OutcomeUnknown = 'lost',
  /** The answer cannot be decoded. */
  Malformed = 'malformed',
}

/** An error of a call to the store. */
export type StoreError = CodedError<StoreErrorCode>;

/** Makes a store error. */
export function makeStoreError(
  code: StoreErrorCode,
  detail: string,
  cause?: unknown,
): StoreError {
  return new CodedError(code, `store: ${detail}`, cause);
}

/** Why a direct call to an endpoint failed. */
export enum EndpointErrorCode {
  /** Nothing listens at the address: its process has ended. */
  NotListening = 'notListening',
  /** The connection could not be opened, or failed. */
  Unreachable = 'unreachable',
  /** No answer before the timeout. */
  TimedOut = 'silent',
  /** A process of another endpoint has the address. */
  Replaced = 'replaced',
  Malformed = 'malformed',
  /** The answer exceeded a bound on its bytes. */
  Excessive = 'excessive',
}

/** An error of a direct call to an endpoint. */
export class EndpointError extends CodedError<EndpointErrorCode> {
  constructor(
    code: EndpointErrorCode,
    message: string,
    cause?: unknown,
    /** What an answer that is no report states; undefined without an answer. */
    readonly claims?: ProcessClaims,
  ) {
    super(code, message, cause);
  }
}

/** Makes an endpoint error. */
export function makeEndpointError(
  code: EndpointErrorCode,
  detail: string,
  cause?: unknown,
  claims?: ProcessClaims,
): EndpointError {
  return new EndpointError(code, `endpoint: ${detail}`, cause, claims);
}
