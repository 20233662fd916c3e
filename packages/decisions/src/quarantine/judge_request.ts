import type {Instant} from '@zinniaspindle/shared';
import {comparedMilliseconds} from './part_evidence.js';

/** An end of an endpoint that had an attempt at some request. */
export interface RequestEnd {
  /** Time for which attempts at the request had been there, in milliseconds. */
  readonly exposureMilliseconds: number;
  /** Whether no attempt at another request broke there. */
  readonly isAlone: boolean;
}

/** What the ends that accuse a request are compared with. */
export interface RequestComparison {
  /** Attempts of the fleet within the time compared. */
  readonly attempts: number;
  /** Ends without the request within the time compared. */
  readonly otherEnds: number;
  /** Endpoints of the service. */
  readonly endpoints: number;
  /** Requests of the caller among the attempts. */
  readonly requests: number;
  /** Whether no VM remembers an answer on the request. */
  readonly isNew: boolean;
}

/** Ends that accuse a request which nobody was ever answered on. */
const minEnds = 3;
/**
 * The fewest ends that accuse a request: if no other one was at these endpoints and
 * its caller sent it again, since a further attempt at once may meet endpoints that
 * are lost together.
 */
export const minRequestEnds = 2;
const minRequestsAlone = 2;
/** The same for a request that was answered on before. */
const minEndsAnswered = 4;
/** Requests that may be expected to be accused by chance within the time compared. */
const maxByChance = 0.002;
/** Shorter stays at an endpoint count as this one. */
const minExposureMilliseconds = 20;

/**
 * Tells whether endpoints ended under one request too often for chance. Where
 * endpoints end for another reason, an attempt is at one that ends the less
 * likely, the shorter it is there and the fewer of them end.
 * @param further ends that are assumed besides, like the last of these
 */
export function isRequestAccused(
  ends: readonly RequestEnd[],
  {attempts, otherEnds, endpoints, requests, isNew}: RequestComparison,
  further: number,
): boolean {
  const last = ends.at(-1);
  if (last === undefined) return false;
  const assumed = Array<RequestEnd>(Math.max(0, further)).fill(last);
  const all = [...ends, ...assumed].slice(0, ends.length + further);
  const isAlone = requests >= minRequestsAlone && all.every(end => end.isAlone);
  const needed = isAlone ? minRequestEnds : minEnds;
  if (all.length < (isNew ? needed : minEndsAnswered)) return false;
  const endsPerMillisecond =
    (otherEnds + 1) / (comparedMilliseconds * Math.max(1, endpoints));
  let expected = attempts;
  for (const {exposureMilliseconds} of all) {
    const exposure = Math.max(minExposureMilliseconds, exposureMilliseconds);
    expected *= Math.min(1, endsPerMillisecond * exposure);
  }
  return expected <= maxByChance;
}

/** Computes how long attempts were at an endpoint when it ended, in all. */
export function computeExposure(
  sentAt: readonly Instant[],
  endedAt: Instant,
): number {
  let sum = 0;
  for (const at of sentAt) sum += Math.max(0, endedAt - at);
  return sum;
}
