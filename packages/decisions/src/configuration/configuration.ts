/**
 * The fold of the log into the configuration in force. Every VM folds the
 * same records to the same objects; nothing here depends on time or place.
 */
import {ConfigurationEvent, type LogEvent} from '@zinniaspindle/shared';
import type {ObjectKey, PublishId} from '@zinniaspindle/shared';
import {Result, type Unit} from 'true-myth';
import {
  RecordKind,
  type Offset,
  type PlacedRecord,
  type PublishFate,
  type PublishRecord,
  type RevisedObject,
  type SnapshotRecord,
  type WriterId,
} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {
  ConfigurationState,
  SnapshotPlace,
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
import {foldSnapshotPart, type WholeSnapshot} from './snapshot_parts.js';

/** The kinds of event that the configuration takes. */
export enum ConfigurationEventKind {
  GapFound = 'gapFound',
  RecordDelivered = 'recordDelivered',
  TransferTaken = 'transferTaken',
}

/** Any event that the configuration takes, in the order of the journal. */
export type ConfigurationInput =
  | {
      readonly kind: ConfigurationEventKind.GapFound;
      readonly from: Offset;
      readonly oldest: Offset;
    }
  | {
      readonly kind: ConfigurationEventKind.RecordDelivered;
      readonly record: PlacedRecord;
    }
  | {
      readonly kind: ConfigurationEventKind.TransferTaken;
      readonly transfer: StateTransfer;
    };

/** The kinds of command that the configuration gives. */
export enum ConfigurationCommandKind {
  GapCovered = 'gapCovered',
  ObjectsChanged = 'objectsChanged',
  PublishDecided = 'publishDecided',
  SnapshotBegun = 'snapshotBegun',
  SnapshotCompleted = 'snapshotCompleted',
}

/** Any command that the configuration gives: what is now true of it. */
export type ConfigurationCommand =
  /** Every object may have changed; records are folded again. */
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
      readonly fate: PublishFate;
    }
  | {
      readonly kind: ConfigurationCommandKind.SnapshotBegun;
      readonly writer: WriterId;
    }
  | {
      readonly kind: ConfigurationCommandKind.SnapshotCompleted;
      readonly snapshot: SnapshotPlace;
    };

interface Turn {
  readonly state: ConfigurationState;
  readonly commands: ConfigurationCommand[];
  readonly logEvents: LogEvent[];
}

/** What a snapshot in the log and a transfer from a peer have in common. */
interface StatedFold {
  readonly covers: Offset;
  readonly objects: readonly RevisedObject[];
  readonly fates: readonly PublishFate[];
}

/** Decides one event of the configuration; `now` and `random` are not used. */
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
      return takeTransfer(turn, event.transfer);
  }
  return Result.ok();
}

function openGap(turn: Turn, from: Offset, oldest: Offset): void {
  const {state} = turn;
  if (!state.options.guards.waitsForCover) return;
  if (oldest <= state.position) return;
  if (oldest <= state.options.emptyBelow) {
    swapObjects(state, []);
    state.fates = new Map();
    return;
  }
  state.gap = {from: Math.min(from, state.position), oldest};
  state.pending = [];
  turn.logEvents.push({
    event: ConfigurationEvent.GapOpened,
    fields: {from, oldest},
  });
}

function foldRecord(turn: Turn, record: PlacedRecord): void {
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
  const first = state.fates.get(publish);
  if (first !== undefined && state.options.guards.foldsPublishOnce) {
    logEvents.push({
      event: ConfigurationEvent.PublishDuplicate,
      fields: {publish, offset, first: first.offset},
    });
    commands.push({
      kind: ConfigurationCommandKind.PublishDecided,
      fate: first,
    });
    return;
  }
  const faults = checkPublish(state, record);
  if (faults.length === 0) applyChanges(turn, offset, record);
  const fate = {publish, offset, faults};
  setFate(state, fate);
  commands.push({kind: ConfigurationCommandKind.PublishDecided, fate});
  logEvents.push(describeFate(fate));
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

/** Keeps the fates of the last publishes; the bound is alike on every VM. */
function setFate(state: ConfigurationState, fate: PublishFate): void {
  state.fates.set(fate.publish, fate);
  if (state.fates.size <= state.options.maxFates) return;
  const [oldest] = state.fates.keys();
  state.fates.delete(oldest as PublishId);
}

function describeFate(fate: PublishFate): LogEvent {
  const {publish, offset, faults} = fate;
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
  record: PlacedRecord,
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
  const place: SnapshotPlace = {covers, offset, time};
  logEvents.push({
    event: ConfigurationEvent.SnapshotCompleted,
    fields: {covers, offset},
  });
  closeGap(turn, snapshot, offset);
  // One that a paused VM appended late does not put the next one off.
  if (covers < (state.snapshot?.covers ?? 0)) return;
  state.snapshot = place;
  const kind = ConfigurationCommandKind.SnapshotCompleted;
  commands.push({kind, snapshot: place});
}

/** A snapshot matters only to a VM that misses records it covers. */
function closeGap(turn: Turn, snapshot: WholeSnapshot, offset: Offset): void {
  const {state} = turn;
  if (state.gap === undefined || snapshot.covers < state.gap.oldest) return;
  loadFold(turn, snapshot);
  state.position = Math.max(state.position, offset);
}

function takeTransfer(
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
  loadFold(turn, transfer);
  return Result.ok();
}

/** Puts a stated fold in force and folds the publishes read behind it. */
function loadFold(turn: Turn, fold: StatedFold): void {
  const {state, commands, logEvents} = turn;
  const {covers} = fold;
  const pending = state.pending.filter(record => record.offset >= covers);
  swapObjects(state, fold.objects);
  state.fates = new Map(fold.fates.map(fate => [fate.publish, fate]));
  state.gap = undefined;
  state.pending = [];
  state.position = covers;
  commands.push({kind: ConfigurationCommandKind.GapCovered, covers});
  logEvents.push({
    event: ConfigurationEvent.GapClosed,
    fields: {covers, pending: pending.length},
  });
  for (const fate of fold.fates) {
    commands.push({kind: ConfigurationCommandKind.PublishDecided, fate});
  }
  for (const record of pending) foldRecord(turn, record);
}
