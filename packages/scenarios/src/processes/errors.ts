import {CodedError} from '@zinniaspindle/shared';

/** What can go wrong while a scenario runs on processes. */
export enum ProcessesErrorCode {
  NotReady = 'notReady',
  Unknown = 'unknown',
}

/** An error of the runner on processes. */
export type ProcessesError = CodedError<ProcessesErrorCode>;

/** Makes the error for a name that nothing in the fleet has. */
export function makeUnknownError(what: string, name: string): ProcessesError {
  const message = `the fleet has no ${what} "${name}"`;
  return new CodedError(ProcessesErrorCode.Unknown, message);
}

/** Makes the error for a fleet that did not become ready in time. */
export function makeNotReadyError(detail: string): ProcessesError {
  return new CodedError(ProcessesErrorCode.NotReady, detail);
}
