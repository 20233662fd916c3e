import type {
  Deadline,
  Instant,
  CodedError,
  LogEvent,
} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';

/** How far a planned stop has come. */
export enum DrainPhase {
  /** Listeners are closed; what runs is being finished. */
  Finishing = 'finishing',
  /** Left the directory; still serving callers that hold an answer. */
  Leaving = 'leaving',
  Serving = 'serving',
  Stopped = 'stopped',
}

/** Safety guards of a planned stop; switched off only by tests. */
export interface DrainGuards {
  /** Serves until every directory answer that named this VM has expired. */
  readonly answerExpiry: boolean;
  /** Waits for what is in flight. */
  readonly inFlight: boolean;
}

/** How a planned stop is set up. */
export interface DrainOptions {
  /** Longest until no VM lists a leaving VM any more. */
  readonly propagationMilliseconds: number;
  /** How long a directory answer may be used. */
  readonly answerTtlMilliseconds: number;
  /** Time before the stop deadline at which what still runs is handed over. */
  readonly handOverMilliseconds: number;
  readonly guards: DrainGuards;
}

/** The options that fit the default directory. */
export const defaultDrainOptions: DrainOptions = {
  propagationMilliseconds: 4000,
  answerTtlMilliseconds: 10_000,
  handOverMilliseconds: 2000,
  guards: {answerExpiry: true, inFlight: true},
};

/**
 * The options for several regions: a region's digest names VMs heard up to
 * 8 s before, and is itself used for 10 s more.
 */
export const largeDrainOptions: DrainOptions = {
  ...defaultDrainOptions,
  propagationMilliseconds: 19_000,
};

/** The state of a planned stop. */
export interface DrainState {
  readonly options: DrainOptions;
  phase: DrainPhase;
  inFlight: number;
  /** Until when an answer may name this VM; callers are served until then. */
  serveUntil: Deadline;
  /** The process is gone from here on, whatever runs. */
  deadline: Deadline;
  handedOver: boolean;
}

/** The events that a planned stop takes. */
export enum DrainEventKind {
  InFlightChanged = 'inFlightChanged',
  LeavingPropagated = 'leavingPropagated',
  StopRequested = 'stopRequested',
  Tick = 'tick',
}

/** Any event of a planned stop. */
export type DrainInput =
  | {
      readonly kind: DrainEventKind.InFlightChanged;
      readonly count: number;
    }
  /** Every VM that may answer callers knows that this one leaves. */
  | {readonly kind: DrainEventKind.LeavingPropagated}
  /** A second one hastens the stop. */
  | {readonly kind: DrainEventKind.StopRequested; readonly deadline: Deadline}
  | {readonly kind: DrainEventKind.Tick};

/** The commands that a planned stop gives. */
export enum DrainCommandKind {
  AnnounceLeaving = 'announceLeaving',
  CloseListeners = 'closeListeners',
  Exit = 'exit',
  HandOver = 'handOver',
  ReleaseLeases = 'releaseLeases',
}

/** Any command of a planned stop. */
export type DrainCommand =
  | {
      readonly kind:
        | DrainCommandKind.AnnounceLeaving
        | DrainCommandKind.CloseListeners
        | DrainCommandKind.ReleaseLeases;
    }
  | {
      /** Ends the streams that run so that their callers resume elsewhere. */
      readonly kind: DrainCommandKind.HandOver;
      readonly inFlight: number;
      /** What has not been handed over by then is cut. */
      readonly deadline: Deadline;
    }
  | {
      readonly kind: DrainCommandKind.Exit;
      /** Requests that are cut off. */
      readonly cut: number;
    };

/** Makes the state of a VM that serves. */
export function makeDrainState(options: DrainOptions): DrainState {
  return {
    options,
    phase: DrainPhase.Serving,
    inFlight: 0,
    serveUntil: 0,
    deadline: Number.POSITIVE_INFINITY,
    handedOver: false,
  };
}

/** One decision in the making. */
interface DrainTurn {
  readonly state: DrainState;
  readonly now: Instant;
  readonly commands: DrainCommand[];
  readonly logEvents: LogEvent[];
}

/** Decides how a planned stop goes on. */
export function decideDrain(
  state: DrainState,
  event: DrainInput,
  now: Instant,
): Result<Step<DrainState, DrainCommand>, CodedError> {
  const turn: DrainTurn = {state, now, commands: [], logEvents: []};
  applyEvent(turn, event);
  if (state.phase === DrainPhase.Leaving) checkAnswers(turn);
  if (state.phase === DrainPhase.Finishing) checkFinished(turn);
  const {commands, logEvents} = turn;
  return Result.ok({state, commands, logEvents});
}

function applyEvent(turn: DrainTurn, event: DrainInput): void {
  const {state, now} = turn;
  switch (event.kind) {
    case DrainEventKind.InFlightChanged:
      state.inFlight = event.count;
      return;
    case DrainEventKind.LeavingPropagated: {
      const known = now + state.options.answerTtlMilliseconds;
      state.serveUntil = Math.min(state.serveUntil, known);
      return;
    }
    case DrainEventKind.StopRequested:
      if (state.phase === DrainPhase.Serving) startStop(turn, event.deadline);
      else applySecondStop(turn, event.deadline);
      return;
    case DrainEventKind.Tick:
  }
}

function startStop(turn: DrainTurn, deadline: Deadline): void {
  const {state, now} = turn;
  const {guards, propagationMilliseconds, answerTtlMilliseconds} =
    state.options;
  const served = guards.answerExpiry
    ? propagationMilliseconds + answerTtlMilliseconds
    : 0;
  state.phase = DrainPhase.Leaving;
  state.serveUntil = now + served;
  state.deadline = deadline;
  turn.commands.push(
    {kind: DrainCommandKind.AnnounceLeaving},
    {kind: DrainCommandKind.ReleaseLeases},
  );
  const {serveUntil, inFlight} = state;
  const fields = {serveUntil, deadline, inFlight};
  turn.logEvents.push({event: MembershipEvent.StopStarted, fields});
}

function applySecondStop(turn: DrainTurn, deadline: Deadline): void {
  const {state, now} = turn;
  if (state.phase === DrainPhase.Stopped) return;
  const soonest = now + state.options.handOverMilliseconds;
  state.deadline = Math.min(state.deadline, deadline, soonest);
  state.serveUntil = now;
  const fields = {inFlight: state.inFlight};
  turn.logEvents.push({event: MembershipEvent.StopAccelerated, fields});
}

function checkAnswers(turn: DrainTurn): void {
  const {state, now} = turn;
  if (!isPast(state.serveUntil, now) && !isNearDeadline(turn)) return;
  state.phase = DrainPhase.Finishing;
  turn.commands.push({kind: DrainCommandKind.CloseListeners});
  const fields = {inFlight: state.inFlight};
  turn.logEvents.push({event: MembershipEvent.ListenersClosed, fields});
}

function checkFinished(turn: DrainTurn): void {
  const {state, now} = turn;
  const done = state.inFlight === 0 || !state.options.guards.inFlight;
  if (done || isPast(state.deadline, now)) {
    applyExit(turn);
    return;
  }
  if (state.handedOver || !isNearDeadline(turn)) return;
  state.handedOver = true;
  const {inFlight, deadline} = state;
  turn.commands.push({kind: DrainCommandKind.HandOver, inFlight, deadline});
  const fields = {inFlight};
  turn.logEvents.push({event: MembershipEvent.RequestsHandedOver, fields});
}

function applyExit(turn: DrainTurn): void {
  const cut = turn.state.inFlight;
  turn.state.phase = DrainPhase.Stopped;
  turn.commands.push({kind: DrainCommandKind.Exit, cut});
  turn.logEvents.push({event: MembershipEvent.StopFinished, fields: {cut}});
}

function isNearDeadline(turn: DrainTurn): boolean {
  const {deadline, options} = turn.state;
  return turn.now >= deadline - options.handOverMilliseconds;
}
