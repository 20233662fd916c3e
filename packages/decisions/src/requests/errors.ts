import {CodedError} from '@zinniaspindle/shared';

/** Errors of the request state machine: events that are invalid in a phase. */
export enum RequestErrorCode {
  ChainNotAsked = 'chainNotAsked',
}

/** Makes the error for a chain assigned to a request that did not ask for one. */
export function makeChainNotAskedError(
  request: string,
  phase: string,
): CodedError<RequestErrorCode> {
  return new CodedError(
    RequestErrorCode.ChainNotAsked,
    `request "${request}" was assigned a chain in phase "${phase}"`,
  );
}
