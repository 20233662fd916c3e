import type {Instant, LogEvent, Random} from '@zinniaspindle/shared';
import type {Step} from './step.js';

/**
 * Context of one step: the state and time, and the commands and log events so
 * far.
 */
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

/** Returns the result of a finished turn. */
export function toStep<State, Command>(
  turn: Turn<State, Command>,
): Step<State, Command> {
  return {
    state: turn.state,
    commands: turn.commands,
    logEvents: turn.logEvents,
  };
}
