import type {
  Deadline,
  Instant,
  CodedError,
  LogEvent,
} from '@zinniaspindle/shared';
import {isPast, MembershipEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';

/** Phase of a planned stop. */
export enum DrainPhase {
  /** Listeners are closed; requests in flight are being completed. */
  Finishing = 'finishing',
  /** No longer in the directory; still serves callers that hold an answer. */
  Leaving = 'leaving',
  Serving = 'serving',
  Stopped = 'stopped',
}

/** Safeguards of a planned stop; only tests switch them off. */
export interface DrainGuards {
  /** Serves until every directory answer that named this VM has expired. */
  readonly answerExpiry: boolean;
  /** Waits for requests in flight. */
  readonly inFlight: boolean;
}

/** Options of a planned stop. */
export interface DrainOptions {
  /** Longest time until no VM lists a leaving VM any more. */
  readonly propagationMilliseconds: number;
  /** How long a directory answer is valid. */
  readonly answerTtlMilliseconds: number;
  /** How long before the deadline the remaining requests are handed over. */
  readonly handOverMilliseconds: number;
  /** How long before the deadline what is left is answered. */
  readonly answerMilliseconds: number;
  readonly guards: DrainGuards;
}

/** Options that match the default directory options. */
export const defaultDrainOptions: DrainOptions = {
  propagationMilliseconds: 4000,
  answerTtlMilliseconds: 10_000,
  handOverMilliseconds: 2000,
  answerMilliseconds: 500,
  guards: {answerExpiry: true, inFlight: true},
};

/**
 * Options for several regions. A region's digest lists VMs whose own digest may
 * be 8 s old, and is itself used for another 10 s.
 */
export const largeDrainOptions: DrainOptions = {
  ...defaultDrainOptions,
  propagationMilliseconds: 19_000,
};

/** State of a planned stop. */
export interface DrainState {
  readonly options: DrainOptions;
  phase: DrainPhase;
  inFlight: number;
  /**
   * Until when a valid answer may list this VM; new callers are served until
   * then.
   */
  serveUntil: Deadline;
  /** When the process exits even if requests are in flight. */
  deadline: Deadline;
  handedOver: boolean;
  restAnswered: boolean;
}

/** Kinds of input events of a planned stop. */
export enum DrainEventKind {
  InFlightChanged = 'inFlightChanged',
  LeavingPropagated = 'leavingPropagated',
  StopRequested = 'stopRequested',
  Tick = 'tick',
}

/** Any input event of a planned stop. */
export type DrainInput =
  | {
      readonly kind: DrainEventKind.InFlightChanged;
      readonly count: number;
    }
  /** Every VM that answers callers knows that this one is leaving. */
  | {readonly kind: DrainEventKind.LeavingPropagated}
  /** A repeated request shortens the stop. */
  | {readonly kind: DrainEventKind.StopRequested; readonly deadline: Deadline}
  | {readonly kind: DrainEventKind.Tick};

/** Kinds of commands that a planned stop issues. */
export enum DrainCommandKind {
  AnnounceLeaving = 'announceLeaving',
  /** Gives a final answer to every caller that still waits for one. */
  AnswerRest = 'answerRest',
  CloseListeners = 'closeListeners',
  Exit = 'exit',
  HandOver = 'handOver',
  ReleaseLeases = 'releaseLeases',
}

/** Any command that a planned stop issues. */
export type DrainCommand =
  | {
      readonly kind:
        | DrainCommandKind.AnnounceLeaving
        | DrainCommandKind.AnswerRest
        | DrainCommandKind.CloseListeners
        | DrainCommandKind.ReleaseLeases;
    }
  | {
      /**
       * Ends the streams in flight so that their callers resume at other VMs.
       */
      readonly kind: DrainCommandKind.HandOver;
      readonly inFlight: number;
      /** Requests not handed over by then are cut off. */
      readonly deadline: Deadline;
    }
  | {
      readonly kind: DrainCommandKind.Exit;
      /** Number of requests that are cut off. */
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
    restAnswered: false,
  };
}

/** Context of one decision. */
interface DrainTurn {
  readonly state: DrainState;
  readonly now: Instant;
  readonly commands: DrainCommand[];
  readonly logEvents: LogEvent[];
}

/** Runs one step of a planned stop. */
export function decideDrain(
  state: DrainState,
  event: DrainInput,
  now: Instant,
): Result<Step<DrainState, DrainCommand>, CodedError> {
  const turn: DrainTurn = {state, now, commands: [], logEvents: []};
  applyEvent(turn, event);
  if (state.phase === DrainPhase.Leaving) checkAnswerExpiry(turn);
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
      const lastAnswerExpiry = now + state.options.answerTtlMilliseconds;
      state.serveUntil = Math.min(state.serveUntil, lastAnswerExpiry);
      return;
    }
    case DrainEventKind.StopRequested:
      if (state.phase === DrainPhase.Serving) startDrain(turn, event.deadline);
      else applyRepeatedStop(turn);
      return;
    case DrainEventKind.Tick:
  }
}

function startDrain(turn: DrainTurn, deadline: Deadline): void {
  const {state, now} = turn;
  const {guards, propagationMilliseconds, answerTtlMilliseconds} =
    state.options;
  const servingMilliseconds = guards.answerExpiry
    ? propagationMilliseconds + answerTtlMilliseconds
    : 0;
  state.phase = DrainPhase.Leaving;
  state.serveUntil = now + servingMilliseconds;
  // A stop always leaves time for the hand-over.
  state.deadline = Math.max(deadline, computeHandOverEnd(turn));
  turn.commands.push(
    {kind: DrainCommandKind.AnnounceLeaving},
    {kind: DrainCommandKind.ReleaseLeases},
  );
  const {serveUntil, inFlight} = state;
  const fields = {serveUntil, deadline: state.deadline, inFlight};
  turn.logEvents.push({event: MembershipEvent.StopStarted, fields});
}

function applyRepeatedStop(turn: DrainTurn): void {
  const {state, now} = turn;
  if (state.phase === DrainPhase.Stopped) return;
  state.deadline = Math.min(state.deadline, computeHandOverEnd(turn));
  state.serveUntil = now;
  const fields = {inFlight: state.inFlight};
  turn.logEvents.push({event: MembershipEvent.StopAccelerated, fields});
}

function computeHandOverEnd(turn: DrainTurn): Deadline {
  return turn.now + turn.state.options.handOverMilliseconds;
}

function checkAnswerExpiry(turn: DrainTurn): void {
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
    stopProcess(turn);
    return;
  }
  if (!state.handedOver && isNearDeadline(turn)) startHandOver(turn);
  const answerAt = state.deadline - state.options.answerMilliseconds;
  if (!state.restAnswered && isPast(answerAt, now)) answerRest(turn);
}

function startHandOver(turn: DrainTurn): void {
  const {state} = turn;
  state.handedOver = true;
  const {inFlight, deadline} = state;
  turn.commands.push({kind: DrainCommandKind.HandOver, inFlight, deadline});
  const fields = {inFlight};
  turn.logEvents.push({event: MembershipEvent.RequestsHandedOver, fields});
}

function answerRest(turn: DrainTurn): void {
  const {state} = turn;
  state.restAnswered = true;
  turn.commands.push({kind: DrainCommandKind.AnswerRest});
  const fields = {inFlight: state.inFlight};
  turn.logEvents.push({event: MembershipEvent.RestAnswered, fields});
}

function stopProcess(turn: DrainTurn): void {
  const cut = turn.state.inFlight;
  turn.state.phase = DrainPhase.Stopped;
  turn.commands.push({kind: DrainCommandKind.Exit, cut});
  turn.logEvents.push({event: MembershipEvent.StopFinished, fields: {cut}});
}

function isNearDeadline(turn: DrainTurn): boolean {
  const {deadline, options} = turn.state;
  return turn.now >= deadline - options.handOverMilliseconds;
}
