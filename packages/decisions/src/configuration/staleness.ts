/**
 * Decides whether a VM's configuration is fresh enough to serve requests. A VM
 * becomes unready when it receives nothing from the log and its peers, or
 * can't read records that it knows to exist.
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

/** Why a VM is not ready to serve. */
export enum UnreadyReason {
  /** Records that it knows to exist did not arrive in time. */
  Behind = 'behind',
  /** Records are missing and no snapshot or transfer covers them yet. */
  Gap = 'gap',
  /** Neither the log nor a peer sent anything in time. */
  Silent = 'silent',
  /** The VM has not reached the end of the log since its start. */
  Starting = 'starting',
}

/** What a VM knows about the log. */
export interface LogView {
  /** Next offset to fold. */
  readonly position: Offset;
  /** Highest known end offset of the log (exclusive); -1 while unknown. */
  readonly logEndOffset: Offset;
  /** When the log or a peer last reported the log's end offset. */
  readonly lastContactAt: Instant;
  readonly hasGap: boolean;
}

/** Options of the staleness check. */
export interface StalenessOptions {
  /** How long a VM may serve without any message from the log or a peer. */
  readonly silenceMilliseconds: number;
  /** How long a VM may serve while it knows that it lacks records. */
  readonly behindMilliseconds: number;
  /**
   * How long messages do not count as contact after a silence or a pause of the
   * process: those that were buffered in sockets are read first, and are old.
   */
  readonly backlogMilliseconds: number;
  /** Time between two events from which the process counts as paused. */
  readonly pauseMilliseconds: number;
  /** False only in tests: then the VM stays ready with stale data. */
  readonly withdraws: boolean;
  /**
   * Whether only a fresh end offset of the log ends a silence. False only in
   * tests: then any message ends it.
   */
  readonly requiresFreshLogEnd: boolean;
}

/** Production defaults. */
export const defaultStalenessOptions: StalenessOptions = {
  silenceMilliseconds: 12_000,
  behindMilliseconds: 12_000,
  backlogMilliseconds: 1000,
  pauseMilliseconds: 1000,
  withdraws: true,
  requiresFreshLogEnd: true,
};

/** Kinds of event that `decideStaleness` accepts. */
export enum StalenessEventKind {
  /** The log answered a read, or a peer sent any message. */
  MessageReceived = 'messageReceived',
  /** The view may have changed, or time passed. */
  Tick = 'tick',
}

/** An event for `decideStaleness`. */
export type StalenessEvent =
  | {readonly kind: StalenessEventKind.MessageReceived; readonly view: LogView}
  | {readonly kind: StalenessEventKind.Tick; readonly view: LogView};

/** Reports that the VM became ready or unready. */
export interface ReadinessChange {
  readonly ready: boolean;
  /** Absent if ready. */
  readonly reason?: UnreadyReason;
}

/** The state of the staleness check. */
export interface StalenessState {
  readonly options: StalenessOptions;
  /** When the VM becomes unready unless a message arrives. */
  silenceDeadline: Deadline;
  /** Offset to reach by `behindDeadline`; the log may have grown since. */
  targetOffset: Offset;
  /** When the VM becomes unready unless it reaches `targetOffset`. */
  behindDeadline: Deadline | undefined;
  /** Until then messages may be old, and do not count as contact. */
  backlogEndsAt: Instant;
  lastEventAt: Instant;
  /** Undefined while the VM is ready. */
  reason: UnreadyReason | undefined;
}

/** Creates the state of a VM that has received nothing yet. */
export function createStaleness(
  options: StalenessOptions,
  now: Instant,
): StalenessState {
  return {
    options,
    silenceDeadline: now + options.silenceMilliseconds,
    targetOffset: 0,
    behindDeadline: undefined,
    backlogEndsAt: now,
    lastEventAt: now,
    reason: UnreadyReason.Starting,
  };
}

/** Handles one event and reports changes of the VM's readiness. */
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
  updateBacklogEnd(state, now);
  if (
    event.kind === StalenessEventKind.MessageReceived &&
    now >= state.backlogEndsAt
  ) {
    state.silenceDeadline = now + options.silenceMilliseconds;
  }
  updateTarget(state, event.view, now);
  const reason = findReason(state, event.view, now);
  if (reason === state.reason) {
    return Result.ok({state, commands: [], logEvents: []});
  }
  state.reason = reason;
  return Result.ok(makeReadinessChange(state, event.view));
};

/**
 * Runs before the event is processed: the event itself may have been buffered
 * during a pause.
 */
function updateBacklogEnd(state: StalenessState, now: Instant): void {
  const {backlogMilliseconds, pauseMilliseconds} = state.options;
  const pausedAt = state.lastEventAt + pauseMilliseconds;
  state.lastEventAt = now;
  const isNewSilence =
    now >= state.silenceDeadline && state.reason !== UnreadyReason.Silent;
  if (isNewSilence || now >= pausedAt) {
    state.backlogEndsAt = now + backlogMilliseconds;
  }
}

/** Sets a new target, and its deadline, once the last target is reached. */
function updateTarget(
  state: StalenessState,
  view: LogView,
  now: Instant,
): void {
  if (view.position < state.targetOffset) return;
  state.targetOffset = view.logEndOffset;
  state.behindDeadline = isBehind(view)
    ? now + state.options.behindMilliseconds
    : undefined;
}

/**
 * Returns why the VM is unready; undefined if it is ready. An unready VM must
 * catch up fully to become ready again.
 */
function findReason(
  state: StalenessState,
  view: LogView,
  now: Instant,
): UnreadyReason | undefined {
  if (view.hasGap && state.options.withdraws) return UnreadyReason.Gap;
  if (state.reason === UnreadyReason.Starting) {
    const started = view.logEndOffset >= 0 && !isBehind(view);
    return started ? undefined : UnreadyReason.Starting;
  }
  if (!state.options.withdraws) return undefined;
  if (now >= state.silenceDeadline) return UnreadyReason.Silent;
  const isSilent = state.reason === UnreadyReason.Silent;
  if (
    isSilent &&
    state.options.requiresFreshLogEnd &&
    view.lastContactAt < state.backlogEndsAt
  ) {
    return UnreadyReason.Silent;
  }
  const mayStayBehind = state.reason === undefined;
  const isTooLate =
    state.behindDeadline !== undefined && now >= state.behindDeadline;
  if (isBehind(view) && (isTooLate || !mayStayBehind)) {
    return UnreadyReason.Behind;
  }
  return undefined;
}

function isBehind(view: LogView): boolean {
  return view.position < view.logEndOffset;
}

function makeReadinessChange(
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
