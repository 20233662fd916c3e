import {CodedError} from '@zinniaspindle/shared';
import type {RequestToken} from './inputs.js';

/** Errors of the actions state machine, caused by incorrect use by its host. */
export enum ActionsErrorCode {
  DuplicateRequest = 'duplicateRequest',
}

/** Makes the error for a token of a request that still waits for its answer. */
export function makeDuplicateRequestError(
  request: RequestToken,
): CodedError<ActionsErrorCode> {
  return new CodedError(
    ActionsErrorCode.DuplicateRequest,
    `request token ${request} is already waiting for its answer`,
  );
}
