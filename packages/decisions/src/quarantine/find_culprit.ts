import type {Instant} from '@zinniaspindle/shared';
import {
  computeCommon,
  hasAll,
  listAccusations,
  type Accusation,
  type AccusationList,
} from './accusations.js';
import {isBegunAccused} from './judge_begun.js';
import {isRequestAccused, minRequestEnds} from './judge_request.js';
import {
  AnswerStage,
  countAnswers,
  findAnswered,
  type PartEvidence,
} from './part_evidence.js';
import {isRequestTrait} from './request_trait.js';

/** Traits that end the endpoints which run requests with all of them. */
export interface Culprit {
  readonly parts: readonly string[];
  /** The ends that led to it. */
  readonly endpoints: readonly string[];
  /** When the first of them ended. */
  readonly since: Instant;
}

/** An accusation that suffices, and the parts that it accuses alike. */
interface Candidate {
  readonly accusation: Accusation;
  readonly common: readonly string[];
}

/** What the ends that accuse a part are compared with. */
export interface Comparison {
  readonly now: Instant;
  /** VMs that serve as many requests as this one, with it. */
  readonly vms: number;
  /** Endpoints of the service that requests are sent to. */
  readonly endpoints: number;
}

/**
 * What ends endpoints before any answer is found by the first stage, since begun
 * answers clear sound parts soon; what ends them after the first event by the second.
 */
const stages = [AnswerStage.Begun, AnswerStage.Lasting];
/** Ends in sequence that accuse a part. */
const minEnds = 3;
/**
 * Requests at these ends: a sound one may follow the one that ends endpoints to
 * the next of them.
 */
const minRequests = 2;
/**
 * Number of parts that so many ends in sequence may be expected to accuse by
 * chance, if they were answered on before.
 */
const maxByChance = 0.001;
/** The same for parts that no VM remembers an answer on. */
const maxNewByChance = 0.002;
/** Among several parts that are accused alike, further ends decide. */
const tieEnds = 2;

/**
 * Finds the traits that end endpoints, digests of a request or parts of prompts;
 * undefined if the evidence does not suffice. A trait is accused by an end if an
 * attempt with it broke there before its answer reached a stage, and cleared by
 * any later answer on it that does.
 *
 * Digests are judged by `isRequestAccused`; of parts, ends count in sequence: each
 * of them needs an attempt that was sent after the end before, so that endpoints
 * which are lost at once, such as a rack, count as one. Many requests with a part
 * that is often answered may be at all of them; for a part that no VM remembers an
 * answer on, ends at different instants are enough.
 *
 * Where endpoints end for another reason, attempts break at random. That an end
 * accuses a sound part several times without an answer between is the less
 * likely, the fewer of all attempts have broken.
 *
 * The culprit is all that the accusing attempts with the part share, since
 * nothing tells these apart; a request with some of it only may be sound.
 * @param known culprits that explain the ends of attempts with all their parts
 */
export function findCulprit(
  evidence: PartEvidence,
  comparison: Comparison,
  known: readonly (readonly string[])[] = [],
): Culprit | undefined {
  for (const stage of stages) {
    const list = listAccusations(evidence, stage, comparison.now, known);
    const culprit = findListed(evidence, list, comparison, known);
    if (culprit !== undefined) return culprit;
  }
  return undefined;
}

function findListed(
  evidence: PartEvidence,
  list: AccusationList,
  comparison: Comparison,
  known: readonly (readonly string[])[],
): Culprit | undefined {
  let best: Candidate | undefined;
  let isTied = false;
  for (const accusation of list.accusations) {
    const {part, requests} = accusation;
    if (requests.size < minRequests && !isRequestTrait(part)) continue;
    if (!isSufficient(evidence, list, accusation, comparison, 0)) continue;
    const common = computeCommon(evidence, list.stage, accusation);
    if (known.some(parts => hasAll(common, parts))) continue;
    const candidate = {accusation, common};
    const order = best === undefined ? -1 : compareCandidates(candidate, best);
    if (order > 0) continue;
    isTied = order === 0 && !isSameCulprit(candidate, best!);
    if (order < 0) best = candidate;
  }
  if (best === undefined) return undefined;
  const {accusation, common} = best;
  const isDecided =
    !isTied || isSufficient(evidence, list, accusation, comparison, -tieEnds);
  if (!isDecided) return undefined;
  const {endpoints, since} = accusation;
  return {parts: [...common].sort(), endpoints, since};
}

/**
 * Tells whether one further end accuses a trait of a request sufficiently. A
 * request under which an endpoint has just ended is such an end.
 */
export function isSuspect(
  evidence: PartEvidence,
  comparison: Comparison,
  traits: readonly string[],
): boolean {
  const wanted = new Set(traits);
  for (const stage of stages) {
    const list = listAccusations(evidence, stage, comparison.now, [], wanted);
    for (const accusation of list.accusations) {
      if (isSufficient(evidence, list, accusation, comparison, 1)) return true;
    }
  }
  return false;
}

/**
 * Tells whether the ends that accuse a part, and further ones like them, are too
 * many for chance.
 */
function isSufficient(
  evidence: PartEvidence,
  {stage, breaks, breaksOf}: AccusationList,
  {part, ends, requests}: Accusation,
  comparison: Comparison,
  further: number,
): boolean {
  const {now, vms, endpoints} = comparison;
  const count = ends.length + further;
  if (count < (isRequestTrait(part) ? minRequestEnds : minEnds)) return false;
  const answered = countAnswers(evidence, now) * vms;
  const own = breaksOf.get(part);
  const broken = breaks.attempts - (own?.attempts ?? 0);
  const attempts = answered + broken + 1;
  const otherEnds = breaks.ends - (own?.ends ?? 0);
  const isNew = findAnswered(evidence, part, stage) === undefined;
  const compared = {attempts, otherEnds, endpoints, isNew};
  if (stage === AnswerStage.Lasting) {
    const isNewPart = isNew && !isRequestTrait(part);
    return isBegunAccused(ends, {...compared, isNewPart}, further);
  }
  if (isRequestTrait(part)) {
    const ofCaller = {...compared, requests: requests.size};
    return isRequestAccused(ends, ofCaller, further);
  }
  const brokenShare = (broken + 1) / attempts;
  const limit = isNew ? maxNewByChance : maxByChance;
  return attempts * brokenShare ** count <= limit;
}

/**
 * Most ends first, then the culprit that fewer requests match. A part that
 * several requests share goes before one of them.
 */
function compareCandidates(a: Candidate, b: Candidate): number {
  const one = a.accusation;
  const other = b.accusation;
  const byEnds = other.endpoints.length - one.endpoints.length;
  if (byEnds !== 0) return byEnds;
  if (isRequestTrait(one.part) !== isRequestTrait(other.part)) {
    const byRequests = other.requests.size - one.requests.size;
    if (byRequests !== 0) return byRequests;
  }
  return b.common.length - a.common.length;
}

function isSameCulprit(a: Candidate, b: Candidate): boolean {
  return a.common.length === b.common.length && hasAll(a.common, b.common);
}
