import type {StreamEvent, StreamRequest} from '@zinniaspindle/shared';
import type {EndpointError} from './errors.js';

/** Hears what an attempt's driver receives. */
export interface DriverListener {
  readonly handleEvent: (event: StreamEvent) => void;
  /** The attempt is over without an end or a failure event. */
  readonly handleError: (error: EndpointError) => void;
}

/** Stops an attempt at the engines. */
export type StopDriver = () => void;

/** Runs one attempt through its chain; returns at once. */
export type TokenDriver = (
  request: StreamRequest,
  listener: DriverListener,
) => StopDriver;
