import type {RequestId, VmId} from '@zinniaspindle/shared';
import {CodedError} from '@zinniaspindle/shared';

/** Errors of request records. */
export enum RecordErrorCode {
  NotOwner = 'records.notOwner',
}

/** Makes the error for storing a record in another VM's name. */
export function makeNotOwner(
  request: RequestId,
  owner: VmId,
  self: VmId,
): CodedError<RecordErrorCode> {
  return new CodedError(
    RecordErrorCode.NotOwner,
    `record of request ${request} names owner ${owner}, but this VM is ${self}`,
  );
}
