/**
 * Whether a VM may serve by what it knows of the configuration. A VM that
 * hears nothing, or can't get records that it knows of, is withdrawn.
 */
import {
  ConfigurationEvent,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Offset} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {ConfigurationError} from './errors.js';

/** Why a VM may not serve. */
export enum UnreadyReason {
  /** Records that it knows of did not arrive in time. */
  Behind = 'behind',
  /** Records are missing and no snapshot covers them yet. */
  Gap = 'gap',
  /** Neither the log nor a peer was heard in time. */
  Silent = 'silent',
  /** The end of the log was not reached since the start. */
  Starting = 'starting',
}

/** What a VM knows of the log. */
export interface LogView {
  /** Next offset that it will fold. */
  readonly position: Offset;
  /** Highest next offset of the log it heard of; -1 before any. */
  readonly heardNext: Offset;
  /** When it was last told of the log's next offset. */
  readonly heardAt: Instant;
  readonly hasGap: boolean;
}

/** How staleness is set up. */
export interface StalenessOptions {
  /** Milliseconds without the log and without peers that a VM may serve. */
  readonly silenceMilliseconds: number;
  /** Milliseconds that a VM may serve while it knows it misses records. */
  readonly behindMilliseconds: number;
  /**
   * Milliseconds after a silence or a standstill in which news do not count:
   * what waited in sockets meanwhile comes first, and is old.
   */
  readonly settleMilliseconds: number;
  /** Milliseconds between two events that show that the VM stood still. */
  readonly standstillMilliseconds: number;
  /** Off only in a test: then the VM serves whatever it knows. */
  readonly withdraws: boolean;
  /** Off only in a test: then anything heard ends a silence. */
  readonly awaitsNews: boolean;
}

/** The settings of a production VM. */
export const defaultStalenessOptions: StalenessOptions = {
  silenceMilliseconds: 12_000,
  behindMilliseconds: 12_000,
  settleMilliseconds: 1000,
  standstillMilliseconds: 1000,
  withdraws: true,
  awaitsNews: true,
};

/** The kinds of event that the staleness takes. */
export enum StalenessEventKind {
  /** The log answered a read, or any peer sent anything. */
  Heard = 'heard',
  /** The view changed, or time passed; due with every tick. */
  Tick = 'tick',
}

/** Any event that the staleness takes. */
export type StalenessEvent =
  | {readonly kind: StalenessEventKind.Heard; readonly view: LogView}
  | {readonly kind: StalenessEventKind.Tick; readonly view: LogView};

/** Tells the VM whether it may serve; only given when that changes. */
export interface ReadinessChange {
  readonly ready: boolean;
  /** Why not; absent when ready. */
  readonly reason?: UnreadyReason;
}

/** Whether a VM may serve, and until when. */
export interface StalenessState {
  readonly options: StalenessOptions;
  /** When silence withdraws the VM. */
  silentAt: Deadline;
  /** The next offset to reach by `behindAt`; the log may grow meanwhile. */
  target: Offset;
  /** When missing records withdraw the VM; undefined while none are known. */
  behindAt: Deadline | undefined;
  /** After a silence or a standstill, news count from here on. */
  settledAt: Instant;
  lastEventAt: Instant;
  /** Why the VM may not serve; undefined while it may. */
  reason: UnreadyReason | undefined;
}

/** Creates the staleness of a VM that has heard nothing yet. */
export function createStaleness(
  options: StalenessOptions,
  now: Instant,
): StalenessState {
  return {
    options,
    silentAt: now + options.silenceMilliseconds,
    target: 0,
    behindAt: undefined,
    settledAt: now,
    lastEventAt: now,
    reason: UnreadyReason.Starting,
  };
}

/** Decides one event of the staleness. */
export const decideStaleness: Decide<
  StalenessState,
  StalenessEvent,
  ReadinessChange,
  ConfigurationError
> = (
  state: StalenessState,
  event: StalenessEvent,
  now: Instant,
): Result<Step<StalenessState, ReadinessChange>, ConfigurationError> => {
  const {options} = state;
  updateSettled(state, now);
  if (event.kind === StalenessEventKind.Heard && now >= state.settledAt) {
    state.silentAt = now + options.silenceMilliseconds;
  }
  updateTarget(state, event.view, now);
  const reason = findReason(state, event.view, now);
  if (reason === state.reason) {
    return Result.ok({state, commands: [], logEvents: []});
  }
  state.reason = reason;
  return Result.ok(makeChange(state, event.view));
};

/** Judged before the event counts: it may have waited during a standstill. */
function updateSettled(state: StalenessState, now: Instant): void {
  const {settleMilliseconds, standstillMilliseconds} = state.options;
  const standstillAt = state.lastEventAt + standstillMilliseconds;
  state.lastEventAt = now;
  const isNewSilence =
    now >= state.silentAt && state.reason !== UnreadyReason.Silent;
  if (isNewSilence || now >= standstillAt) {
    state.settledAt = now + settleMilliseconds;
  }
}

/** Every record must arrive within the bound from when it was heard of. */
function updateTarget(
  state: StalenessState,
  view: LogView,
  now: Instant,
): void {
  if (view.position < state.target) return;
  state.target = view.heardNext;
  state.behindAt = isBehind(view)
    ? now + state.options.behindMilliseconds
    : undefined;
}

/** Returns why the VM may not serve; withdrawn ones must first catch up. */
function findReason(
  state: StalenessState,
  view: LogView,
  now: Instant,
): UnreadyReason | undefined {
  if (view.hasGap && state.options.withdraws) return UnreadyReason.Gap;
  if (state.reason === UnreadyReason.Starting) {
    const started = view.heardNext >= 0 && !isBehind(view);
    return started ? undefined : UnreadyReason.Starting;
  }
  if (!state.options.withdraws) return undefined;
  if (now >= state.silentAt) return UnreadyReason.Silent;
  const isSilent = state.reason === UnreadyReason.Silent;
  if (isSilent && state.options.awaitsNews && view.heardAt < state.settledAt) {
    return UnreadyReason.Silent;
  }
  const mayStayBehind = state.reason === undefined;
  const isTooLate = state.behindAt !== undefined && now >= state.behindAt;
  if (isBehind(view) && (isTooLate || !mayStayBehind)) {
    return UnreadyReason.Behind;
  }
  return undefined;
}

function isBehind(view: LogView): boolean {
  return view.position < view.heardNext;
}

function makeChange(
  state: StalenessState,
  view: LogView,
): Step<StalenessState, ReadinessChange> {
  const {reason} = state;
  if (reason === undefined) {
    const fields = {position: view.position};
    const logEvent = {event: ConfigurationEvent.VmReady, fields};
    return {state, commands: [{ready: true}], logEvents: [logEvent]};
  }
  const logEvent = {event: ConfigurationEvent.VmNotReady, fields: {reason}};
  return {state, commands: [{ready: false, reason}], logEvents: [logEvent]};
}
