import type {
  Instant,
  CodedError,
  LogEvent,
  Random,
} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';

/** Result of one step of a state machine. */
export interface Step<State, Command> {
  readonly state: State;
  /** Commands for the host to execute in order. */
  readonly commands: readonly Command[];
  /** Log events that explain the step; logged and kept for `explain`. */
  readonly logEvents: readonly LogEvent[];
}

/**
 * One step of a state machine without I/O. It takes ownership of the state and
 * may change it in place; afterwards only the state of the returned step is
 * valid. Time and randomness come from the host.
 */
export type Decide<State, Event, Command, Failure extends CodedError> = (
  state: State,
  event: Event,
  now: Instant,
  random: Random,
) => Result<Step<State, Command>, Failure>;
