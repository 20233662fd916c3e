/**
 * When to append a snapshot: well before retention drops the last one, by
 * whichever VM's random instant comes first. The first part is appended
 * alone; a VM that reads another's first part before its own leaves the
 * snapshot to that one, so that a fleet does not write hundreds at once.
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
import {SubmitFate, type SubmitToken} from '../log/journal_types.js';
import type {SnapshotRecord, WriterId} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {ConfigurationState, SnapshotPlace} from './configuration_state.js';
import type {ConfigurationError} from './errors.js';
import {makeSnapshotParts} from './snapshot_parts.js';

/** How the snapshots of a VM are set up. */
export interface SnapshotOptions {
  readonly writer: WriterId;
  /** Milliseconds that the log keeps a record. */
  readonly retentionMilliseconds: number;
  readonly objectsPerPart: number;
  /** Milliseconds after which a snapshot that is not whole is begun anew. */
  readonly repeatMilliseconds: number;
}

/** Share of the retention after which the first VM may write a snapshot. */
const earliestShare = 0.25;
/** Share of the retention by which every VM would have written one. */
const latestShare = 0.5;

/** The kinds of event that the snapshots take. */
export enum SnapshotEventKind {
  SnapshotBegun = 'snapshotBegun',
  SnapshotCompleted = 'snapshotCompleted',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
}

/** Any event that the snapshots take. */
export type SnapshotEvent =
  /** The first part of a snapshot of any VM was read. */
  | {
      readonly kind: SnapshotEventKind.SnapshotBegun;
      readonly writer: WriterId;
    }
  /** A snapshot of any VM is whole in the log. */
  | {
      readonly kind: SnapshotEventKind.SnapshotCompleted;
      readonly snapshot: SnapshotPlace;
    }
  | {
      readonly kind: SnapshotEventKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly fate: SubmitFate;
    }
  | {readonly kind: SnapshotEventKind.Tick};

/** Submits one part; parts are submitted in order. */
export interface SnapshotCommand {
  readonly record: SnapshotRecord;
  readonly token: SubmitToken;
  readonly giveUpAt: Deadline;
}

/** A snapshot of this VM whose first part is not read back yet. */
interface OpenSnapshot {
  readonly parts: readonly SnapshotRecord[];
  readonly token: SubmitToken;
}

/** What a VM knows of the snapshots in the log. */
export interface SnapshotState {
  readonly options: SnapshotOptions;
  readonly configuration: ConfigurationState;
  /** When to write one; undefined before there is anything to keep. */
  dueAt: Instant | undefined;
  open: OpenSnapshot | undefined;
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
  return {options, configuration, dueAt, open: undefined, nextToken: 0};
}

/** Decides one event of the snapshots. */
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
      // The log's clock may be ahead; the earlier of the two is the safe one.
      setDue(turn, Math.min(event.snapshot.time, now));
      break;
    case SnapshotEventKind.SubmitResolved:
      resumeSnapshot(turn, event.token, event.fate);
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
    setDue(turn, configuration.snapshot?.time ?? now);
  }
  if (now < state.dueAt!) return;
  const parts = makeSnapshotParts(configuration, options.objectsPerPart);
  setRepeat(turn);
  const token = sendPart(turn, parts[0]!);
  state.open = {parts, token};
  const fields = {covers: configuration.position, parts: parts.length};
  logEvents.push({event: ConfigurationEvent.SnapshotStarted, fields});
}

/** Once the first part is read back, this VM's snapshot is the one to finish. */
function resumeSnapshot(
  turn: Turn,
  token: SubmitToken,
  fate: SubmitFate,
): void {
  const {state} = turn;
  const {open} = state;
  if (open === undefined || open.token !== token) return;
  state.open = undefined;
  if (fate !== SubmitFate.Placed) return;
  for (const part of open.parts.slice(1)) sendPart(turn, part);
}

/** Leaves the snapshot to the VM whose first part came first. */
function cancelSnapshot(turn: Turn): void {
  const {state, logEvents} = turn;
  if (state.dueAt !== undefined && turn.now >= state.dueAt) setRepeat(turn);
  if (state.open === undefined) return;
  const covers = state.open.parts[0]!.covers;
  state.open = undefined;
  setRepeat(turn);
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
  const giveUpAt = now + state.options.repeatMilliseconds;
  turn.commands.push({record, token, giveUpAt});
  return token;
}

function setRepeat(turn: Turn): void {
  const {state, now, random} = turn;
  state.dueAt = now + state.options.repeatMilliseconds * (1 + random());
}

function setDue(turn: Turn, since: Instant): void {
  const {state, random} = turn;
  const share = earliestShare + (latestShare - earliestShare) * random();
  state.dueAt = since + state.options.retentionMilliseconds * share;
}
