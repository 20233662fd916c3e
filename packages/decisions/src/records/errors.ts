import type {RequestId, VmId} from '@zinniaspindle/shared';
import {CodedError} from '@zinniaspindle/shared';

/** Errors of request records. */
export enum RecordErrorCode {
  NotOwner = 'records.notOwner',
}

/** Makes the error for storing a record that another VM owns. */
export function makeNotOwnerError(
  request: RequestId,
  owner: VmId,
  self: VmId,
): CodedError<RecordErrorCode> {
  return new CodedError(
    RecordErrorCode.NotOwner,
    `record of request ${request} is owned by VM ${owner}, but this VM is ${self}`,
  );
}
