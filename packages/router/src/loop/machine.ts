import type {Step} from '@zinniaspindle/decisions';
import type {Instant, CodedError, LogEvent} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {EventLoop} from './event_loop.js';

/** How a hosted decision is run. */
export interface MachineOptions<State, Event, Command> {
  readonly loop: EventLoop;
  readonly state: State;
  readonly decide: (
    state: State,
    event: Event,
    now: Instant,
  ) => Result<Step<State, Command>, CodedError>;
  readonly execute: (command: Command) => void;
  readonly report: (logEvents: readonly LogEvent[]) => void;
  readonly getNow: () => Instant;
}

/** Hosts one decision: feeds it events and executes its commands. */
export class Machine<State, Event, Command> {
  private current: State;

  constructor(private readonly options: MachineOptions<State, Event, Command>) {
    this.current = options.state;
  }

  /** The present state; read only. */
  get state(): State {
    return this.current;
  }

  /** Hands an event to the decision on the loop. */
  send(event: Event): void {
    this.options.loop.run(() => this.handleEvent(event));
  }

  private handleEvent(event: Event): void {
    const {decide, execute, report, getNow} = this.options;
    const result = decide(this.current, event, getNow());
    if (result.isErr) throw result.error;
    const {state, commands, logEvents} = result.value;
    this.current = state;
    if (logEvents.length > 0) report(logEvents);
    for (const command of commands) execute(command);
  }
}
