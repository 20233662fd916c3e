/** The delivering half of the journal: each record once, in offset order. */
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
import type {Offset, PlacedRecord, WriterId} from './records.js';

/**
 * @internal
 * Delivers contiguous records from the position on and returns those that
 * were new here. Stops at the first record that does not follow.
 */
export function applyRecords(
  turn: JournalTurn,
  records: readonly StoredRecord[],
): StoredRecord[] {
  const {state} = turn;
  const delivered: StoredRecord[] = [];
  for (const stored of records) {
    if (isPassed(state, stored.offset)) continue;
    if (stored.offset > state.position) break;
    applyRecord(turn, stored);
    delivered.push(stored);
  }
  state.heardNext = Math.max(state.heardNext, state.position);
  addToRing(state, delivered);
  return delivered;
}

/** @internal Goes on at the oldest record that the log keeps. */
export function resumeAtOldest(turn: JournalTurn, oldest: Offset): void {
  const {state} = turn;
  const from = state.position;
  resolveUnreadable(turn, undefined);
  state.position = oldest;
  state.ring = [];
  turn.commands.push({kind: JournalCommandKind.GapFound, from, oldest});
  turn.logEvents.push({
    event: PlatformEvent.LogGapFound,
    fields: {from, oldest},
  });
}

/** @internal Goes on behind a state transfer; never back. */
export function setPosition(
  turn: JournalTurn,
  event: Extract<JournalEvent, {kind: JournalEventKind.Advance}>,
): void {
  const {state} = turn;
  const from = state.position;
  if (isPassed(state, event.to)) return;
  for (const position of event.writers) {
    state.logTime = Math.max(state.logTime, position.time);
    mergeWriter(state, position);
  }
  const own = state.writers.get(state.options.writer);
  resolveUnreadable(turn, own?.sequence ?? -1);
  state.position = event.to;
  state.heardNext = Math.max(state.heardNext, event.to);
  state.ring = [];
  turn.logEvents.push({
    event: PlatformEvent.PositionAdvanced,
    fields: {from, to: event.to},
  });
}

/** Lists the writers that a state transfer must tell of. */
export function listWriterPositions(state: JournalState): WriterPosition[] {
  const positions: WriterPosition[] = [];
  for (const position of state.writers.values()) {
    if (isRemembered(state, position)) positions.push(position);
  }
  return positions;
}

function isPassed(state: JournalState, offset: Offset): boolean {
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
  if (isRepeat(state, record)) {
    logEvents.push({
      event: PlatformEvent.RecordDuplicate,
      fields: {offset, writer, sequence},
    });
    return;
  }
  mergeWriter(state, {writer, sequence, time: state.logTime});
  state.deliveredNext = offset + 1;
  commands.push({kind: JournalCommandKind.Deliver, record});
  if (writer === state.options.writer) {
    resolveReadBack(turn, sequence, offset);
  }
}

/**
 * A writer's sequences rise in the log, but for repeats and appends that
 * arrive after the writer has gone on without them. Judged by log time only,
 * so that every VM judges alike.
 */
function isRepeat(state: JournalState, record: PlacedRecord): boolean {
  if (!state.options.guards.dropsRepeats) return false;
  const known = state.writers.get(record.writer);
  if (known === undefined || !isRemembered(state, known)) return false;
  return record.sequence <= known.sequence;
}

function isRemembered(state: JournalState, position: WriterPosition): boolean {
  const memory = state.options.writerMemoryMilliseconds;
  return state.logTime - position.time <= memory;
}

/** Keeps the map in order of last use, so that the oldest are dropped first. */
function mergeWriter(state: JournalState, position: WriterPosition): void {
  const {writer, sequence, time} = position;
  state.writers.delete(writer);
  state.writers.set(writer, {writer, sequence, time});
  for (const [name, oldest] of state.writers) {
    if (isRemembered(state, oldest)) break;
    dropWriter(state, name);
  }
}

function dropWriter(state: JournalState, writer: WriterId): void {
  if (writer === state.options.writer) return;
  state.writers.delete(writer);
}

function addToRing(
  state: JournalState,
  records: readonly StoredRecord[],
): void {
  for (const record of records) state.ring.push(record);
  const most = state.options.ringRecords;
  if (state.ring.length > 2 * most) state.ring = state.ring.slice(-most);
}
