import {FinalAnswer, CodedError} from '@zinniaspindle/shared';
import type {Instant, Problem} from '@zinniaspindle/shared';

/** Errors of the callers' interface. */
export enum CallerErrorCode {
  BadField = 'badField',
  BodyTooLarge = 'bodyTooLarge',
  Conflict = 'conflict',
  Forbidden = 'forbidden',
  NotFound = 'notFound',
  NotJson = 'notJson',
  NotReady = 'notReady',
  Stopping = 'stopping',
  TooSlow = 'tooSlow',
  Unauthorized = 'unauthorized',
}

/** HTTP status of each error. */
export const callerErrorStatus: Readonly<Record<CallerErrorCode, number>> = {
  [CallerErrorCode.BadField]: 400,
  [CallerErrorCode.BodyTooLarge]: 413,
  [CallerErrorCode.Conflict]: 409,
  [CallerErrorCode.Forbidden]: 403,
  [CallerErrorCode.NotFound]: 404,
  [CallerErrorCode.NotJson]: 400,
  [CallerErrorCode.NotReady]: 503,
  [CallerErrorCode.Stopping]: 504,
  [CallerErrorCode.TooSlow]: 408,
  [CallerErrorCode.Unauthorized]: 401,
};

/** What a caller did wrong, or why the VM takes no work. */
export class CallerError extends CodedError<CallerErrorCode> {
  constructor(
    code: CallerErrorCode,
    message: string,
    /** The input field at fault. */
    readonly field?: string,
    /** The value that was found there, shortened. */
    readonly value?: string,
    /** When to come back, with NotReady. */
    readonly retryAt?: Instant,
  ) {
    super(code, message);
    this.name = 'CallerError';
  }
}

const maxShownLength = 80;

/** Makes the error for one wrong field. */
export function makeFieldError(
  field: string,
  value: unknown,
  expected: string,
): CallerError {
  const shown = (JSON.stringify(value) ?? 'nothing').slice(0, maxShownLength);
  return new CallerError(
    CallerErrorCode.BadField,
    `field "${field}" is ${shown}, expected ${expected}`,
    field,
    shown,
  );
}

/** Final answer of each error that is not the caller's. */
const ownAnswers: Partial<Readonly<Record<CallerErrorCode, FinalAnswer>>> = {
  [CallerErrorCode.NotReady]: FinalAnswer.NotRun,
  [CallerErrorCode.Stopping]: FinalAnswer.OutcomeUnknown,
};

/** Turns an error into the problem document that the caller gets. */
export function toProblem(error: CallerError): Problem {
  const answer = ownAnswers[error.code] ?? FinalAnswer.Rejected;
  return {
    type: `urn:zinniaspindle:problem:${error.code}`,
    title: error.code,
    status: callerErrorStatus[error.code],
    detail: error.message,
    answer,
    ...(error.field === undefined ? {} : {field: error.field}),
    ...(error.value === undefined ? {} : {value: error.value}),
    ...(error.retryAt === undefined ? {} : {retryAt: error.retryAt}),
  };
}
