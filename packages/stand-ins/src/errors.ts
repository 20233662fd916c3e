import {CodedError} from '@zinniaspindle/shared';

/** What can go wrong at a stand-in. */
export enum StandInErrorCode {
  BadRequest = 'badRequest',
  Unreachable = 'unreachable',
}

/** An error of a stand-in. */
export type StandInError = CodedError<StandInErrorCode>;

/** Makes the error for a request that a stand-in cannot read. */
export function makeBadRequest(detail: string): StandInError {
  return new CodedError(StandInErrorCode.BadRequest, detail);
}

/** Makes the error for an exchange that got no answer. */
export function makeUnreachable(
  address: string,
  detail: string,
  cause?: unknown,
): StandInError {
  return new CodedError(
    StandInErrorCode.Unreachable,
    `no answer from ${address}: ${detail}`,
    cause,
  );
}
