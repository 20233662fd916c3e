import {CodedError, type AccountId} from '@zinniaspindle/shared';
import type {RequestId} from '@zinniaspindle/shared';

/** What can go wrong in admission. */
export enum AdmissionErrorCode {
  DuplicateRequest = 'duplicateRequest',
  UnknownAccount = 'unknownAccount',
}

/** An error of the admission layer. */
export type AdmissionError = CodedError<AdmissionErrorCode>;

/** The request is queued or running already. */
export function makeRepeatedRequestError(request: RequestId): AdmissionError {
  return new CodedError(
    AdmissionErrorCode.DuplicateRequest,
    `request "${request}" is queued or running already`,
  );
}

/** The account is not configured. */
export function makeUnknownAccountError(account: AccountId): AdmissionError {
  return new CodedError(
    AdmissionErrorCode.UnknownAccount,
    `client account "${account}" is not configured`,
  );
}
