import {describeError, CodedError} from '@zinniaspindle/shared';

/** Errors of the command line. */
export enum CliErrorCode {
  BadArgument = 'badArgument',
  BadSettings = 'badSettings',
  Refused = 'refused',
  Unreachable = 'unreachable',
  Unknown = 'unknown',
}

/** Exit code of each error; 0 is success. */
export const exitCodes: Readonly<Record<CliErrorCode, number>> = {
  [CliErrorCode.BadArgument]: 2,
  [CliErrorCode.BadSettings]: 3,
  [CliErrorCode.Unreachable]: 4,
  [CliErrorCode.Refused]: 5,
  [CliErrorCode.Unknown]: 6,
};

/** An error that the command line prints before it exits. */
export class CliError extends CodedError<CliErrorCode> {
  constructor(
    code: CliErrorCode,
    message: string,
    /** What the user can do about it. */
    readonly advice: string,
  ) {
    super(code, message);
    this.name = 'CliError';
  }
}

/** Translates the loss of a call that may have had its effect all the same. */
export function translateLostCall(error: unknown, advice: string): CliError {
  if (error instanceof CliError && error.code !== CliErrorCode.Unreachable) {
    return error;
  }
  return new CliError(CliErrorCode.Unreachable, describeError(error), advice);
}
