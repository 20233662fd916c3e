/**
 * The publishes of one VM: from an operator's request to its answer. A
 * publish is accepted once it was read back and folded as accepted.
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
import {SubmitFate, type SubmitToken} from '../log/journal_types.js';
import type {
  ConfigurationFault,
  Offset,
  PublishFate,
  PublishRecord,
} from '../log/records.js';
import type {Decide, Step} from '../step.js';
import type {ConfigurationState} from './configuration_state.js';
import type {ConfigurationError} from './errors.js';
import {isRecord} from './field_checks.js';
import {checkPublish} from './publish_checks.js';
import {findPublishFate} from './queries.js';

/** What an operator is told of a publish. */
export enum PublishAnswer {
  /** In force from its offset on. */
  Accepted = 'accepted',
  /** Not in the log, and never will be by this request. */
  NotAccepted = 'notAccepted',
  /** Without effect; the faults tell why. */
  Refused = 'refused',
  /** May be accepted or not: ask again for this id. */
  Unknown = 'unknown',
}

/** What an operator is told of a publish, with its values. */
export interface PublishReport {
  readonly publish: PublishId;
  readonly answer: PublishAnswer;
  /** Offset of the publish, with `accepted` or once folded; else -1. */
  readonly offset: Offset;
  readonly faults: readonly ConfigurationFault[];
}

/** Safety checks that only a test may switch off. */
export interface PublisherGuards {
  /** A publish is accepted by its fold, not by its place in the log. */
  readonly waitsForFold: boolean;
}

/** How a publisher is set up. */
export interface PublisherOptions {
  /** Distinguishes the tokens of this run of the process. */
  readonly tokenPrefix: string;
  /** Most publishes without a definite fate that are remembered. */
  readonly maxOpen: number;
  readonly guards: PublisherGuards;
}

/** The settings of a production VM, but for the token prefix. */
export const defaultPublisherOptions: Omit<PublisherOptions, 'tokenPrefix'> = {
  maxOpen: 4096,
  guards: {waitsForFold: true},
};

/** The kinds of event that a publisher takes. */
export enum PublisherEventKind {
  PublishAsked = 'publishAsked',
  PublishDecided = 'publishDecided',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
}

/** Any event that a publisher takes. */
export type PublisherEvent =
  | {
      readonly kind: PublisherEventKind.PublishAsked;
      readonly record: PublishRecord;
      readonly giveUpAt: Deadline;
    }
  /** The configuration folded a publish of any VM. */
  | {
      readonly kind: PublisherEventKind.PublishDecided;
      readonly fate: PublishFate;
    }
  | {
      readonly kind: PublisherEventKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly fate: SubmitFate;
      readonly offset: Offset;
    }
  | {readonly kind: PublisherEventKind.Tick};

/** The kinds of command that a publisher gives. */
export enum PublisherCommandKind {
  Answer = 'answer',
  Submit = 'submit',
}

/** Any command that a publisher gives. */
export type PublisherCommand =
  /** Answer everyone who asked for this publish. */
  | {readonly kind: PublisherCommandKind.Answer; readonly report: PublishReport}
  | {
      readonly kind: PublisherCommandKind.Submit;
      readonly record: PublishRecord;
      readonly token: SubmitToken;
      readonly giveUpAt: Deadline;
    };

/** A publish whose definite fate is not known here. */
interface OpenPublish {
  readonly token: SubmitToken;
  giveUpAt: Deadline;
  /** Whether its askers were told that it is unknown. */
  answered: boolean;
}

/** The publishes under way at one VM. */
export interface PublisherState {
  readonly options: PublisherOptions;
  readonly configuration: ConfigurationState;
  readonly open: Map<PublishId, OpenPublish>;
  readonly tokens: Map<SubmitToken, PublishId>;
  /** Publishes that are certainly not in the log, by their last attempt. */
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
    open: new Map(),
    tokens: new Map(),
    notAccepted: new Set(),
    nextToken: 0,
  };
}

/** Decides one event of the publisher. */
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
    case PublisherEventKind.PublishAsked:
      acceptPublish(turn, event.record, event.giveUpAt);
      break;
    case PublisherEventKind.PublishDecided:
      applyFate(turn, event.fate);
      break;
    case PublisherEventKind.SubmitResolved:
      applySubmitFate(turn, event.token, event.fate, event.offset);
      break;
    case PublisherEventKind.Tick:
      expirePublishes(turn);
      break;
  }
  return Result.ok(turn);
};

/** Tells the fate of a publish as this VM knows it. */
export function getPublishReport(
  state: PublisherState,
  publish: PublishId,
): PublishReport {
  const fate = findPublishFate(state.configuration, publish);
  if (fate !== undefined) return makeFateReport(fate);
  const isOpen = state.open.has(publish);
  const answer =
    !isOpen && state.notAccepted.has(publish)
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
  const known = findPublishFate(state.configuration, publish);
  if (known !== undefined) return sendAnswer(turn, makeFateReport(known));
  const open = state.open.get(publish);
  if (open !== undefined) {
    return joinPublish(turn, publish, open, giveUpAt);
  }
  const faults = isAhead(state.configuration, record)
    ? []
    : checkPublish(state.configuration, record);
  if (faults.length > 0) {
    const refused = makeReport(publish, PublishAnswer.Refused, faults);
    return sendAnswer(turn, refused);
  }
  const token = addOpen(state, publish, giveUpAt);
  commands.push({kind: PublisherCommandKind.Submit, record, token, giveUpAt});
  logEvents.push({
    event: ConfigurationEvent.PublishSubmitted,
    fields: {publish, operator, changes: changes.length},
  });
}

/** The first submit may still be placed: a repeat waits for its fate. */
function joinPublish(
  turn: Turn,
  publish: PublishId,
  open: OpenPublish,
  giveUpAt: Deadline,
): void {
  open.giveUpAt = Math.min(open.giveUpAt, giveUpAt);
  if (!open.answered) return;
  sendAnswer(turn, makeReport(publish, PublishAnswer.Unknown));
}

/** Tells whether a publish was made from revisions not folded here yet. */
function isAhead(state: ConfigurationState, record: PublishRecord): boolean {
  return record.changes.some(
    change => isRecord(change) && change.base >= state.position,
  );
}

function addOpen(
  state: PublisherState,
  publish: PublishId,
  giveUpAt: Deadline,
): SubmitToken {
  const number = state.nextToken;
  state.nextToken += 1;
  const text = `${state.options.tokenPrefix}publish-${number}`;
  const token = toId<SubmitToken>(text);
  state.notAccepted.delete(publish);
  state.open.set(publish, {token, giveUpAt, answered: false});
  state.tokens.set(token, publish);
  dropOldestAnswered(state);
  return token;
}

function applyFate(turn: Turn, fate: PublishFate): void {
  const {state} = turn;
  state.notAccepted.delete(fate.publish);
  const open = removeOpen(state, fate.publish);
  if (open === undefined || open.answered) return;
  sendAnswer(turn, makeFateReport(fate));
}

function applySubmitFate(
  turn: Turn,
  token: SubmitToken,
  fate: SubmitFate,
  offset: Offset,
): void {
  const {state} = turn;
  const publish = state.tokens.get(token);
  if (publish === undefined) return;
  switch (fate) {
    case SubmitFate.NeverSent:
    case SubmitFate.Superseded:
      refuseUnplaced(turn, publish);
      break;
    case SubmitFate.Placed:
      if (state.options.guards.waitsForFold) break;
      applyFate(turn, {publish, offset, faults: []});
      break;
    case SubmitFate.Unknown:
      answerUnknown(turn, publish);
      break;
  }
}

/** The record is not in the log and never will be folded. */
function refuseUnplaced(turn: Turn, publish: PublishId): void {
  const {state} = turn;
  const open = removeOpen(state, publish);
  if (open === undefined) return;
  state.notAccepted.add(publish);
  const [oldest] = state.notAccepted;
  if (state.notAccepted.size > state.options.maxOpen) {
    state.notAccepted.delete(oldest!);
  }
  if (open.answered) return;
  sendAnswer(turn, makeReport(publish, PublishAnswer.NotAccepted));
}

function answerUnknown(turn: Turn, publish: PublishId): void {
  const open = turn.state.open.get(publish);
  if (open === undefined || open.answered) return;
  open.answered = true;
  sendAnswer(turn, makeReport(publish, PublishAnswer.Unknown));
}

/** An asker is answered at its deadline, whatever the journal knows by then. */
function expirePublishes(turn: Turn): void {
  for (const [publish, open] of turn.state.open) {
    if (turn.now >= open.giveUpAt) answerUnknown(turn, publish);
  }
}

function removeOpen(
  state: PublisherState,
  publish: PublishId,
): OpenPublish | undefined {
  const open = state.open.get(publish);
  if (open === undefined) return undefined;
  state.open.delete(publish);
  state.tokens.delete(open.token);
  return open;
}

function dropOldestAnswered(state: PublisherState): void {
  if (state.open.size <= state.options.maxOpen) return;
  for (const [publish, open] of state.open) {
    if (!open.answered) continue;
    removeOpen(state, publish);
    return;
  }
}

function makeFateReport(fate: PublishFate): PublishReport {
  const {publish, offset, faults} = fate;
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
