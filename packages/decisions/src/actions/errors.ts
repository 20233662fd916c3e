import {CodedError} from '@zinniaspindle/shared';
import type {RequestToken} from './inputs.js';

/** Errors of the actions machine: mistakes of its host. */
export enum ActionsErrorCode {
  DuplicateRequest = 'duplicateRequest',
}

/** The error of a request token that is still waiting for its answer. */
export function makeDuplicateRequestError(
  request: RequestToken,
): CodedError<ActionsErrorCode> {
  return new CodedError(
    ActionsErrorCode.DuplicateRequest,
    `request token ${request} is already waiting for its answer`,
  );
}
