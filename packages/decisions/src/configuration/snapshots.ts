/**
 * Decides when this VM appends a snapshot of the configuration to the log.
 * Each VM picks a random time well before the log's retention deletes the last
 * snapshot; the earliest VM writes the next one. It appends the first part
 * alone. A VM that reads another VM's first part before its own cancels its
 * snapshot, so that a large fleet does not write hundreds at once.
 */
import {
  ConfigurationEvent,
  toId,
  type Deadline,
  type Instant,
  type LogEvent,
  type Random,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {SubmitOutcome, type SubmitToken} from '../log/journal_types.js';
import type {SnapshotRecord, WriterId} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {
  ConfigurationState,
  SnapshotPosition,
} from './configuration_state.js';
import type {ConfigurationError} from './errors.js';
import {makeSnapshotParts} from './snapshot_parts.js';

/** Options of a VM's snapshots. */
export interface SnapshotOptions {
  readonly writer: WriterId;
  /** How long the log keeps a record. */
  readonly retentionMilliseconds: number;
  readonly objectsPerPart: number;
  /**
   * Time after which an incomplete snapshot is written again; a random share of
   * it is added.
   */
  readonly retryMilliseconds: number;
}

/** Earliest time of the next snapshot, as a share of the retention. */
const earliestShare = 0.25;
/** Latest time of the next snapshot, as a share of the retention. */
const latestShare = 0.5;

/** Kinds of event that the snapshots accept. */
export enum SnapshotEventKind {
  SnapshotBegun = 'snapshotBegun',
  SnapshotCompleted = 'snapshotCompleted',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
}

/** An event for the snapshots. */
export type SnapshotEvent =
  /** The first part of a snapshot of any VM was read. */
  | {
      readonly kind: SnapshotEventKind.SnapshotBegun;
      readonly writer: WriterId;
    }
  /** All parts of a snapshot of any VM were read. */
  | {
      readonly kind: SnapshotEventKind.SnapshotCompleted;
      readonly snapshot: SnapshotPosition;
    }
  | {
      readonly kind: SnapshotEventKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly outcome: SubmitOutcome;
    }
  | {readonly kind: SnapshotEventKind.Tick};

/** Submits one part of a snapshot; parts are submitted in order. */
export interface SnapshotCommand {
  readonly record: SnapshotRecord;
  readonly token: SubmitToken;
  readonly giveUpAt: Deadline;
}

/** A snapshot of this VM whose first part is not read back yet. */
interface PendingSnapshot {
  readonly parts: readonly SnapshotRecord[];
  readonly token: SubmitToken;
}

/** The state of a VM's snapshots. */
export interface SnapshotState {
  readonly options: SnapshotOptions;
  readonly configuration: ConfigurationState;
  /** When to write the next one; undefined until there are objects. */
  dueAt: Instant | undefined;
  pending: PendingSnapshot | undefined;
  nextToken: number;
}

interface Turn {
  readonly state: SnapshotState;
  readonly now: Instant;
  readonly random: Random;
  readonly commands: SnapshotCommand[];
  readonly logEvents: LogEvent[];
}

/** Creates the snapshots of a VM over its configuration. */
export function createSnapshots(
  options: SnapshotOptions,
  configuration: ConfigurationState,
): SnapshotState {
  const dueAt = undefined;
  return {options, configuration, dueAt, pending: undefined, nextToken: 0};
}

/** Handles one event of the snapshots. */
export const decideSnapshots: Decide<
  SnapshotState,
  SnapshotEvent,
  SnapshotCommand,
  ConfigurationError
> = (
  state: SnapshotState,
  event: SnapshotEvent,
  now: Instant,
  random: Random,
): Result<Step<SnapshotState, SnapshotCommand>, ConfigurationError> => {
  const turn: Turn = {state, now, random, commands: [], logEvents: []};
  switch (event.kind) {
    case SnapshotEventKind.SnapshotBegun:
      if (event.writer !== state.options.writer) cancelSnapshot(turn);
      break;
    case SnapshotEventKind.SnapshotCompleted:
      // The log's clock may be ahead of this VM's; the earlier time is safe.
      setNextDue(turn, Math.min(event.snapshot.time, now));
      break;
    case SnapshotEventKind.SubmitResolved:
      resumeSnapshot(turn, event.token, event.outcome);
      break;
    case SnapshotEventKind.Tick:
      startSnapshot(turn);
      break;
  }
  return Result.ok(turn);
};

function startSnapshot(turn: Turn): void {
  const {state, now, logEvents} = turn;
  const {configuration, options} = state;
  if (configuration.gap !== undefined) return;
  if (configuration.objects.size === 0) return;
  if (state.dueAt === undefined) {
    setNextDue(turn, configuration.snapshot?.time ?? now);
  }
  if (now < state.dueAt!) return;
  const parts = makeSnapshotParts(configuration, options.objectsPerPart);
  setRetry(turn);
  const token = sendPart(turn, parts[0]!);
  state.pending = {parts, token};
  const fields = {covers: configuration.position, parts: parts.length};
  logEvents.push({event: ConfigurationEvent.SnapshotStarted, fields});
}

/** Submits the other parts once the first part is read back. */
function resumeSnapshot(
  turn: Turn,
  token: SubmitToken,
  outcome: SubmitOutcome,
): void {
  const {state} = turn;
  const {pending} = state;
  if (pending === undefined || pending.token !== token) return;
  state.pending = undefined;
  if (outcome !== SubmitOutcome.Committed) return;
  for (const part of pending.parts.slice(1)) sendPart(turn, part);
}

/** Cancels this VM's snapshot because another VM's first part came first. */
function cancelSnapshot(turn: Turn): void {
  const {state, logEvents} = turn;
  if (state.dueAt !== undefined && turn.now >= state.dueAt) setRetry(turn);
  if (state.pending === undefined) return;
  const covers = state.pending.parts[0]!.covers;
  state.pending = undefined;
  setRetry(turn);
  logEvents.push({
    event: ConfigurationEvent.SnapshotCancelled,
    fields: {covers},
  });
}

function sendPart(turn: Turn, record: SnapshotRecord): SubmitToken {
  const {state, now} = turn;
  const text = `${state.options.writer}/snapshot-${state.nextToken}`;
  const token = toId<SubmitToken>(text);
  state.nextToken += 1;
  const giveUpAt = now + state.options.retryMilliseconds;
  turn.commands.push({record, token, giveUpAt});
  return token;
}

function setRetry(turn: Turn): void {
  const {state, now, random} = turn;
  state.dueAt = now + state.options.retryMilliseconds * (1 + random());
}

function setNextDue(turn: Turn, since: Instant): void {
  const {state, random} = turn;
  const share = earliestShare + (latestShare - earliestShare) * random();
  state.dueAt = since + state.options.retentionMilliseconds * share;
}
