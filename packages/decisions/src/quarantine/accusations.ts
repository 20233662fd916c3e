import type {Instant} from '@zinniaspindle/shared';
import {nearbyMilliseconds, type TraitEnd} from './judge_begun.js';
import {computeExposure, type RequestEnd} from './judge_request.js';
import {
  AnswerStage,
  comparedMilliseconds,
  findAnswered,
  hasMissed,
  isAnsweredSince,
  type EndedAttempt,
  type EndpointEnd,
  type PartEvidence,
} from './part_evidence.js';

/** An end that accuses a part, as a whole request and as any trait are judged. */
type AccusingEnd = RequestEnd & TraitEnd;

/** The ends that accuse one part, one after another. */
export interface Accusation {
  readonly part: string;
  readonly endpoints: string[];
  /** The same ends, in sequence. */
  readonly ends: AccusingEnd[];
  /** The requests that were sent in sequence. */
  readonly requests: Set<string>;
  /** All attempts with the part at these ends, and at those between them. */
  readonly attempts: EndedAttempt[];
  readonly since: Instant;
  lastEndedAt: Instant;
}

/** Attempts that broke within the time compared, and the ends of their endpoints. */
export interface Breaks {
  attempts: number;
  ends: number;
}

/** What the ends of a service's endpoints show of answers that missed a stage. */
export interface AccusationList {
  readonly stage: AnswerStage;
  readonly accusations: readonly Accusation[];
  readonly breaks: Breaks;
  /** Those of the attempts with a part. */
  readonly breaksOf: ReadonlyMap<string, Breaks>;
}

/**
 * Endpoints that are lost together end within this time. Answers that have begun may
 * still become lasting, so that more of them are open at once.
 */
const atOnceMilliseconds: Readonly<Record<AnswerStage, number>> = {
  [AnswerStage.Begun]: 20,
  [AnswerStage.Lasting]: 40,
};

/**
 * Lists the accusations of all parts, or only of those that are wanted; at the stage
 * of lasting answers only those that the stage of begun ones does not decide.
 * @param known culprits that explain the ends of attempts with all their parts
 */
export function listAccusations(
  evidence: PartEvidence,
  stage: AnswerStage,
  now: Instant,
  known: readonly (readonly string[])[],
  wanted?: ReadonlySet<string>,
): AccusationList {
  const accusations = new Map<string, Accusation>();
  const breaks = createBreaks();
  const breaksOf = new Map<string, Breaks>();
  for (const end of evidence.ends) {
    const missed = end.attempts.filter(one => hasMissed(one, stage));
    if (missed.length === 0) continue;
    const explaining = known.filter(parts =>
      missed.some(({traits}) => hasAll(traits, parts)),
    );
    const nearbyEnds = countNearby(evidence, end);
    const isCompared = now - end.endedAt <= comparedMilliseconds;
    if (isCompared) addBreaks(breaks, missed.length);
    for (const [part, attempts] of listByPart(missed, wanted)) {
      if (isCompared) {
        const ofPart = breaksOf.get(part) ?? createBreaks();
        breaksOf.set(part, ofPart);
        addBreaks(ofPart, attempts.length);
      }
      if (isAnsweredSince(evidence, part, end.endedAt, stage)) continue;
      const isExplained =
        explaining.length > 0 && !explaining.some(one => one.includes(part));
      if (isExplained) continue;
      let accusation = accusations.get(part);
      if (accusation === undefined) {
        accusation = createAccusation(part, end.endedAt);
        accusations.set(part, accusation);
      }
      const isNew = findAnswered(evidence, part, stage) === undefined;
      const gap = isNew ? atOnceMilliseconds[stage] : Infinity;
      const isAlone = attempts.length === missed.length;
      addEnd(accusation, end, attempts, gap, {isAlone, nearbyEnds});
    }
  }
  const listed = [...accusations.values()].filter(
    ({attempts}) =>
      stage === AnswerStage.Begun || attempts.some(one => one.hasBegun),
  );
  return {stage, accusations: listed, breaks, breaksOf};
}

/**
 * Computes the parts that all accusing attempts share and that no answer has
 * cleared since.
 */
export function computeCommon(
  evidence: PartEvidence,
  stage: AnswerStage,
  {attempts, since}: Accusation,
): readonly string[] {
  const [first, ...others] = attempts.map(({traits}) => traits);
  let common = first ?? [];
  for (const traits of others) {
    const shared = new Set(traits);
    common = common.filter(part => shared.has(part));
  }
  return common.filter(part => !isAnsweredSince(evidence, part, since, stage));
}

/** Tells whether all of some values are among others. */
export function hasAll(
  values: readonly string[],
  wanted: readonly string[],
): boolean {
  return wanted.every(one => values.includes(one));
}

function createAccusation(part: string, since: Instant): Accusation {
  return {
    part,
    endpoints: [],
    ends: [],
    requests: new Set(),
    attempts: [],
    since,
    lastEndedAt: -Infinity,
  };
}

function countNearby({ends}: PartEvidence, {endedAt}: EndpointEnd): number {
  let count = 0;
  for (const other of ends) {
    if (Math.abs(other.endedAt - endedAt) <= nearbyMilliseconds) count += 1;
  }
  return count;
}

function createBreaks(): Breaks {
  return {attempts: 0, ends: 0};
}

/** Counts the attempts that broke at one more end. */
function addBreaks(breaks: Breaks, attempts: number): void {
  breaks.attempts += attempts;
  breaks.ends += 1;
}

/** Lists the attempts with each trait, or with each of those that are wanted. */
function listByPart(
  attempts: readonly EndedAttempt[],
  wanted: ReadonlySet<string> | undefined,
): ReadonlyMap<string, EndedAttempt[]> {
  const index = new Map<string, EndedAttempt[]>();
  for (const attempt of attempts) {
    for (const part of new Set(attempt.traits)) {
      if (wanted?.has(part) === false) continue;
      const known = index.get(part);
      if (known === undefined) index.set(part, [attempt]);
      else known.push(attempt);
    }
  }
  return index;
}

/**
 * Adds an end to an accusation.
 * @param gapMilliseconds time since the end before it after which an attempt counts
 *     that was sent earlier than that end
 */
function addEnd(
  accusation: Accusation,
  {endpoint, endedAt}: EndpointEnd,
  accusing: readonly EndedAttempt[],
  gapMilliseconds: number,
  facts: Pick<AccusingEnd, 'isAlone' | 'nearbyEnds'>,
): void {
  const {lastEndedAt, requests} = accusation;
  accusation.attempts.push(...accusing);
  const isApart = endedAt - lastEndedAt > gapMilliseconds;
  const later = accusing.filter(({sentAt}) => isApart || sentAt > lastEndedAt);
  if (later.length === 0) return;
  for (const {request} of later) requests.add(request);
  accusation.lastEndedAt = endedAt;
  accusation.endpoints.push(endpoint);
  const sentAt = later.map(attempt => attempt.sentAt);
  const exposureMilliseconds = computeExposure(sentAt, endedAt);
  const attempts = later.length;
  accusation.ends.push({exposureMilliseconds, attempts, ...facts});
}
