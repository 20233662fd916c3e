import type {Instant, LogEvent, Random} from '@zinniaspindle/shared';
import type {Step} from './step.js';

/** What one decision works with: its input, and the commands and log events so far. */
export interface Turn<State, Command> {
  readonly state: State;
  readonly now: Instant;
  readonly random: Random;
  readonly commands: Command[];
  readonly logEvents: LogEvent[];
}

/** Starts a turn without commands or log events. */
export function startTurn<State, Command>(
  state: State,
  now: Instant,
  random: Random,
): Turn<State, Command> {
  return {state, now, random, commands: [], logEvents: []};
}

/** Turns a finished turn into the step of its decision. */
export function toStep<State, Command>(
  turn: Turn<State, Command>,
): Step<State, Command> {
  return {
    state: turn.state,
    commands: turn.commands,
    logEvents: turn.logEvents,
  };
}
