import type {EngineRefusal} from '@zinniaspindle/shared';
import {CodedError} from '@zinniaspindle/shared';

/** Errors of the exchange with an endpoint. */
export enum EndpointErrorCode {
  /** The stream or call broke after it may have been taken. */
  Broken = 'broken',
  /** The endpoint sent something that its protocol does not know. */
  Malformed = 'malformed',
  /** The endpoint did not take the work: certainly nothing ran. */
  NotAccepted = 'notAccepted',
}

/** An error of an endpoint, with its own reason when it gave one. */
export class EndpointError extends CodedError<EndpointErrorCode> {
  constructor(
    code: EndpointErrorCode,
    message: string,
    readonly reason?: EngineRefusal,
    cause?: unknown,
  ) {
    super(code, message, cause);
    this.name = 'EndpointError';
  }
}
