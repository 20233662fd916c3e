/**
 * Folds log records into the current configuration. The fold is
 * deterministic: it uses neither the clock nor the VM's identity, so that
 * every VM derives the same objects from the same records.
 */
import {ConfigurationEvent, type LogEvent} from '@zinniaspindle/shared';
import type {ObjectKey, PublishId} from '@zinniaspindle/shared';
import {Result, type Unit} from 'true-myth';
import {
  RecordKind,
  type Offset,
  type CommittedRecord,
  type PublishOutcome,
  type PublishRecord,
  type RevisedObject,
  type SnapshotRecord,
  type WriterId,
} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {
  ConfigurationState,
  SnapshotPosition,
  StateTransfer,
} from './configuration_state.js';
import {makeTransferTooOldError, type ConfigurationError} from './errors.js';
import {
  addHistory,
  removeObject,
  setObject,
  swapObjects,
} from './object_store.js';
import {checkPublish} from './publish_checks.js';
import {foldSnapshotPart, type CompleteSnapshot} from './snapshot_parts.js';

/** Kinds of event that `foldConfiguration` accepts. */
export enum ConfigurationEventKind {
  GapFound = 'gapFound',
  RecordDelivered = 'recordDelivered',
  TransferTaken = 'transferTaken',
}

/** An event for `foldConfiguration`; the host passes them in journal order. */
export type ConfigurationInput =
  | {
      readonly kind: ConfigurationEventKind.GapFound;
      readonly from: Offset;
      readonly oldest: Offset;
    }
  | {
      readonly kind: ConfigurationEventKind.RecordDelivered;
      readonly record: CommittedRecord;
    }
  | {
      readonly kind: ConfigurationEventKind.TransferTaken;
      readonly transfer: StateTransfer;
    };

/** Kinds of command that `foldConfiguration` returns. */
export enum ConfigurationCommandKind {
  GapCovered = 'gapCovered',
  ObjectsChanged = 'objectsChanged',
  PublishDecided = 'publishDecided',
  SnapshotBegun = 'snapshotBegun',
  SnapshotCompleted = 'snapshotCompleted',
}

/** A command of `foldConfiguration`: reports a change of the configuration. */
export type ConfigurationCommand =
  /** A gap is closed: every object may have changed, and folding resumes. */
  | {
      readonly kind: ConfigurationCommandKind.GapCovered;
      readonly covers: Offset;
    }
  | {
      readonly kind: ConfigurationCommandKind.ObjectsChanged;
      readonly keys: readonly ObjectKey[];
      readonly revision: Offset;
    }
  | {
      readonly kind: ConfigurationCommandKind.PublishDecided;
      readonly outcome: PublishOutcome;
    }
  | {
      readonly kind: ConfigurationCommandKind.SnapshotBegun;
      readonly writer: WriterId;
    }
  | {
      readonly kind: ConfigurationCommandKind.SnapshotCompleted;
      readonly snapshot: SnapshotPosition;
    };

interface Turn {
  readonly state: ConfigurationState;
  readonly commands: ConfigurationCommand[];
  readonly logEvents: LogEvent[];
}

/** The folded state that a log snapshot or a peer's state transfer contains. */
interface FoldedState {
  readonly covers: Offset;
  readonly objects: readonly RevisedObject[];
  /** Outcomes of the last publishes. */
  readonly fates: readonly PublishOutcome[];
}

/** Applies one event to the configuration; `now` and `random` are not used. */
export const foldConfiguration: Decide<
  ConfigurationState,
  ConfigurationInput,
  ConfigurationCommand,
  ConfigurationError
> = (
  state: ConfigurationState,
  event: ConfigurationInput,
): Result<
  Step<ConfigurationState, ConfigurationCommand>,
  ConfigurationError
> => {
  const turn: Turn = {state, commands: [], logEvents: []};
  return applyEvent(turn, event).map(() => turn);
};

function applyEvent(
  turn: Turn,
  event: ConfigurationInput,
): Result<Unit, ConfigurationError> {
  switch (event.kind) {
    case ConfigurationEventKind.GapFound:
      openGap(turn, event.from, event.oldest);
      break;
    case ConfigurationEventKind.RecordDelivered:
      foldRecord(turn, event.record);
      break;
    case ConfigurationEventKind.TransferTaken:
      return applyTransfer(turn, event.transfer);
  }
  return Result.ok();
}

function openGap(turn: Turn, from: Offset, oldest: Offset): void {
  const {state} = turn;
  if (!state.options.guards.waitsForSnapshot) return;
  if (oldest <= state.position) return;
  if (oldest <= state.options.emptyBelow) {
    swapObjects(state, []);
    state.outcomes = new Map();
    return;
  }
  state.gap = {from: Math.min(from, state.position), oldest};
  state.pending = [];
  turn.logEvents.push({
    event: ConfigurationEvent.GapOpened,
    fields: {from, oldest},
  });
}

function foldRecord(turn: Turn, record: CommittedRecord): void {
  const {state} = turn;
  const {guards} = state.options;
  if (guards.movesForwardOnly && record.offset < state.position) return;
  const {body} = record;
  switch (body.kind) {
    case RecordKind.Publish:
      if (state.gap === undefined) foldPublish(turn, record.offset, body);
      else state.pending.push(record);
      break;
    case RecordKind.Snapshot:
      applySnapshotPart(turn, record, body);
      break;
    case RecordKind.Abandonment:
    case RecordKind.Claim:
    case RecordKind.Fence:
    case RecordKind.Lease:
    case RecordKind.Outcome:
      break;
  }
  if (state.gap === undefined) state.position = record.offset + 1;
}

function foldPublish(turn: Turn, offset: Offset, record: PublishRecord): void {
  const {state, commands, logEvents} = turn;
  const {publish} = record;
  const first = state.outcomes.get(publish);
  if (first !== undefined && state.options.guards.foldsPublishOnce) {
    logEvents.push({
      event: ConfigurationEvent.PublishDuplicate,
      fields: {publish, offset, first: first.offset},
    });
    commands.push({
      kind: ConfigurationCommandKind.PublishDecided,
      outcome: first,
    });
    return;
  }
  const faults = checkPublish(state, record);
  if (faults.length === 0) applyChanges(turn, offset, record);
  const outcome = {publish, offset, faults};
  addOutcome(state, outcome);
  commands.push({kind: ConfigurationCommandKind.PublishDecided, outcome});
  logEvents.push(describeOutcome(outcome));
}

function applyChanges(turn: Turn, offset: Offset, record: PublishRecord): void {
  const {state, commands} = turn;
  const {publish, operator} = record;
  for (const {key, object} of record.changes) {
    if (object === undefined) removeObject(state, key);
    else setObject(state, {revision: offset, object});
    const entry = {key, revision: offset, publish, operator};
    addHistory(state, object === undefined ? entry : {...entry, object});
  }
  commands.push({
    kind: ConfigurationCommandKind.ObjectsChanged,
    keys: record.changes.map(change => change.key),
    revision: offset,
  });
}

/**
 * Stores the outcome of a publish and drops the oldest beyond the limit, which
 * is the same on every VM.
 */
function addOutcome(state: ConfigurationState, outcome: PublishOutcome): void {
  state.outcomes.set(outcome.publish, outcome);
  if (state.outcomes.size <= state.options.maxOutcomes) return;
  const [oldest] = state.outcomes.keys();
  state.outcomes.delete(oldest as PublishId);
}

function describeOutcome(outcome: PublishOutcome): LogEvent {
  const {publish, offset, faults} = outcome;
  if (faults.length === 0) {
    const fields = {publish, offset};
    return {event: ConfigurationEvent.PublishAccepted, fields};
  }
  const reason = faults
    .map(fault => `${fault.field} ${fault.value} ${fault.reason}`)
    .join('; ');
  const fields = {publish, reason};
  return {event: ConfigurationEvent.PublishRefused, fields};
}

function applySnapshotPart(
  turn: Turn,
  record: CommittedRecord,
  body: SnapshotRecord,
): void {
  const {state, commands, logEvents} = turn;
  const {writer} = record;
  if (body.part === 0) {
    const kind = ConfigurationCommandKind.SnapshotBegun;
    commands.push({kind, writer});
  }
  const snapshot = foldSnapshotPart(state, writer, body, logEvents);
  if (snapshot === undefined) return;
  const {covers} = snapshot;
  const {offset, time} = record;
  const completed: SnapshotPosition = {covers, offset, time};
  logEvents.push({
    event: ConfigurationEvent.SnapshotCompleted,
    fields: {covers, offset},
  });
  closeGap(turn, snapshot, offset);
  // A paused VM may append an old snapshot late: it doesn't delay the next one.
  if (covers < (state.snapshot?.covers ?? 0)) return;
  state.snapshot = completed;
  const kind = ConfigurationCommandKind.SnapshotCompleted;
  commands.push({kind, snapshot: completed});
}

/** Loads a snapshot if it covers the records that this VM misses. */
function closeGap(
  turn: Turn,
  snapshot: CompleteSnapshot,
  offset: Offset,
): void {
  const {state} = turn;
  if (state.gap === undefined || snapshot.covers < state.gap.oldest) return;
  loadFoldedState(turn, snapshot);
  state.position = Math.max(state.position, offset);
}

function applyTransfer(
  turn: Turn,
  transfer: StateTransfer,
): Result<Unit, ConfigurationError> {
  const {state, logEvents} = turn;
  const {covers} = transfer;
  const {gap, position} = state;
  if (gap !== undefined && covers < gap.oldest) {
    return Result.err(makeTransferTooOldError(covers, gap.oldest));
  }
  if (covers <= position && state.options.guards.movesForwardOnly) {
    logEvents.push({
      event: ConfigurationEvent.TransferSkipped,
      fields: {covers, position},
    });
    return Result.ok();
  }
  logEvents.push({
    event: ConfigurationEvent.TransferApplied,
    fields: {covers, objects: transfer.objects.length},
  });
  state.snapshot = transfer.snapshot ?? state.snapshot;
  loadFoldedState(turn, transfer);
  return Result.ok();
}

/**
 * Replaces the state, then folds the pending publishes from `covers` on.
 */
function loadFoldedState(turn: Turn, folded: FoldedState): void {
  const {state, commands, logEvents} = turn;
  const {covers} = folded;
  const pending = state.pending.filter(record => record.offset >= covers);
  swapObjects(state, folded.objects);
  state.outcomes = new Map(
    folded.fates.map(outcome => [outcome.publish, outcome]),
  );
  state.gap = undefined;
  state.pending = [];
  state.position = covers;
  commands.push({kind: ConfigurationCommandKind.GapCovered, covers});
  logEvents.push({
    event: ConfigurationEvent.GapClosed,
    fields: {covers, pending: pending.length},
  });
  for (const outcome of folded.fates) {
    commands.push({
      kind: ConfigurationCommandKind.PublishDecided,
      outcome,
    });
  }
  for (const record of pending) foldRecord(turn, record);
}
