import {CodedError, type AccountId} from '@zinniaspindle/shared';
import type {RequestId} from '@zinniaspindle/shared';

/** Errors of admission. */
export enum AdmissionErrorCode {
  DuplicateRequest = 'duplicateRequest',
  UnknownAccount = 'unknownAccount',
}

/** An error of the admission layer. */
export type AdmissionError = CodedError<AdmissionErrorCode>;

/** Makes the error for a request that is already queued or running. */
export function makeRepeatedRequestError(request: RequestId): AdmissionError {
  return new CodedError(
    AdmissionErrorCode.DuplicateRequest,
    `request "${request}" is already queued or running`,
  );
}

/** Makes the error for an account that is not configured. */
export function makeUnknownAccountError(account: AccountId): AdmissionError {
  return new CodedError(
    AdmissionErrorCode.UnknownAccount,
    `client account "${account}" is not configured`,
  );
}
