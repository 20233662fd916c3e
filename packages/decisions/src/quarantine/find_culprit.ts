import type {Instant} from '@zinniaspindle/shared';
import {
  computeExposure,
  isRequestAccused,
  minRequestEnds,
  type RequestEnd,
} from './judge_request.js';
import {
  comparedMilliseconds,
  countAnswers,
  findAnswered,
  isAnsweredSince,
  type EndpointEnd,
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

/** The ends that accuse one part, one after another. */
interface Accusation {
  readonly part: string;
  readonly endpoints: string[];
  /** The same ends, for the judgement of a whole request. */
  readonly requestEnds: RequestEnd[];
  /** The requests that were sent in sequence. */
  readonly requests: Set<string>;
  readonly since: Instant;
  lastEndedAt: Instant;
  /** Parts that all accusing attempts with this one share. */
  common: readonly string[];
}

/** What the ends that accuse a part are compared with. */
export interface Comparison {
  readonly now: Instant;
  /** VMs that serve as many requests as this one, with it. */
  readonly vms: number;
  /** Endpoints of the service that requests are sent to. */
  readonly endpoints: number;
}

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
/** Endpoints that are lost together end within this time. */
const atOnceMilliseconds = 20;
/** Among several parts that are accused alike, further ends decide. */
const tieEnds = 2;

/**
 * Finds the traits that end endpoints, digests of a request or parts of prompts;
 * undefined if the evidence does not suffice. A trait is accused by an end if an
 * attempt with it broke there unanswered, and cleared by any later answer on it.
 * Digests are judged by `isRequestAccused`; of parts, ends count in sequence: each of them needs an attempt that was sent after the end before,
 * so that endpoints which are lost at once, such as a rack, count as one. Many
 * requests with a part that is often answered may be at all of them; for a part
 * that no VM remembers an answer on, ends at different instants are enough.
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
  let best: Accusation | undefined;
  let isTied = false;
  for (const accusation of listAccusations(evidence, known)) {
    const {part, requests} = accusation;
    if (requests.size < minRequests && !isRequestTrait(part)) continue;
    if (!isSufficient(evidence, accusation, comparison, 0)) continue;
    if (known.some(parts => hasAll(accusation.common, parts))) continue;
    const order =
      best === undefined ? -1 : compareAccusations(accusation, best);
    if (order > 0) continue;
    isTied = order === 0 && !isSameCulprit(accusation, best!);
    if (order < 0) best = accusation;
  }
  if (best === undefined) return undefined;
  const {common, endpoints, since} = best;
  if (isTied && !isSufficient(evidence, best, comparison, -tieEnds)) {
    return undefined;
  }
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
  for (const accusation of listAccusations(evidence, [], traits)) {
    if (isSufficient(evidence, accusation, comparison, 1)) return true;
  }
  return false;
}

/** Tells whether all of some values are among others. */
export function hasAll(
  values: readonly string[],
  wanted: readonly string[],
): boolean {
  return wanted.every(one => values.includes(one));
}

/** Lists the accusations of all parts, or only of those that are wanted. */
function listAccusations(
  evidence: PartEvidence,
  known: readonly (readonly string[])[],
  wanted?: readonly string[],
): Iterable<Accusation> {
  const accusations = new Map<string, Accusation>();
  for (const end of evidence.ends) {
    const explaining = known.filter(parts =>
      end.attempts.some(attempt => hasAll(attempt.traits, parts)),
    );
    const accused = listAccused(evidence, end);
    for (const part of accused) {
      if (wanted?.includes(part) === false) continue;
      const isExplained =
        explaining.length > 0 && !explaining.some(one => one.includes(part));
      const isNew = findAnswered(evidence, part) === undefined;
      if (!isExplained) addEnd(accusations, part, end, isNew);
    }
  }
  for (const accusation of accusations.values()) {
    const {common, since} = accusation;
    accusation.common = common.filter(
      part => !isAnsweredSince(evidence, part, since),
    );
  }
  return accusations.values();
}

function listAccused(evidence: PartEvidence, end: EndpointEnd): Set<string> {
  const accused = new Set<string>();
  for (const {traits} of end.attempts) {
    for (const part of traits) {
      if (!isAnsweredSince(evidence, part, end.endedAt)) accused.add(part);
    }
  }
  return accused;
}

function addEnd(
  accusations: Map<string, Accusation>,
  part: string,
  {endpoint, endedAt, attempts}: EndpointEnd,
  isNew: boolean,
): void {
  const accusing = attempts.filter(({traits}) => traits.includes(part));
  let accusation = accusations.get(part);
  if (accusation === undefined) {
    accusation = {
      part,
      endpoints: [],
      requestEnds: [],
      requests: new Set(),
      since: endedAt,
      lastEndedAt: -Infinity,
      common: accusing[0]!.traits,
    };
    accusations.set(part, accusation);
  }
  for (const {traits} of accusing) {
    accusation.common = accusation.common.filter(one => traits.includes(one));
  }
  const {lastEndedAt, requests} = accusation;
  const isApart = isNew && endedAt - lastEndedAt > atOnceMilliseconds;
  const later = accusing.filter(({sentAt}) => isApart || sentAt > lastEndedAt);
  if (later.length === 0) return;
  for (const {request} of later) requests.add(request);
  accusation.lastEndedAt = endedAt;
  accusation.endpoints.push(endpoint);
  const sentAt = later.map(attempt => attempt.sentAt);
  accusation.requestEnds.push({
    exposureMilliseconds: computeExposure(sentAt, endedAt),
    isAlone: accusing.length === attempts.length,
  });
}

/**
 * Tells whether the ends that accuse a part, and further ones like them, are too
 * many for chance.
 */
function isSufficient(
  evidence: PartEvidence,
  {part, endpoints, requestEnds, requests}: Accusation,
  comparison: Comparison,
  further: number,
): boolean {
  const {now, vms} = comparison;
  const ends = endpoints.length + further;
  if (ends < (isRequestTrait(part) ? minRequestEnds : minEnds)) return false;
  const answered = countAnswers(evidence, now) * vms;
  const broken = countOtherBroken(evidence, part, now);
  const attempts = answered + broken + 1;
  const isNew = findAnswered(evidence, part) === undefined;
  if (isRequestTrait(part)) {
    const otherEnds = countOtherEnds(evidence, part, now);
    const compared = {
      ...{attempts, otherEnds, isNew, requests: requests.size},
      endpoints: comparison.endpoints,
    };
    return isRequestAccused(requestEnds, compared, further);
  }
  const brokenShare = (broken + 1) / attempts;
  const limit = isNew ? maxNewByChance : maxByChance;
  return attempts * brokenShare ** ends <= limit;
}

/** Counts the attempts without a part that broke within the time compared. */
function countOtherBroken(
  {ends}: PartEvidence,
  part: string,
  now: Instant,
): number {
  let count = 0;
  for (const {endedAt, attempts} of ends) {
    if (now - endedAt > comparedMilliseconds) continue;
    for (const {traits} of attempts) if (!traits.includes(part)) count += 1;
  }
  return count;
}

/** Counts the ends without a part within the time compared. */
function countOtherEnds(
  {ends}: PartEvidence,
  part: string,
  now: Instant,
): number {
  let count = 0;
  for (const {endedAt, attempts} of ends) {
    if (now - endedAt > comparedMilliseconds) continue;
    if (attempts.every(({traits}) => !traits.includes(part))) count += 1;
  }
  return count;
}

/**
 * Most ends first, then the culprit that fewer requests match. A part that
 * several requests share goes before one of them.
 */
function compareAccusations(a: Accusation, b: Accusation): number {
  const byEnds = b.endpoints.length - a.endpoints.length;
  if (byEnds !== 0) return byEnds;
  if (isRequestTrait(a.part) !== isRequestTrait(b.part)) {
    const byRequests = b.requests.size - a.requests.size;
    if (byRequests !== 0) return byRequests;
  }
  return b.common.length - a.common.length;
}

function isSameCulprit(a: Accusation, b: Accusation): boolean {
  return a.common.length === b.common.length && hasAll(a.common, b.common);
}
