/** Delivery of records to the folds: each record once, in offset order. */
import {PlatformEvent, type StoredRecord} from '@zinniaspindle/shared';
import {resolveReadBack, resolveUnreadable} from './journal_appends.js';
import type {JournalState, JournalTurn} from './journal_state.js';
import {
  JournalCommandKind,
  type JournalEvent,
  type JournalEventKind,
  type WriterPosition,
} from './journal_types.js';
import {decodeRecord} from './record_codec.js';
import type {Offset, CommittedRecord, WriterId} from './records.js';

/**
 * @internal
 * Delivers the records that continue from the position and returns them.
 * Skips records below the position and stops at the first missing one.
 */
export function applyRecords(
  turn: JournalTurn,
  records: readonly StoredRecord[],
): StoredRecord[] {
  const {state} = turn;
  const delivered: StoredRecord[] = [];
  for (const stored of records) {
    if (isBelowPosition(state, stored.offset)) continue;
    if (stored.offset > state.position) break;
    applyRecord(turn, stored);
    delivered.push(stored);
  }
  state.logEndOffset = Math.max(state.logEndOffset, state.position);
  addRecent(state, delivered);
  return delivered;
}

/** @internal Moves the position to the oldest record that the log keeps. */
export function resumeAtOldest(turn: JournalTurn, oldest: Offset): void {
  const {state} = turn;
  const from = state.position;
  resolveUnreadable(turn, undefined);
  state.position = oldest;
  state.recent = [];
  turn.commands.push({kind: JournalCommandKind.GapFound, from, oldest});
  turn.logEvents.push({
    event: PlatformEvent.LogGapFound,
    fields: {from, oldest},
  });
}

/** @internal Moves the position forward to the end of a state transfer. */
export function setPosition(
  turn: JournalTurn,
  event: Extract<JournalEvent, {kind: JournalEventKind.Advance}>,
): void {
  const {state} = turn;
  const from = state.position;
  if (isBelowPosition(state, event.to)) return;
  for (const position of event.writers) {
    state.logTime = Math.max(state.logTime, position.time);
    mergeWriter(state, position);
  }
  const own = state.writers.get(state.options.writer);
  resolveUnreadable(turn, own?.sequence ?? -1);
  state.position = event.to;
  state.logEndOffset = Math.max(state.logEndOffset, event.to);
  state.recent = [];
  turn.logEvents.push({
    event: PlatformEvent.PositionAdvanced,
    fields: {from, to: event.to},
  });
}

/** Lists the writer positions that a state transfer must contain. */
export function listWriterPositions(state: JournalState): WriterPosition[] {
  const positions: WriterPosition[] = [];
  for (const position of state.writers.values()) {
    if (isRetained(state, position)) positions.push(position);
  }
  return positions;
}

/**
 * Tells whether an offset is below the position. Without the guard it moves the
 * position back instead.
 */
function isBelowPosition(state: JournalState, offset: Offset): boolean {
  if (!state.options.guards.movesForwardOnly) {
    state.position = Math.min(state.position, offset);
    return false;
  }
  return offset < state.position;
}

function applyRecord(turn: JournalTurn, stored: StoredRecord): void {
  const {state, commands, logEvents} = turn;
  const {offset} = stored;
  state.position = offset + 1;
  state.logTime = Math.max(state.logTime, stored.time);
  const decoded = decodeRecord(stored);
  if (decoded.isErr) {
    const reason = decoded.error.message;
    logEvents.push({
      event: PlatformEvent.RecordSkipped,
      fields: {offset, reason},
    });
    return;
  }
  const record = decoded.value;
  const {writer, sequence} = record;
  if (isDuplicate(state, record)) {
    logEvents.push({
      event: PlatformEvent.RecordDuplicate,
      fields: {offset, writer, sequence},
    });
    return;
  }
  mergeWriter(state, {writer, sequence, time: state.logTime});
  state.deliveredEndOffset = offset + 1;
  commands.push({kind: JournalCommandKind.Deliver, record});
  if (writer === state.options.writer) {
    resolveReadBack(turn, sequence, offset);
  }
}

/**
 * Tells whether a record was appended twice, or arrived after a later record of
 * its writer. All other records of a writer have rising sequences. Depends on
 * log time only, so that every VM comes to the same result.
 */
function isDuplicate(state: JournalState, record: CommittedRecord): boolean {
  if (!state.options.guards.dropsDuplicates) return false;
  const known = state.writers.get(record.writer);
  if (known === undefined || !isRetained(state, known)) return false;
  return record.sequence <= known.sequence;
}

function isRetained(state: JournalState, position: WriterPosition): boolean {
  const retention = state.options.writerRetentionMilliseconds;
  return state.logTime - position.time <= retention;
}

/**
 * Updates a writer's position and drops expired ones. The map is in order of
 * last use, so the oldest come first.
 */
function mergeWriter(state: JournalState, position: WriterPosition): void {
  const {writer, sequence, time} = position;
  state.writers.delete(writer);
  state.writers.set(writer, {writer, sequence, time});
  for (const [name, oldest] of state.writers) {
    if (isRetained(state, oldest)) break;
    dropWriter(state, name);
  }
}

function dropWriter(state: JournalState, writer: WriterId): void {
  if (writer === state.options.writer) return;
  state.writers.delete(writer);
}

function addRecent(
  state: JournalState,
  records: readonly StoredRecord[],
): void {
  for (const record of records) state.recent.push(record);
  const size = state.options.recentRecords;
  if (state.recent.length > 2 * size) state.recent = state.recent.slice(-size);
}
