import type {Instant} from '@zinniaspindle/shared';
import {isRequestTrait} from './request_trait.js';

/** An attempt that broke before its first event at an endpoint that ended. */
export interface EndedAttempt {
  readonly request: string;
  /** Its digests and the ids of the parts of its prompt that others may share. */
  readonly traits: readonly string[];
  readonly sentAt: Instant;
}

/** The end of one incarnation of an endpoint, as all VMs saw it. */
export interface EndpointEnd {
  /** Identifies the incarnation. */
  readonly endpoint: string;
  /** When the first of its attempts broke. */
  readonly endedAt: Instant;
  readonly attempts: readonly EndedAttempt[];
}

/**
 * What accuses and clears the parts of the prompts of one service: endpoints
 * that ended before the first event of an answer, and answers.
 */
export interface PartEvidence {
  /** In the order in which they ended. */
  ends: EndpointEnd[];
  /** When an answer on each part was last begun; the latest are kept. */
  readonly answeredAt: Map<string, Instant>;
  /** The same of whole requests, which are more and would replace the parts. */
  readonly requestsAnsweredAt: Map<string, Instant>;
  /** When an endpoint last ended under each part; the latest are kept. */
  readonly endedAt: Map<string, Instant>;
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
/** Parts of one attempt that are kept; the rest accuse nothing. */
export const maxEvidenceParts = 32;
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
    answeredAt: new Map(),
    requestsAnsweredAt: new Map(),
    endedAt: new Map(),
    answers: new Map(),
  };
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
    if (attempts.size >= maxAttempts) break;
    const traits = attempt.traits.slice(0, maxEvidenceParts);
    attempts.set(attempt.request, {...attempt, traits});
  }
  const merged = {endpoint, endedAt, attempts: [...attempts.values()]};
  evidence.ends = [...others, merged]
    .sort((a, b) => a.endedAt - b.endedAt)
    .slice(-maxEnds);
  for (const {traits} of end.attempts) {
    recordLatest(evidence.endedAt, traits, endedAt);
  }
  dropOldest(evidence.endedAt, maxEnded);
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

/** Records that an answer on some parts was begun at an instant. */
export function recordAnswered(
  evidence: PartEvidence,
  parts: readonly string[],
  at: Instant,
): void {
  for (const part of parts) {
    recordLatest(getAnsweredAt(evidence, part), [part], at);
  }
  dropOldest(evidence.answeredAt, maxAnswered);
  dropOldest(evidence.requestsAnsweredAt, maxAnswered);
}

function getAnsweredAt(
  {answeredAt, requestsAnsweredAt}: PartEvidence,
  part: string,
): Map<string, Instant> {
  return isRequestTrait(part) ? requestsAnsweredAt : answeredAt;
}

function dropOldest(instants: Map<string, Instant>, maxSize: number): void {
  for (const part of instants.keys()) {
    if (instants.size <= maxSize) return;
    instants.delete(part);
  }
}

/** Finds when an answer on a part was last begun, as far as this VM remembers. */
export function findAnswered(
  evidence: PartEvidence,
  part: string,
): Instant | undefined {
  return getAnsweredAt(evidence, part).get(part);
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

/** Tells whether an answer on a part was begun since an instant. */
export function isAnsweredSince(
  evidence: PartEvidence,
  part: string,
  since: Instant,
): boolean {
  return (findAnswered(evidence, part) ?? -Infinity) >= since;
}

/** Tells whether an end accuses a part that was not answered on since. */
export function isAccused(evidence: PartEvidence, part: string): boolean {
  const endedAt = evidence.endedAt.get(part);
  return endedAt !== undefined && !isAnsweredSince(evidence, part, endedAt);
}
