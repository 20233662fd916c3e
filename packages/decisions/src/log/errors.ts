import {CodedError} from '@zinniaspindle/shared';

/** Error codes of the log layer. */
export enum LogErrorCode {
  /** A submit uses the token of a submit that is not resolved yet. */
  DuplicateToken = 'duplicateToken',
  /** The text of a record does not decode. */
  MalformedRecord = 'malformedRecord',
}

/** An error of the log layer. */
export type LogError = CodedError<LogErrorCode>;

/** Makes the error for a submit token that is already in use. */
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
