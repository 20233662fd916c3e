import type {Instant} from '@zinniaspindle/shared';

/**
 * The limit that one incarnation of an endpoint has stated: the requests a second
 * that it takes from all VMs together.
 */
export interface RequestLimit {
  bornAt: Instant;
  /** Undefined if it states none. */
  perSecond: number | undefined;
  /** When this VM or a peer last heard what makes sense, a limit or none. */
  heardAt: Instant;
  /** Incarnation that stated a limit without sense. */
  faultyBornAt: Instant;
}

/** What news of a limit comes to. */
export enum LimitOutcome {
  /** A limit has begun, or has another value. */
  Changed = 'changed',
  Ended = 'ended',
  /** The value is negative or no number; what held before holds for a while. */
  Faulty = 'faulty',
  Same = 'same',
}

/** Lower limits count as this one, so that their end is heard of. */
export const minPerSecond = 0.1;
/** Values that differ by less than this share are the same. */
const sameShare = 0.02;
/** Time for which a limit outlasts values without sense that follow it. */
const faultyMilliseconds = 3000;

/** Creates the limit of an endpoint that has stated none. */
export function createRequestLimit(): RequestLimit {
  return {
    bornAt: -Infinity,
    perSecond: undefined,
    heardAt: -Infinity,
    faultyBornAt: -Infinity,
  };
}

/**
 * Records what an answer of an incarnation states of its limit. The limit holds
 * until an answer states none; one that was heard earlier changes nothing.
 */
export function recordLimit(
  limit: RequestLimit,
  bornAt: Instant,
  stated: number | undefined,
  heardAt: Instant,
): LimitOutcome {
  if (bornAt < limit.bornAt || heardAt < limit.heardAt) {
    return LimitOutcome.Same;
  }
  if (stated !== undefined && !(stated >= 0)) {
    return recordFaulty(limit, bornAt, heardAt);
  }
  const before = bornAt > limit.bornAt ? undefined : limit.perSecond;
  const perSecond =
    stated === undefined ? undefined : Math.max(minPerSecond, stated);
  limit.bornAt = bornAt;
  limit.heardAt = heardAt;
  limit.perSecond = perSecond;
  if (perSecond === undefined) {
    return before === undefined ? LimitOutcome.Same : LimitOutcome.Ended;
  }
  const isSame =
    before !== undefined && Math.abs(perSecond - before) <= before * sameShare;
  return isSame ? LimitOutcome.Same : LimitOutcome.Changed;
}

function recordFaulty(
  limit: RequestLimit,
  bornAt: Instant,
  heardAt: Instant,
): LimitOutcome {
  const isHeld = limit.perSecond !== undefined && bornAt === limit.bornAt;
  if (isHeld && heardAt - limit.heardAt > faultyMilliseconds) {
    limit.perSecond = undefined;
    return LimitOutcome.Ended;
  }
  if (bornAt <= limit.faultyBornAt) return LimitOutcome.Same;
  limit.faultyBornAt = bornAt;
  return LimitOutcome.Faulty;
}

/** Finds the limit of an incarnation; undefined if it has stated none. */
export function findLimit(
  {bornAt: statedBornAt, perSecond}: RequestLimit,
  bornAt: Instant,
): number | undefined {
  return bornAt === statedBornAt ? perSecond : undefined;
}
