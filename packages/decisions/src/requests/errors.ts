import {CodedError} from '@zinniaspindle/shared';

/** Errors of the request machine: events that no host may send. */
export enum RequestErrorCode {
  ChainNotAsked = 'chainNotAsked',
}

/** A chain came for a request that did not ask for one. */
export function makeChainNotAskedError(
  request: string,
  phase: string,
): CodedError<RequestErrorCode> {
  return new CodedError(
    RequestErrorCode.ChainNotAsked,
    `request "${request}" got a chain in phase "${phase}"`,
  );
}
