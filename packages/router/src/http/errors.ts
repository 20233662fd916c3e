import {CodedError} from '@zinniaspindle/shared';

/** Errors of an HTTP exchange with another system. */
export enum HttpErrorCode {
  /** The connection broke; the request may have been received. */
  Broken = 'broken',
  /** No connection came about; the request was certainly not received. */
  NotConnected = 'notConnected',
  /** The answer is not what the protocol says. */
  BadAnswer = 'badAnswer',
  /** The deadline passed; the request may have been received. */
  TimedOut = 'timedOut',
}

/** An error of an HTTP exchange. */
export type HttpError = CodedError<HttpErrorCode>;

/** Makes an HTTP error that names the peer. */
export function makeHttpError(
  code: HttpErrorCode,
  address: string,
  path: string,
  detail: string,
  cause?: unknown,
): HttpError {
  const message = `http://${address}${path}: ${code}: ${detail}`;
  return new CodedError(code, message, cause);
}
