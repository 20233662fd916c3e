import type {
  Instant,
  CodedError,
  LogEvent,
  Random,
} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';

/** The result of one decision. */
export interface Step<State, Command> {
  readonly state: State;
  /** What the host is to do, in order. */
  readonly commands: readonly Command[];
  /** Why the decision was taken; logged and kept for `explain`. */
  readonly logEvents: readonly LogEvent[];
}

/**
 * A decision: a pure state machine. The state passed in belongs to the
 * decision and may be changed in place; only the state of the step is valid
 * afterwards. Time and randomness come from the host.
 */
export type Decide<State, Event, Command, Failure extends CodedError> = (
  state: State,
  event: Event,
  now: Instant,
  random: Random,
) => Result<Step<State, Command>, Failure>;
