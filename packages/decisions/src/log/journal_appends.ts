/**
 * The write path of the journal: batching, rate control and submit outcomes.
 */
import {PlatformEvent} from '@zinniaspindle/shared';
import {Result, type Unit} from 'true-myth';
import {makeDuplicateTokenError, type LogError} from './errors.js';
import type {Batch, Entry, JournalTurn} from './journal_state.js';
import {
  AppendFailure,
  JournalCommandKind,
  SubmitOutcome,
  type JournalEvent,
  type JournalEventKind,
} from './journal_types.js';
import {encodeRecord} from './record_codec.js';
import {RecordKind, type Offset} from './records.js';

type EventOf<Kind extends JournalEventKind> = Extract<
  JournalEvent,
  {kind: Kind}
>;

/** Maximum number of expired records whose outcome may still be found. */
const maxExpired = 16_384;
const appendIntervalGrowth = 2;
const appendIntervalDecay = 0.8;

/** @internal Queues a record and starts an append if the rate allows. */
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

/**
 * @internal
 * Starts the next append if none is in flight and the rate allows.
 */
export function sendBatch(turn: JournalTurn): void {
  const {state, now} = turn;
  if (state.batch !== undefined || state.queue.length === 0) return;
  if (now < state.nextAppendAt) return;
  const entries = takeEntries(turn);
  const append = state.nextAppend;
  state.nextAppend += 1;
  const timeoutAt = now + state.options.appendTimeoutMilliseconds;
  state.batch = {append, entries, timeoutAt};
  const texts = entries.map(entry => entry.text!);
  turn.commands.push({kind: JournalCommandKind.SendAppend, append, texts});
}

/** @internal Handles the answer to an append: its records are in the log. */
export function acceptAppendAnswer(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.AppendAnswered>,
): void {
  const {state} = turn;
  const batch = takeBatch(turn, event.append);
  if (batch === undefined) return;
  const {options} = state;
  state.appendIntervalMilliseconds = Math.max(
    options.minAppendIntervalMilliseconds,
    state.appendIntervalMilliseconds * appendIntervalDecay,
  );
  for (const [index, entry] of batch.entries.entries()) {
    entry.mayBeInLog = true;
    if (!options.guards.commitsAtReadBack) {
      resolveEntry(
        turn,
        entry,
        SubmitOutcome.Committed,
        event.firstOffset + index,
      );
      continue;
    }
    if (entry.isExpired) addExpired(turn, entry);
    else state.acknowledged.set(entry.sequence, entry);
  }
  planNextAppend(turn);
  sendBatch(turn);
}

/**
 * @internal
 * Handles the failure of an append; its records are retried later.
 */
export function acceptAppendFailure(
  turn: JournalTurn,
  event: EventOf<JournalEventKind.AppendFailed>,
): void {
  const batch = takeBatch(turn, event.append);
  if (batch === undefined) return;
  failBatch(turn, batch, event.failure);
}

/** @internal Handles the timeouts of appends and of submitted records. */
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
  for (const entry of state.acknowledged.values()) {
    if (now < entry.giveUpAt) continue;
    expireEntry(turn, entry);
    state.acknowledged.delete(entry.sequence);
    addExpired(turn, entry);
  }
  state.queue = state.queue.filter(entry => !expireQueued(turn, entry));
  addFence(turn);
  sendBatch(turn);
}

/**
 * @internal
 * Resolves this writer's entries up to a sequence that was read back: that
 * entry is committed, and lower ones can't be folded any more.
 */
export function resolveReadBack(
  turn: JournalTurn,
  sequence: number,
  offset: Offset,
): void {
  for (const entry of removeEntriesUpTo(turn, sequence)) {
    if (entry.sequence === sequence) {
      resolveEntry(turn, entry, SubmitOutcome.Committed, offset);
    } else {
      resolveEntry(turn, entry, SubmitOutcome.Superseded, -1);
    }
  }
}

/**
 * @internal
 * Resolves as unknown, finally, every entry that may be among records that
 * this VM will never read. Entries above `sequence` are not among them.
 */
export function resolveUnreadable(
  turn: JournalTurn,
  sequence: number | undefined,
): void {
  const {state} = turn;
  const last = sequence ?? state.nextSequence;
  for (const entry of state.batch?.entries ?? []) entry.mayBeInLog = true;
  for (const entry of removeEntriesUpTo(turn, last, isMaybeInLog)) {
    if (!entry.isExpired) resolveEntry(turn, entry, SubmitOutcome.Unknown, -1);
  }
}

function isMaybeInLog(entry: Entry): boolean {
  return entry.mayBeInLog;
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
    mayBeInLog: false,
    isExpired: false,
  });
  state.nextSequence += 1;
}

/**
 * Appends a fence if the outcome of an expired record is unknown and no other
 * record of this writer is on its way to resolve it.
 */
function addFence(turn: JournalTurn): void {
  const {state} = turn;
  if (state.expired.size === 0) return;
  if (state.queue.length > 0 || state.batch !== undefined) return;
  if (state.acknowledged.size > 0) return;
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
      entry.mayBeInLog = options.guards.tracksUncertainAppends;
    }
    if (!entry.isExpired) retried.push(entry);
    else if (entry.mayBeInLog) addExpired(turn, entry);
    else resolveEntry(turn, entry, SubmitOutcome.NeverSent, -1);
  }
  state.queue.unshift(...retried);
  const maxInterval =
    failure === AppendFailure.RateLimited
      ? options.maxAppendIntervalMilliseconds
      : options.maxRetryIntervalMilliseconds;
  state.appendIntervalMilliseconds = Math.min(
    Math.max(maxInterval, state.appendIntervalMilliseconds),
    state.appendIntervalMilliseconds * appendIntervalGrowth,
  );
  planNextAppend(turn);
  turn.logEvents.push({
    event: PlatformEvent.AppendFailed,
    fields: {append: batch.append, records: batch.entries.length, failure},
  });
}

/**
 * Plans the next append after 0.5 to 1.5 times the interval, which spreads the
 * appends of many VMs.
 */
function planNextAppend(turn: JournalTurn): void {
  const {state, now, random} = turn;
  state.nextAppendAt =
    now + state.appendIntervalMilliseconds * (0.5 + random());
}

/** Resolves an expired record that may be in the log as unknown. */
function expireEntry(turn: JournalTurn, entry: Entry): void {
  if (entry.isExpired) return;
  resolveEntry(turn, entry, SubmitOutcome.Unknown, -1);
  entry.isExpired = true;
}

/**
 * Keeps an expired entry so that its outcome can still be found. Beyond the
 * limit the oldest entries stay unknown.
 */
function addExpired(turn: JournalTurn, entry: Entry): void {
  const {expired} = turn.state;
  const kept = {...entry, body: undefined, text: undefined};
  expired.set(entry.sequence, kept);
  if (expired.size <= maxExpired) return;
  const [oldest] = expired.keys();
  expired.delete(oldest!);
}

/**
 * Expires a queued entry if its deadline has passed; returns whether it did.
 */
function expireQueued(turn: JournalTurn, entry: Entry): boolean {
  if (turn.now < entry.giveUpAt) return false;
  if (entry.mayBeInLog) {
    expireEntry(turn, entry);
    addExpired(turn, entry);
  } else {
    resolveEntry(turn, entry, SubmitOutcome.NeverSent, -1);
  }
  return true;
}

/** Removes the wanted entries up to a sequence and returns them in order. */
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
  for (const map of [state.expired, state.acknowledged]) {
    for (const entry of map.values()) {
      if (take(entry)) map.delete(entry.sequence);
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
  outcome: SubmitOutcome,
  offset: Offset,
): void {
  const {token, sequence} = entry;
  if (token === undefined) return;
  turn.state.tokens.delete(token);
  turn.commands.push({
    kind: JournalCommandKind.SubmitResolved,
    token,
    outcome,
    offset,
  });
  turn.logEvents.push({
    event: PlatformEvent.SubmitResolved,
    fields: {sequence, fate: outcome},
  });
}
