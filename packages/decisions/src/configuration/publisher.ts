/**
 * Handles the publishes that operators send to one VM, from request to
 * answer. A publish is reported as accepted only after its record was read
 * back from the log and folded without faults.
 */
import {
  ConfigurationEvent,
  toId,
  type Deadline,
  type Instant,
  type LogEvent,
  type PublishId,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {SubmitOutcome, type SubmitToken} from '../log/journal_types.js';
import type {
  ConfigurationFault,
  Offset,
  PublishOutcome,
  PublishRecord,
} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {ConfigurationState} from './configuration_state.js';
import type {ConfigurationError} from './errors.js';
import {isRecord} from './field_checks.js';
import {checkPublish} from './publish_checks.js';
import {findPublishOutcome} from './queries.js';

/** The result of a publish, as reported to the operator. */
export enum PublishAnswer {
  /** The changes are effective from the publish's offset on. */
  Accepted = 'accepted',
  /** Without effect: the record of this request will never be folded. */
  NotAccepted = 'notAccepted',
  /** Invalid, without effect; the faults give the reasons. */
  Refused = 'refused',
  /** May or may not be accepted; the operator can query this id again. */
  Unknown = 'unknown',
}

/** The answer to an operator's publish or query. */
export interface PublishReport {
  readonly publish: PublishId;
  readonly answer: PublishAnswer;
  /** Offset of the publish once folded; else -1. */
  readonly offset: Offset;
  readonly faults: readonly ConfigurationFault[];
}

/** Safety checks; only tests may disable them. */
export interface PublisherGuards {
  /**
   * Reports a publish as accepted when it is folded, not when it is read back.
   */
  readonly waitsForFold: boolean;
}

/** Options of a publisher. */
export interface PublisherOptions {
  /** Makes the submit tokens unique to this run of the process. */
  readonly tokenPrefix: string;
  /** Maximum number of publishes without a definite outcome that are kept. */
  readonly maxPending: number;
  readonly guards: PublisherGuards;
}

/** Production defaults, without the token prefix. */
export const defaultPublisherOptions: Omit<PublisherOptions, 'tokenPrefix'> = {
  maxPending: 4096,
  guards: {waitsForFold: true},
};

/** Kinds of event that a publisher accepts. */
export enum PublisherEventKind {
  PublishRequested = 'publishRequested',
  PublishDecided = 'publishDecided',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
}

/** An event for a publisher. */
export type PublisherEvent =
  | {
      readonly kind: PublisherEventKind.PublishRequested;
      readonly record: PublishRecord;
      readonly giveUpAt: Deadline;
    }
  /** The configuration folded a publish, from this or another VM. */
  | {
      readonly kind: PublisherEventKind.PublishDecided;
      readonly outcome: PublishOutcome;
    }
  | {
      readonly kind: PublisherEventKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly outcome: SubmitOutcome;
      readonly offset: Offset;
    }
  | {readonly kind: PublisherEventKind.Tick};

/** Kinds of command that a publisher returns. */
export enum PublisherCommandKind {
  Answer = 'answer',
  Submit = 'submit',
}

/** A command of a publisher. */
export type PublisherCommand =
  /** Sends the report to every caller that waits for this publish. */
  | {readonly kind: PublisherCommandKind.Answer; readonly report: PublishReport}
  | {
      readonly kind: PublisherCommandKind.Submit;
      readonly record: PublishRecord;
      readonly token: SubmitToken;
      readonly giveUpAt: Deadline;
    };

/** A submitted publish whose definite outcome this VM does not know yet. */
interface PendingPublish {
  readonly token: SubmitToken;
  giveUpAt: Deadline;
  /** Whether its callers were answered that the outcome is unknown. */
  answered: boolean;
}

/** The publishes in progress at one VM. */
export interface PublisherState {
  readonly options: PublisherOptions;
  readonly configuration: ConfigurationState;
  readonly pending: Map<PublishId, PendingPublish>;
  readonly tokens: Map<SubmitToken, PublishId>;
  /** Publishes whose last record will never be folded by any VM. */
  readonly notAccepted: Set<PublishId>;
  nextToken: number;
}

interface Turn {
  readonly state: PublisherState;
  readonly now: Instant;
  readonly commands: PublisherCommand[];
  readonly logEvents: LogEvent[];
}

/** Creates a publisher over the configuration of the same VM. */
export function createPublisher(
  options: PublisherOptions,
  configuration: ConfigurationState,
): PublisherState {
  return {
    options,
    configuration,
    pending: new Map(),
    tokens: new Map(),
    notAccepted: new Set(),
    nextToken: 0,
  };
}

/** Handles one event of the publisher. */
export const decidePublisher: Decide<
  PublisherState,
  PublisherEvent,
  PublisherCommand,
  ConfigurationError
> = (
  state: PublisherState,
  event: PublisherEvent,
  now: Instant,
): Result<Step<PublisherState, PublisherCommand>, ConfigurationError> => {
  const turn: Turn = {state, now, commands: [], logEvents: []};
  switch (event.kind) {
    case PublisherEventKind.PublishRequested:
      acceptPublish(turn, event.record, event.giveUpAt);
      break;
    case PublisherEventKind.PublishDecided:
      applyOutcome(turn, event.outcome);
      break;
    case PublisherEventKind.SubmitResolved:
      applySubmitOutcome(turn, event.token, event.outcome, event.offset);
      break;
    case PublisherEventKind.Tick:
      expirePublishes(turn);
      break;
  }
  return Result.ok(turn);
};

/** Returns what this VM knows about the result of a publish. */
export function getPublishReport(
  state: PublisherState,
  publish: PublishId,
): PublishReport {
  const outcome = findPublishOutcome(state.configuration, publish);
  if (outcome !== undefined) return makeOutcomeReport(outcome);
  const isPending = state.pending.has(publish);
  const answer =
    !isPending && state.notAccepted.has(publish)
      ? PublishAnswer.NotAccepted
      : PublishAnswer.Unknown;
  return makeReport(publish, answer);
}

function acceptPublish(
  turn: Turn,
  record: PublishRecord,
  giveUpAt: Deadline,
): void {
  const {state, commands, logEvents} = turn;
  const {publish, operator, changes} = record;
  const known = findPublishOutcome(state.configuration, publish);
  if (known !== undefined) return sendAnswer(turn, makeOutcomeReport(known));
  const pending = state.pending.get(publish);
  if (pending !== undefined) {
    return joinPublish(turn, publish, pending, giveUpAt);
  }
  const faults = hasNewerBase(state.configuration, record)
    ? []
    : checkPublish(state.configuration, record);
  if (faults.length > 0) {
    const refused = makeReport(publish, PublishAnswer.Refused, faults);
    return sendAnswer(turn, refused);
  }
  const token = addPending(state, publish, giveUpAt);
  commands.push({kind: PublisherCommandKind.Submit, record, token, giveUpAt});
  logEvents.push({
    event: ConfigurationEvent.PublishSubmitted,
    fields: {publish, operator, changes: changes.length},
  });
}

/**
 * Makes a repeated request wait for the first: its record may still be
 * appended. Callers that come after the answer `unknown` get it at once.
 */
function joinPublish(
  turn: Turn,
  publish: PublishId,
  pending: PendingPublish,
  giveUpAt: Deadline,
): void {
  pending.giveUpAt = Math.min(pending.giveUpAt, giveUpAt);
  if (!pending.answered) return;
  sendAnswer(turn, makeReport(publish, PublishAnswer.Unknown));
}

/**
 * Tells whether a publish is based on revisions that are not folded here yet.
 */
function hasNewerBase(
  state: ConfigurationState,
  record: PublishRecord,
): boolean {
  return record.changes.some(
    change => isRecord(change) && change.base >= state.position,
  );
}

function addPending(
  state: PublisherState,
  publish: PublishId,
  giveUpAt: Deadline,
): SubmitToken {
  const number = state.nextToken;
  state.nextToken += 1;
  const text = `${state.options.tokenPrefix}publish-${number}`;
  const token = toId<SubmitToken>(text);
  state.notAccepted.delete(publish);
  state.pending.set(publish, {token, giveUpAt, answered: false});
  state.tokens.set(token, publish);
  dropOldestAnswered(state);
  return token;
}

function applyOutcome(turn: Turn, outcome: PublishOutcome): void {
  const {state} = turn;
  state.notAccepted.delete(outcome.publish);
  const pending = removePending(state, outcome.publish);
  if (pending === undefined || pending.answered) return;
  sendAnswer(turn, makeOutcomeReport(outcome));
}

function applySubmitOutcome(
  turn: Turn,
  token: SubmitToken,
  outcome: SubmitOutcome,
  offset: Offset,
): void {
  const {state} = turn;
  const publish = state.tokens.get(token);
  if (publish === undefined) return;
  switch (outcome) {
    case SubmitOutcome.NeverSent:
    case SubmitOutcome.Superseded:
      refuseUncommitted(turn, publish);
      break;
    case SubmitOutcome.Committed:
      if (state.options.guards.waitsForFold) break;
      applyOutcome(turn, {publish, offset, faults: []});
      break;
    case SubmitOutcome.Unknown:
      answerUnknown(turn, publish);
      break;
  }
}

/** Answers `notAccepted`: the record will never be folded. */
function refuseUncommitted(turn: Turn, publish: PublishId): void {
  const {state} = turn;
  const pending = removePending(state, publish);
  if (pending === undefined) return;
  state.notAccepted.add(publish);
  const [oldest] = state.notAccepted;
  if (state.notAccepted.size > state.options.maxPending) {
    state.notAccepted.delete(oldest!);
  }
  if (pending.answered) return;
  sendAnswer(turn, makeReport(publish, PublishAnswer.NotAccepted));
}

function answerUnknown(turn: Turn, publish: PublishId): void {
  const pending = turn.state.pending.get(publish);
  if (pending === undefined || pending.answered) return;
  pending.answered = true;
  sendAnswer(turn, makeReport(publish, PublishAnswer.Unknown));
}

/**
 * Answers `unknown` for each publish whose earliest deadline has passed, even
 * if the journal has not resolved its submit yet.
 */
function expirePublishes(turn: Turn): void {
  for (const [publish, pending] of turn.state.pending) {
    if (turn.now >= pending.giveUpAt) answerUnknown(turn, publish);
  }
}

function removePending(
  state: PublisherState,
  publish: PublishId,
): PendingPublish | undefined {
  const pending = state.pending.get(publish);
  if (pending === undefined) return undefined;
  state.pending.delete(publish);
  state.tokens.delete(pending.token);
  return pending;
}

function dropOldestAnswered(state: PublisherState): void {
  if (state.pending.size <= state.options.maxPending) return;
  for (const [publish, pending] of state.pending) {
    if (!pending.answered) continue;
    removePending(state, publish);
    return;
  }
}

function makeOutcomeReport(outcome: PublishOutcome): PublishReport {
  const {publish, offset, faults} = outcome;
  const answer =
    faults.length === 0 ? PublishAnswer.Accepted : PublishAnswer.Refused;
  return {publish, answer, offset, faults};
}

function makeReport(
  publish: PublishId,
  answer: PublishAnswer,
  faults: readonly ConfigurationFault[] = [],
): PublishReport {
  return {publish, answer, offset: -1, faults};
}

function sendAnswer(turn: Turn, report: PublishReport): void {
  const {publish, answer} = report;
  turn.commands.push({kind: PublisherCommandKind.Answer, report});
  turn.logEvents.push({
    event: ConfigurationEvent.PublishAnswered,
    fields: {publish, answer},
  });
}
