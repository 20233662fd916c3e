import {CodedError} from '@zinniaspindle/shared';

/** Why a call to the store failed. */
export enum StoreErrorCode {
  /** A condition of the call does not hold. */
  Conflict = 'conflict',
  /** The records asked for are deleted. */
  Expired = 'expired',
  /** The rate of calls is exhausted. */
  Throttled = 'throttled',
  /** The store said that it did nothing. */
  Unavailable = 'unavailable',
  /** No answer: the call may have been executed, now or later. */
  Lost = 'lost',
  /** The answer cannot be read. */
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
  /** Nothing listens at the address. */
  Unreachable = 'unreachable',
  Silent = 'silent',
  Malformed = 'malformed',
}

/** An error of a direct call to an endpoint. */
export type EndpointError = CodedError<EndpointErrorCode>;

/** Makes an endpoint error. */
export function makeEndpointError(
  code: EndpointErrorCode,
  detail: string,
  cause?: unknown,
): EndpointError {
  return new CodedError(code, `endpoint: ${detail}`, cause);
}
