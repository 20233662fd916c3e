import {WorkKind} from '@zinniaspindle/stand-ins';
import {
  type AnswerExpectation,
  type ExecutedExpectation,
  type Expectation,
  ExpectationKind,
  type ExpectStep,
  type InForceExpectation,
  type NothingNewExpectation,
  type PublishedExpectation,
  type RetriedExpectation,
} from '../language/steps.js';
import {compareLedger, LedgerFaultKind} from './compare_ledger.js';
import type {
  AnswerObservation,
  Observations,
  PublishObservation,
} from './observations.js';

/**
 * Checks one expectation at the end of a scenario; returns what is wrong, or
 * undefined when it is met.
 */
export function checkExpectation(
  step: ExpectStep,
  observations: Observations,
): string | undefined {
  const by = step.byMilliseconds ?? Infinity;
  return findFault(step.expectation, by, observations);
}

function findFault(
  expectation: Expectation,
  by: number,
  observations: Observations,
): string | undefined {
  switch (expectation.kind) {
    case ExpectationKind.Answer:
      return checkAnswer(expectation, by, observations);
    case ExpectationKind.Executed:
      return checkExecuted(expectation, by, observations);
    case ExpectationKind.InForce:
      return checkInForce(expectation, by, observations);
    case ExpectationKind.NothingNew:
      return checkNothingNew(expectation, observations);
    case ExpectationKind.Published:
      return checkPublished(expectation, by, observations);
    case ExpectationKind.Retried:
      return checkRetried(expectation, observations);
    case ExpectationKind.TokensOnce:
      return checkTokensOnce(observations);
  }
}

function checkAnswer(
  {name, answers}: AnswerExpectation,
  by: number,
  observations: Observations,
): string | undefined {
  const asked = [...observations.requests, ...observations.actions].find(
    one => one.name === name,
  );
  if (asked === undefined) return `nothing is named "${name}"`;
  const answer: AnswerObservation | undefined = asked.answers[0];
  if (answer === undefined) return `${name} has no answer`;
  if (answers.length > 0 && !answers.includes(answer.answer)) {
    return `${name} is ${answer.answer}: ${answer.detail}`;
  }
  if (answer.atMilliseconds <= by) return undefined;
  return `${name} was answered at ${answer.atMilliseconds} ms, not by ${by} ms`;
}

function checkExecuted(
  {service, key, least, most}: ExecutedExpectation,
  by: number,
  observations: Observations,
): string | undefined {
  const action = observations.actions.find(one => one.key === key);
  if (action === undefined) return `no action has the key "${key}"`;
  let count = 0;
  for (const {work, source, atMilliseconds} of observations.work) {
    if (work.kind !== WorkKind.Executed || source !== service) continue;
    if (work.key !== action.actionKey) continue;
    if (atMilliseconds <= by || count >= least) count += 1;
  }
  if (count >= least && count <= most) return undefined;
  return `${service} ran ${key} ${count} times, not ${least} to ${most}`;
}

function checkInForce(
  {publish}: InForceExpectation,
  by: number,
  observations: Observations,
): string | undefined {
  const found = findPublish(publish, observations);
  if (found === undefined) return `nothing is named "${publish}"`;
  const at = found.inForceAtMilliseconds;
  if (at === undefined) return `${publish} is not in force everywhere`;
  if (at <= by) return undefined;
  return `${publish} was in force at ${at} ms, not by ${by} ms`;
}

function checkNothingNew(
  {endpoint, sinceMilliseconds}: NothingNewExpectation,
  observations: Observations,
): string | undefined {
  for (const {work, source, atMilliseconds} of observations.work) {
    if (work.kind === WorkKind.Executed || source !== endpoint) continue;
    if (atMilliseconds <= sinceMilliseconds) continue;
    return `${endpoint} was given request ${work.request} at ${atMilliseconds} ms`;
  }
  return undefined;
}

function checkPublished(
  {publish, accepted}: PublishedExpectation,
  by: number,
  observations: Observations,
): string | undefined {
  const found = findPublish(publish, observations);
  if (found === undefined) return `nothing is named "${publish}"`;
  if (found.accepted === undefined) return `${publish} has no answer`;
  if (found.accepted !== accepted) {
    const fate = found.accepted ? 'accepted' : 'refused';
    return `${publish} was ${fate}: ${found.detail}`;
  }
  const at = found.answeredAtMilliseconds ?? Infinity;
  if (at <= by) return undefined;
  return `${publish} was answered at ${at} ms, not by ${by} ms`;
}

function checkRetried(
  {name}: RetriedExpectation,
  observations: Observations,
): string | undefined {
  const request = observations.requests.find(one => one.name === name);
  if (request === undefined) return `nothing is named "${name}"`;
  const attempts = new Set<number>();
  for (const {work} of observations.work) {
    if (work.kind !== WorkKind.AttemptRan) continue;
    if (work.request === request.request) attempts.add(work.attempt);
  }
  return attempts.size > 1
    ? undefined
    : `${name} took ${attempts.size} attempts`;
}

function checkTokensOnce(observations: Observations): string | undefined {
  for (const {kind, subject, detail} of compareLedger(observations)) {
    if (kind === LedgerFaultKind.WrongToken) return `${subject}: ${detail}`;
  }
  return undefined;
}

function findPublish(
  name: string,
  observations: Observations,
): PublishObservation | undefined {
  return observations.publishes.find(one => one.name === name);
}
