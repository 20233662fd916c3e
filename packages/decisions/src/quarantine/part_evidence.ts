import type {Instant} from '@zinniaspindle/shared';
import {isRequestTrait} from './request_trait.js';

/** How far an answer has come, which tells what it shows of its request. */
export enum AnswerStage {
  /** Its first event has come, or all of it. */
  Begun = 'begun',
  /** All of it has come, or events have for `lastingMilliseconds`. */
  Lasting = 'lasting',
}

/**
 * An endpoint that ends later than this after the first event of an answer does
 * not end because of its request.
 */
export const lastingMilliseconds = 1000;

/** An attempt whose answer was not lasting when its endpoint ended. */
export interface EndedAttempt {
  readonly request: string;
  /** Its digests and the ids of the parts of its prompt that others may share. */
  readonly traits: readonly string[];
  readonly sentAt: Instant;
  /** Whether its answer had begun. */
  readonly hasBegun?: boolean;
}

/** The end of one incarnation of an endpoint, as all VMs saw it. */
export interface EndpointEnd {
  /** Identifies the incarnation. */
  readonly endpoint: string;
  /** When the first of its attempts broke. */
  readonly endedAt: Instant;
  readonly attempts: readonly EndedAttempt[];
}

/** Instants of traits; the latest are kept. */
interface TraitInstants {
  readonly parts: Map<string, Instant>;
  /** Those of whole requests, which are more and would replace the parts. */
  readonly requests: Map<string, Instant>;
}

/**
 * What accuses and clears the parts of the prompts of one service: endpoints
 * that ended before an answer was lasting, and answers.
 */
export interface PartEvidence {
  /** In the order in which they ended. */
  ends: EndpointEnd[];
  /** When an answer on each trait last reached a stage. */
  readonly answeredAt: Readonly<Record<AnswerStage, TraitInstants>>;
  /** When an endpoint last ended before an answer on each trait reached a stage. */
  readonly endedAt: Readonly<Record<AnswerStage, Map<string, Instant>>>;
  /** Answers that were begun at this VM in each second. */
  readonly answers: Map<number, number>;
}

/** Time over which attempts that broke are compared with those that did not. */
export const comparedMilliseconds = 15_000;
const millisecondsPerSecond = 1000;

/** Ends that are kept. */
const maxEnds = 64;
/** Attempts that are kept of each end. */
const maxAttempts = 64;
/** Traits of all attempts that are kept of each end; the rest accuse nothing. */
export const maxEvidenceTraits = 4096;
/** Parts, and digests of requests, whose answers are kept. */
const maxAnswered = 4096;
/** Parts and digests whose last ends are kept. */
const maxEnded = 16_384;
/** Ends further back say nothing of those that come. */
const endRetentionMilliseconds = 600_000;

/** Creates the evidence of a service without ends or answers. */
export function createPartEvidence(): PartEvidence {
  return {
    ends: [],
    answeredAt: {
      [AnswerStage.Begun]: createInstants(),
      [AnswerStage.Lasting]: createInstants(),
    },
    endedAt: {
      [AnswerStage.Begun]: new Map(),
      [AnswerStage.Lasting]: new Map(),
    },
    answers: new Map(),
  };
}

function createInstants(): TraitInstants {
  return {parts: new Map(), requests: new Map()};
}

/** Tells whether an attempt broke before its answer reached a stage. */
export function hasMissed(
  {hasBegun = false}: EndedAttempt,
  stage: AnswerStage,
): boolean {
  return stage === AnswerStage.Lasting || !hasBegun;
}

/** Limits the attempts of an end, so that their traits are within the bound. */
export function pickAttempts(
  attempts: readonly EndedAttempt[],
): EndedAttempt[] {
  const kept: EndedAttempt[] = [];
  let left = maxEvidenceTraits;
  for (const attempt of attempts) {
    if (kept.length >= maxAttempts || left === 0) break;
    const traits = attempt.traits.slice(0, left);
    left -= traits.length;
    kept.push({...attempt, traits});
  }
  return kept;
}

/**
 * Records attempts at an endpoint that ended. Several VMs report one end, each
 * with its own attempts.
 */
export function recordEndpointEnd(
  evidence: PartEvidence,
  end: EndpointEnd,
  now: Instant,
): void {
  const {endpoint} = end;
  const known = evidence.ends.find(one => one.endpoint === endpoint);
  const oldest = now - endRetentionMilliseconds;
  const others = evidence.ends.filter(
    one => one !== known && one.endedAt >= oldest,
  );
  const endedAt = Math.min(end.endedAt, known?.endedAt ?? Infinity);
  const attempts = new Map<string, EndedAttempt>();
  for (const attempt of [...(known?.attempts ?? []), ...end.attempts]) {
    attempts.set(attempt.request, attempt);
  }
  const kept = pickAttempts([...attempts.values()]);
  const merged = {endpoint, endedAt, attempts: kept};
  evidence.ends = [...others, merged]
    .sort((a, b) => a.endedAt - b.endedAt)
    .slice(-maxEnds);
  for (const stage of Object.values(AnswerStage)) {
    const instants = evidence.endedAt[stage];
    for (const attempt of end.attempts) {
      if (!hasMissed(attempt, stage)) continue;
      recordLatest(instants, attempt.traits, endedAt);
    }
    dropOldest(instants, maxEnded);
  }
}

/** Sets the instants of some parts that have none or an earlier one. */
function recordLatest(
  instants: Map<string, Instant>,
  parts: readonly string[],
  at: Instant,
): void {
  for (const part of parts) {
    const known = instants.get(part);
    if (known !== undefined && known >= at) continue;
    instants.delete(part);
    instants.set(part, at);
  }
}

/** Records that an answer on some parts reached a stage at an instant. */
export function recordAnswered(
  evidence: PartEvidence,
  parts: readonly string[],
  at: Instant,
  stage = AnswerStage.Lasting,
): void {
  recordAnsweredAt(evidence.answeredAt[AnswerStage.Begun], parts, at);
  if (stage === AnswerStage.Begun) return;
  recordAnsweredAt(evidence.answeredAt[AnswerStage.Lasting], parts, at);
}

function recordAnsweredAt(
  instants: TraitInstants,
  parts: readonly string[],
  at: Instant,
): void {
  for (const part of parts) {
    recordLatest(chooseInstants(instants, part), [part], at);
  }
  dropOldest(instants.parts, maxAnswered);
  dropOldest(instants.requests, maxAnswered);
}

function chooseInstants(
  {parts, requests}: TraitInstants,
  part: string,
): Map<string, Instant> {
  return isRequestTrait(part) ? requests : parts;
}

function dropOldest(instants: Map<string, Instant>, maxSize: number): void {
  for (const part of instants.keys()) {
    if (instants.size <= maxSize) return;
    instants.delete(part);
  }
}

/** Finds when an answer on a part last reached a stage, as far as known. */
export function findAnswered(
  evidence: PartEvidence,
  part: string,
  stage: AnswerStage,
): Instant | undefined {
  return chooseInstants(evidence.answeredAt[stage], part).get(part);
}

/** Counts an answer that was begun at this VM. */
export function countAnswer({answers}: PartEvidence, now: Instant): void {
  const second = Math.floor(now / millisecondsPerSecond);
  answers.set(second, (answers.get(second) ?? 0) + 1);
  const oldest = second - comparedMilliseconds / millisecondsPerSecond;
  for (const one of answers.keys()) if (one <= oldest) answers.delete(one);
}

/** Counts the answers that were begun at this VM within the time compared. */
export function countAnswers({answers}: PartEvidence, now: Instant): number {
  const oldest = (now - comparedMilliseconds) / millisecondsPerSecond;
  let count = 0;
  for (const [second, one] of answers) if (second > oldest) count += one;
  return count;
}

/** Tells whether an answer on a part reached a stage since an instant. */
export function isAnsweredSince(
  evidence: PartEvidence,
  part: string,
  since: Instant,
  stage: AnswerStage,
): boolean {
  return (findAnswered(evidence, part, stage) ?? -Infinity) >= since;
}

/** Tells whether an end accuses a part on which no answer reached a stage since. */
export function isAccused(
  evidence: PartEvidence,
  part: string,
  stage: AnswerStage,
): boolean {
  const endedAt = evidence.endedAt[stage].get(part);
  if (endedAt === undefined) return false;
  return !isAnsweredSince(evidence, part, endedAt, stage);
}
