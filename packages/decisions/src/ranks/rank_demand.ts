import {maxLevels} from './request_rank.js';

/** The requests of one level for the paths of a service. */
export interface RankDemand {
  /** Requests that wait now. */
  readonly waiting: number;
  /** Requests that got a place in the last second. */
  readonly placed: number;
  /** Requests that came in the last second. */
  readonly arrivals: number;
  /** Requests refused for want of a place in the last second. */
  readonly refused: number;
}

/** The demand of one VM for one service and level, as sent to peers. */
export type DemandRow = readonly [
  /** Hash of the service's name, the same on all VMs. */
  serviceHash: number,
  level: number,
  waiting: number,
  placed: number,
  arrivals: number,
  refused: number,
];

/** The demand of a level of which nothing is asked. */
export const noDemand: RankDemand = {
  waiting: 0,
  placed: 0,
  arrivals: 0,
  refused: 0,
};

/** Rows of one VM; further ones are left out. */
export const maxDemandRows = 8;
/** Larger counts come from no VM. */
export const maxDemandCount = 10_000;
const maxHash = 2 ** 32 - 1;

/**
 * A VM may report this many times the waiting requests of the next one, and a
 * few more; the rest does not count. One VM with false figures could otherwise
 * have all others refuse every request that has to wait.
 */
const maxWaitingRatio = 2;
const freeWaiting = 10;

/** Reads the rows of a peer; malformed and repeated ones are left out. */
export function parseDemandRows(rows: unknown): DemandRow[] {
  if (!Array.isArray(rows)) return [];
  const parsed: DemandRow[] = [];
  const known = new Set<string>();
  for (const row of (rows as unknown[]).slice(0, maxDemandRows)) {
    if (!Array.isArray(row)) continue;
    const [hash, level, ...counts] = row as unknown[];
    if (!isWithin(hash, maxHash) || !isWithin(level, maxLevels - 1)) continue;
    const [waiting, placed, arrivals, refused = 0] = counts;
    if (!isWithin(waiting, maxDemandCount)) continue;
    if (!isWithin(placed, maxDemandCount)) continue;
    if (!isWithin(arrivals, maxDemandCount)) continue;
    if (!isWithin(refused, maxDemandCount)) continue;
    const key = `${hash} ${level}`;
    if (known.has(key)) continue;
    known.add(key);
    parsed.push([hash, level, waiting, placed, arrivals, refused]);
  }
  return parsed;
}

/** Sums the demand of a level over VMs. */
export function mergeDemands(demands: Iterable<RankDemand>): RankDemand {
  const sum = {...noDemand} as {-readonly [Key in keyof RankDemand]: number};
  let most = 0;
  let next = 0;
  for (const {waiting, placed, arrivals, refused} of demands) {
    sum.waiting += waiting;
    sum.placed += placed;
    sum.arrivals += arrivals;
    sum.refused += refused;
    next = Math.max(next, Math.min(most, waiting));
    most = Math.max(most, waiting);
  }
  sum.waiting -= Math.max(0, most - maxWaitingRatio * next - freeWaiting);
  return sum;
}

/** What goes before a request of a level, and how fast slots are granted. */
export interface DemandSummary {
  /** Waiting requests of higher levels. */
  readonly higher: number;
  /** Waiting requests of its own level. */
  readonly equal: number;
  /** Requests of all levels that got a place in the last second. */
  readonly placed: number;
}

/** Describes the demand of the fleet as seen by a request of a level. */
export function describeDemands(
  demands: readonly RankDemand[],
  level: number,
): DemandSummary {
  let higher = 0;
  let placed = 0;
  for (const [index, demand] of demands.entries()) {
    if (index < level) higher += demand.waiting;
    placed += demand.placed;
  }
  return {higher, equal: demands[level]?.waiting ?? 0, placed};
}

function isWithin(value: unknown, max: number): value is number {
  return (
    typeof value === 'number' &&
    Number.isSafeInteger(value) &&
    value >= 0 &&
    value <= max
  );
}
