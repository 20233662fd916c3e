import {computeExpectedTokens, WorkKind} from '@zinniaspindle/stand-ins';
import {FinalAnswer} from '@zinniaspindle/shared';
import type {
  ActionObservation,
  AnswerObservation,
  Observations,
  RequestObservation,
} from './observations.js';

/** What can be untrue in what callers were told, or doubly done. */
export enum LedgerFaultKind {
  AnsweredTwice = 'answeredTwice',
  ExecutedTwice = 'executedTwice',
  FalseCompleted = 'falseCompleted',
  FalseNotRun = 'falseNotRun',
  /** An accepted publish was in force and then was not. */
  Reverted = 'reverted',
  WrongToken = 'wrongToken',
}

/** A difference between what callers were told and what was done. */
export interface LedgerFault {
  readonly kind: LedgerFaultKind;
  /** The scenario's name of the request, action or key. */
  readonly subject: string;
  readonly detail: string;
}

/** Compares every answer with what the stand-ins executed. */
export function compareLedger(observations: Observations): LedgerFault[] {
  const faults: LedgerFault[] = [];
  for (const request of observations.requests) {
    faults.push(...checkRequest(request, observations));
  }
  for (const actions of listByKey(observations.actions).values()) {
    faults.push(...checkKey(actions, observations));
  }
  for (const {name: subject, reverted: detail} of observations.publishes) {
    if (detail === undefined) continue;
    faults.push({kind: LedgerFaultKind.Reverted, subject, detail});
  }
  return faults;
}

function checkRequest(
  request: RequestObservation,
  observations: Observations,
): LedgerFault[] {
  const {name: subject} = request;
  const faults = checkAnswers(subject, request.answers);
  const wrong = findWrongToken(request);
  if (wrong !== undefined) {
    faults.push({kind: LedgerFaultKind.WrongToken, subject, detail: wrong});
  }
  const expected = computeExpectedTokens(
    request.generation,
    request.layerCount,
  ).length;
  const given = request.tokens.length;
  if (hasAnswer(request.answers, FinalAnswer.Completed) && given !== expected) {
    const detail = `${given} of ${expected} tokens`;
    faults.push({kind: LedgerFaultKind.FalseCompleted, subject, detail});
  }
  const ran = findAttempt(request, observations);
  if (isRefused(request.answers) && (given > 0 || ran !== undefined)) {
    const detail = ran ?? `${given} tokens were given`;
    faults.push({kind: LedgerFaultKind.FalseNotRun, subject, detail});
  }
  return faults;
}

function findWrongToken(request: RequestObservation): string | undefined {
  const expected = computeExpectedTokens(
    request.generation,
    request.layerCount,
  );
  for (const [place, {index, text}] of request.tokens.entries()) {
    if (index !== place) return `token ${index} came in place ${place}`;
    if (text !== expected[index]) {
      return `token ${index} is "${text}", not "${expected[index]}"`;
    }
  }
  return undefined;
}

function findAttempt(
  request: RequestObservation,
  observations: Observations,
): string | undefined {
  for (const {work, source} of observations.work) {
    if (work.kind !== WorkKind.AttemptRan) continue;
    if (work.request === request.request) {
      return `attempt ${work.attempt} ran at ${source}`;
    }
  }
  return undefined;
}

/** Checks all actions of one service that carry the same key. */
function checkKey(
  actions: readonly ActionObservation[],
  observations: Observations,
): LedgerFault[] {
  const faults: LedgerFault[] = [];
  const [{service, key, actionKey}] = actions as [ActionObservation];
  const executedAt = listExecutions(service, actionKey, observations);
  if (executedAt.length > 1) {
    const detail = `${service} ran it ${executedAt.length} times`;
    faults.push({kind: LedgerFaultKind.ExecutedTwice, subject: key, detail});
  }
  const mayRun = actions.some(({answers}) => !isRefused(answers));
  for (const {name: subject, answers} of actions) {
    faults.push(...checkAnswers(subject, answers));
    const isDone = hasAnswer(answers, FinalAnswer.Completed);
    if (isDone && executedAt.length === 0) {
      const detail = `${service} never ran it`;
      faults.push({kind: LedgerFaultKind.FalseCompleted, subject, detail});
    }
    const refusedAt = findRefusal(answers);
    const untrue = executedAt.find(at => !mayRun || at <= (refusedAt ?? -1));
    if (refusedAt !== undefined && untrue !== undefined) {
      const detail = `${service} ran it at ${untrue} ms`;
      faults.push({kind: LedgerFaultKind.FalseNotRun, subject, detail});
    }
  }
  return faults;
}

function listByKey(
  actions: readonly ActionObservation[],
): Map<string, ActionObservation[]> {
  const byKey = new Map<string, ActionObservation[]>();
  for (const action of actions) {
    const name = `${action.service} ${action.actionKey}`;
    const held = byKey.get(name);
    if (held === undefined) byKey.set(name, [action]);
    else held.push(action);
  }
  return byKey;
}

function listExecutions(
  service: string,
  actionKey: string,
  observations: Observations,
): number[] {
  const times: number[] = [];
  for (const {work, source, atMilliseconds} of observations.work) {
    if (work.kind !== WorkKind.Executed || source !== service) continue;
    if (work.key === actionKey) times.push(atMilliseconds);
  }
  return times;
}

function checkAnswers(
  subject: string,
  answers: readonly AnswerObservation[],
): LedgerFault[] {
  if (answers.length <= 1) return [];
  const detail = answers.map(({answer}) => answer).join(', ');
  return [{kind: LedgerFaultKind.AnsweredTwice, subject, detail}];
}

function hasAnswer(
  answers: readonly AnswerObservation[],
  wanted: FinalAnswer,
): boolean {
  return answers.some(({answer}) => answer === wanted);
}

/** Tells whether a caller was told that the work did not run. */
function isRefused(answers: readonly AnswerObservation[]): boolean {
  return findRefusal(answers) !== undefined;
}

function findRefusal(
  answers: readonly AnswerObservation[],
): number | undefined {
  for (const {answer, atMilliseconds} of answers) {
    if (answer === FinalAnswer.NotRun) return atMilliseconds;
  }
  return undefined;
}
