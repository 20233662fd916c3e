/**
 * Whom to ask for a state transfer, and when: one random peer at a time, as a
 * transfer is megabytes; after a gap only if the log brought no snapshot soon.
 */
import {
  ConfigurationEvent,
  type Instant,
  type Random,
  type VmId,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Decide, Step} from '../step.js';
import type {ConfigurationError} from './errors.js';

/** How state requests are set up. */
export interface StateRequestOptions {
  /** Milliseconds that a gap waits for a snapshot of the log. */
  readonly graceMilliseconds: number;
  /** Milliseconds between two requests. */
  readonly retryMilliseconds: number;
}

/** The settings of a production VM. */
export const defaultStateRequestOptions: StateRequestOptions = {
  graceMilliseconds: 500,
  retryMilliseconds: 1000,
};

/** The kinds of event that state requests take. */
export enum StateRequestEventKind {
  PeersChanged = 'peersChanged',
  /** The journal gave the command to take a transfer. */
  Requested = 'requested',
  Tick = 'tick',
}

/** Any event that state requests take. */
export type StateRequestEvent =
  /** The live entry VMs, without this one. */
  | {
      readonly kind: StateRequestEventKind.PeersChanged;
      readonly peers: readonly VmId[];
    }
  | {readonly kind: StateRequestEventKind.Requested}
  /** `hasGap` tells whether the configuration misses records. */
  | {readonly kind: StateRequestEventKind.Tick; readonly hasGap: boolean};

/** Asks a peer for its state. */
export interface StateRequestCommand {
  readonly peer: VmId;
}

/** When a VM may ask next, and whom. */
export interface StateRequestState {
  readonly options: StateRequestOptions;
  peers: readonly VmId[];
  hasGap: boolean;
  /** Earliest instant of the next request. */
  askAt: Instant;
}

/** Creates the state requests of a VM that knows no peers yet. */
export function createStateRequests(
  options: StateRequestOptions,
): StateRequestState {
  return {options, peers: [], hasGap: false, askAt: 0};
}

/** Decides one event of the state requests. */
export const decideStateRequests: Decide<
  StateRequestState,
  StateRequestEvent,
  StateRequestCommand,
  ConfigurationError
> = (
  state: StateRequestState,
  event: StateRequestEvent,
  now: Instant,
  random: Random,
): Result<Step<StateRequestState, StateRequestCommand>, ConfigurationError> => {
  const nothing = {state, commands: [], logEvents: []};
  switch (event.kind) {
    case StateRequestEventKind.PeersChanged:
      state.peers = event.peers;
      return Result.ok(nothing);
    case StateRequestEventKind.Requested:
      return Result.ok(makeRequest(state, now, random));
    case StateRequestEventKind.Tick:
      setGap(state, event.hasGap, now);
      return Result.ok(
        event.hasGap ? makeRequest(state, now, random) : nothing,
      );
  }
};

function setGap(state: StateRequestState, hasGap: boolean, now: Instant): void {
  if (hasGap && !state.hasGap) {
    const graceEndsAt = now + state.options.graceMilliseconds;
    state.askAt = Math.max(state.askAt, graceEndsAt);
  }
  state.hasGap = hasGap;
}

function makeRequest(
  state: StateRequestState,
  now: Instant,
  random: Random,
): Step<StateRequestState, StateRequestCommand> {
  const peer = state.peers[Math.floor(random() * state.peers.length)];
  if (now < state.askAt || peer === undefined) {
    return {state, commands: [], logEvents: []};
  }
  state.askAt = now + state.options.retryMilliseconds;
  const logEvent = {event: ConfigurationEvent.StateRequested, fields: {peer}};
  return {state, commands: [{peer}], logEvents: [logEvent]};
}
