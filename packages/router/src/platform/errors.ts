import {CodedError} from '@zinniaspindle/shared';
import {HttpErrorCode} from '../http/errors.js';
import type {HttpError} from '../http/errors.js';

/** Errors of the platform's services. */
export enum PlatformErrorCode {
  /** Whether the call took effect is not known. */
  OutcomeUnknown = 'outcomeUnknown',
  /** The call certainly had no effect. */
  NotDone = 'notDone',
  /** The call certainly had no effect: the service limits its rate. */
  RateLimited = 'rateLimited',
}

/** An error of the platform's services. */
export type PlatformError = CodedError<PlatformErrorCode>;

/** Turns an error of the HTTP exchange into one of the platform. */
export function translateHttpError(error: HttpError): PlatformError {
  const code =
    error.code === HttpErrorCode.NotConnected
      ? PlatformErrorCode.NotDone
      : PlatformErrorCode.OutcomeUnknown;
  return new CodedError(code, error.message, error);
}

const statusTooMany = 429;
const statusUnavailable = 503;

/** Makes the error for an answer with another status than 200. */
export function makeStatusError(
  service: string,
  status: number,
): PlatformError {
  const message = `${service} answered with status ${status}`;
  return new CodedError(findStatusCode(status), message);
}

function findStatusCode(status: number): PlatformErrorCode {
  if (status === statusTooMany) return PlatformErrorCode.RateLimited;
  if (status === statusUnavailable) return PlatformErrorCode.NotDone;
  return PlatformErrorCode.OutcomeUnknown;
}
