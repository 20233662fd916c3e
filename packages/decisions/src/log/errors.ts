import {CodedError} from '@zinniaspindle/shared';

/** What can be wrong in the log layer. */
export enum LogErrorCode {
  /** A submit repeats the token of one that is not resolved. */
  DuplicateToken = 'duplicateToken',
  /** The text of a record does not decode. */
  MalformedRecord = 'malformedRecord',
}

/** An error of the log layer. */
export type LogError = CodedError<LogErrorCode>;

/** Makes the error for a token that is in use. */
export function makeDuplicateTokenError(token: string): LogError {
  return new CodedError(
    LogErrorCode.DuplicateToken,
    `submit token ${token} is already in use`,
  );
}

/** Makes the error for a record that does not decode. */
export function makeMalformedRecordError(
  reason: string,
  cause?: unknown,
): LogError {
  return new CodedError(LogErrorCode.MalformedRecord, reason, cause);
}
