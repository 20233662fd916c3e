/**
 * Decides when to request a state transfer, and from which peer. Only one
 * random peer is asked at a time, because a transfer has megabytes. After a gap
 * the VM first waits for a snapshot from the log.
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

/** Options of state requests. */
export interface StateRequestOptions {
  /** How long to wait for a snapshot from the log after a gap. */
  readonly graceMilliseconds: number;
  /** Minimum time between two requests. */
  readonly retryMilliseconds: number;
}

/** Production defaults. */
export const defaultStateRequestOptions: StateRequestOptions = {
  graceMilliseconds: 500,
  retryMilliseconds: 1000,
};

/** Kinds of event that `decideStateRequests` accepts. */
export enum StateRequestEventKind {
  PeersChanged = 'peersChanged',
  /** The journal returned the command `RequestState`. */
  Requested = 'requested',
  Tick = 'tick',
}

/** An event for `decideStateRequests`. */
export type StateRequestEvent =
  /** The live entry VMs, without this one. */
  | {
      readonly kind: StateRequestEventKind.PeersChanged;
      readonly peers: readonly VmId[];
    }
  | {readonly kind: StateRequestEventKind.Requested}
  /** `hasGap` tells whether the configuration lacks records. */
  | {readonly kind: StateRequestEventKind.Tick; readonly hasGap: boolean};

/** Requests a state transfer from a peer. */
export interface StateRequestCommand {
  readonly peer: VmId;
}

/** The state of a VM's state requests. */
export interface StateRequestState {
  readonly options: StateRequestOptions;
  peers: readonly VmId[];
  hasGap: boolean;
  /** Earliest time of the next request. */
  nextRequestAt: Instant;
}

/** Creates the state of a VM that knows no peers yet. */
export function createStateRequests(
  options: StateRequestOptions,
): StateRequestState {
  return {options, peers: [], hasGap: false, nextRequestAt: 0};
}

/** Handles one event; returns at most one request. */
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
  const unchanged = {state, commands: [], logEvents: []};
  switch (event.kind) {
    case StateRequestEventKind.PeersChanged:
      state.peers = event.peers;
      return Result.ok(unchanged);
    case StateRequestEventKind.Requested:
      return Result.ok(makeRequest(state, now, random));
    case StateRequestEventKind.Tick:
      setGap(state, event.hasGap, now);
      return Result.ok(
        event.hasGap ? makeRequest(state, now, random) : unchanged,
      );
  }
};

function setGap(state: StateRequestState, hasGap: boolean, now: Instant): void {
  if (hasGap && !state.hasGap) {
    const graceEndsAt = now + state.options.graceMilliseconds;
    state.nextRequestAt = Math.max(state.nextRequestAt, graceEndsAt);
  }
  state.hasGap = hasGap;
}

function makeRequest(
  state: StateRequestState,
  now: Instant,
  random: Random,
): Step<StateRequestState, StateRequestCommand> {
  const peer = state.peers[Math.floor(random() * state.peers.length)];
  if (now < state.nextRequestAt || peer === undefined) {
    return {state, commands: [], logEvents: []};
  }
  state.nextRequestAt = now + state.options.retryMilliseconds;
  const logEvent = {event: ConfigurationEvent.StateRequested, fields: {peer}};
  return {state, commands: [{peer}], logEvents: [logEvent]};
}
