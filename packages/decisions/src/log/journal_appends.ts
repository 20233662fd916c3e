/** The appending half of the journal: group commit, pacing and fates. */
import {PlatformEvent} from '@zinniaspindle/shared';
import {Result, type Unit} from 'true-myth';
import {makeDuplicateTokenError, type LogError} from './errors.js';
import type {Batch, Entry, JournalTurn} from './journal_state.js';
import {
  AppendFailure,
  JournalCommandKind,
  SubmitFate,
  type JournalEvent,
  type JournalEventKind,
} from './journal_types.js';
import {encodeRecord} from './record_codec.js';
import {RecordKind, type Offset} from './records.js';

type EventOf<Kind extends JournalEventKind> = Extract<
  JournalEvent,
  {kind: Kind}
>;

/** Most records whose fate stays open after they were given up. */
const maxGivenUp = 16_384;
const appendGapGrowth = 2;
const appendGapDecay = 0.8;

/** @internal Queues a record, and appends it at once when the pace allows. */
export function acceptSubmit(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.Submit>,
): Result<Unit, LogError> {
  const {state} = turn;
  if (state.tokens.has(event.token)) {
    return Result.err(makeDuplicateTokenError(event.token));
  }
  state.tokens.add(event.token);
  addEntry(turn, event.body, event.giveUpAt, event.token);
  sendBatch(turn);
  return Result.ok();
}

/** @internal Starts the next append if none is under way and the pace allows. */
export function sendBatch(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.batch !== undefined || state.queue.length === 0) return;
  if (now < state.appendAt) return;
  const entries = takeEntries(turn);
  const append = state.nextAppend;
  state.nextAppend += 1;
  const timeoutAt = now + state.options.appendTimeoutMilliseconds;
  state.batch = {append, entries, timeoutAt};
  const texts = entries.map(entry => entry.text!);
  turn.commands.push({kind: JournalCommandKind.SendAppend, append, texts});
}

/** @internal Takes the answer to an append: its records are in the log. */
export function acceptAppendAnswer(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.AppendAnswered>,
): void {
  const {state} = turn;
  const batch = takeBatch(turn, event.append);
  if (batch === undefined) return;
  const {options} = state;
  state.appendGapMilliseconds = Math.max(
    options.minAppendMilliseconds,
    state.appendGapMilliseconds * appendGapDecay,
  );
  for (const [index, entry] of batch.entries.entries()) {
    entry.maybeSent = true;
    if (!options.guards.placesAtReadBack) {
      resolveEntry(turn, entry, SubmitFate.Placed, event.firstOffset + index);
      continue;
    }
    if (entry.givenUp) addGivenUp(turn, entry);
    else state.answered.set(entry.sequence, entry);
  }
  planNextAppend(turn);
  sendBatch(turn);
}

/** @internal Takes the failure of an append; its records are retried later. */
export function acceptAppendFailure(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.AppendFailed>,
): void {
  const batch = takeBatch(turn, event.append);
  if (batch === undefined) return;
  failBatch(turn, batch, event.failure);
}

/** @internal Ends appends and records whose time has passed. */
export function expireAppends(turn: JournalTurn): void {
  const {state, now} = turn;
  const batch = state.batch;
  if (batch !== undefined && now >= batch.timeoutAt) {
    state.batch = undefined;
    failBatch(turn, batch, AppendFailure.Unknown);
  }
  for (const entry of state.batch?.entries ?? []) {
    if (now >= entry.giveUpAt) expireEntry(turn, entry);
  }
  for (const entry of state.answered.values()) {
    if (now < entry.giveUpAt) continue;
    expireEntry(turn, entry);
    state.answered.delete(entry.sequence);
    addGivenUp(turn, entry);
  }
  state.queue = state.queue.filter(entry => !expireQueued(turn, entry));
  addFence(turn);
  sendBatch(turn);
}

/**
 * @internal
 * Resolves the entries of this writer up to a sequence that was read back:
 * that one is placed, and any lower one can't be folded any more.
 */
export function resolveReadBack(
  turn: JournalTurn,
  sequence: number,
  offset: Offset,
): void {
  for (const entry of removeEntriesUpTo(turn, sequence)) {
    if (entry.sequence === sequence) {
      resolveEntry(turn, entry, SubmitFate.Placed, offset);
    } else {
      resolveEntry(turn, entry, SubmitFate.Superseded, -1);
    }
  }
}

/**
 * @internal
 * Resolves as unknown, for good, every entry that may be among records that
 * this VM will never read. Those above `sequence` were not folded there.
 */
export function resolveUnreadable(
  turn: JournalTurn,
  sequence: number | undefined,
): void {
  const {state} = turn;
  const last = sequence ?? state.nextSequence;
  for (const entry of state.batch?.entries ?? []) entry.maybeSent = true;
  for (const entry of removeEntriesUpTo(turn, last, isMaybeSent)) {
    if (!entry.givenUp) resolveEntry(turn, entry, SubmitFate.Unknown, -1);
  }
}

function isMaybeSent(entry: Entry): boolean {
  return entry.maybeSent;
}

function addEntry(
  turn: JournalTurn,
  body: Entry['body'],
  giveUpAt: number,
  token?: Entry['token'],
): void {
  const {state} = turn;
  state.queue.push({
    sequence: state.nextSequence,
    body,
    token,
    giveUpAt,
    text: undefined,
    maybeSent: false,
    givenUp: false,
  });
  state.nextSequence += 1;
}

/** Appends a fence when a record's fate is open and nothing else would settle it. */
function addFence(turn: JournalTurn): void {
  const {state} = turn;
  if (state.givenUp.size === 0) return;
  if (state.queue.length > 0 || state.batch !== undefined) return;
  if (state.answered.size > 0) return;
  addEntry(turn, {kind: RecordKind.Fence}, Infinity);
}

function takeEntries(turn: JournalTurn): Entry[] {
  const {state} = turn;
  const {maxBatchRecords, maxBatchCharacters, writer} = state.options;
  let characters = 0;
  let count = 0;
  for (const entry of state.queue) {
    if (count >= maxBatchRecords || characters >= maxBatchCharacters) break;
    const {sequence, body} = entry;
    entry.text ??= encodeRecord({writer, sequence, body: body!});
    characters += entry.text.length;
    count += 1;
  }
  return state.queue.splice(0, count);
}

function takeBatch(turn: JournalTurn, append: number): Batch | undefined {
  const {state} = turn;
  const batch = state.batch;
  if (batch === undefined || batch.append !== append) return undefined;
  state.batch = undefined;
  return batch;
}

function failBatch(
  turn: JournalTurn,
  batch: Batch,
  failure: AppendFailure,
): void {
  const {state} = turn;
  const {options} = state;
  const retried: Entry[] = [];
  for (const entry of batch.entries) {
    if (failure === AppendFailure.Unknown) {
      entry.maybeSent = options.guards.tracksMaybeSent;
    }
    if (!entry.givenUp) retried.push(entry);
    else if (entry.maybeSent) addGivenUp(turn, entry);
    else resolveEntry(turn, entry, SubmitFate.NeverSent, -1);
  }
  state.queue.unshift(...retried);
  const most =
    failure === AppendFailure.RateLimited
      ? options.maxAppendMilliseconds
      : options.maxRetryMilliseconds;
  state.appendGapMilliseconds = Math.min(
    Math.max(most, state.appendGapMilliseconds),
    state.appendGapMilliseconds * appendGapGrowth,
  );
  planNextAppend(turn);
  turn.logEvents.push({
    event: PlatformEvent.AppendFailed,
    fields: {append: batch.append, records: batch.entries.length, failure},
  });
}

/** Spreads the appends of many VMs: half to one and a half times the gap. */
function planNextAppend(turn: JournalTurn): void {
  const {state, now, random} = turn;
  state.appendAt = now + state.appendGapMilliseconds * (0.5 + random());
}

/** Answers a record whose time has passed while it may be in the log. */
function expireEntry(turn: JournalTurn, entry: Entry): void {
  if (entry.givenUp) return;
  resolveEntry(turn, entry, SubmitFate.Unknown, -1);
  entry.givenUp = true;
}

/** Keeps what a later fate needs; beyond the bound the oldest stay unknown. */
function addGivenUp(turn: JournalTurn, entry: Entry): void {
  const {givenUp} = turn.state;
  const kept = {...entry, body: undefined, text: undefined};
  givenUp.set(entry.sequence, kept);
  if (givenUp.size <= maxGivenUp) return;
  const [oldest] = givenUp.keys();
  givenUp.delete(oldest!);
}

/** Tells whether a queued entry leaves the queue because its time has passed. */
function expireQueued(turn: JournalTurn, entry: Entry): boolean {
  if (turn.now < entry.giveUpAt) return false;
  if (entry.maybeSent) {
    expireEntry(turn, entry);
    addGivenUp(turn, entry);
  } else {
    resolveEntry(turn, entry, SubmitFate.NeverSent, -1);
  }
  return true;
}

/** Removes and returns, by sequence, the wanted entries up to a sequence. */
function removeEntriesUpTo(
  turn: JournalTurn,
  sequence: number,
  isWanted: (entry: Entry) => boolean = () => true,
): Entry[] {
  const {state} = turn;
  const removed: Entry[] = [];
  const take = (entry: Entry): boolean => {
    const taken = entry.sequence <= sequence && isWanted(entry);
    if (taken) removed.push(entry);
    return taken;
  };
  for (const held of [state.givenUp, state.answered]) {
    for (const entry of held.values()) {
      if (take(entry)) held.delete(entry.sequence);
    }
  }
  state.queue = state.queue.filter(entry => !take(entry));
  if (state.batch !== undefined) {
    const entries = state.batch.entries.filter(entry => !take(entry));
    state.batch = {...state.batch, entries};
  }
  return removed.sort((a, b) => a.sequence - b.sequence);
}

function resolveEntry(
  turn: JournalTurn,
  entry: Entry,
  fate: SubmitFate,
  offset: Offset,
): void {
  const {token, sequence} = entry;
  if (token === undefined) return;
  turn.state.tokens.delete(token);
  turn.commands.push({
    kind: JournalCommandKind.SubmitResolved,
    token,
    fate,
    offset,
  });
  turn.logEvents.push({
    event: PlatformEvent.SubmitResolved,
    fields: {sequence, fate},
  });
}
