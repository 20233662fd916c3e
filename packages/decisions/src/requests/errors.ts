import {LayerError} from '@zinniaspindle/shared';

/** Errors of the request state machine: events that are invalid in a phase. */
export enum RequestErrorCode {
  ChainNotAsked = 'chainNotAsked',
}

/** Makes the error for a chain assigned to a request that did not ask for one. */
export function makeChainNotAskedError(
  request: string,
  phase: string,
): LayerError<RequestErrorCode> {
  return new LayerError(
    RequestErrorCode.ChainNotAsked,
    `request "${request}" was assigned a chain in phase "${phase}"`,
  );
}
