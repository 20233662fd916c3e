import {
  millisecondsPerSecond,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';
import type {RankDemand} from './rank_demand.js';

/** How much capacity is left free for requests of higher ranks. */
export interface ReserveOptions {
  /** Bounds what wrong or late figures of peers can cost. */
  readonly maxShare: number;
  /** For the arrivals of this time room is left free. */
  readonly aheadMilliseconds: number;
  /** Share of its longest wait after which a request may use the room. */
  readonly exemptShare: number;
  /**
   * A level whose share served in the last second is below this multiple of the
   * overall one leaves nothing free. Each must have a quarter; the rest is a
   * margin for late news.
   */
  readonly leastServed: number;
}

/** The settings used where a deployment gives none. */
export const defaultReserveOptions: ReserveOptions = {
  maxShare: 0.2,
  aheadMilliseconds: 500,
  exemptShare: 0.5,
  leastServed: 0.4,
};

/**
 * Computes the share of the slots that requests of a level leave free for those
 * of higher levels: for the ones that wait in the fleet, and for the ones that
 * will come before enough slots come free.
 * @param demands of the whole fleet, by level
 * @param slots of all paths
 */
export function computeReservedShare(
  level: number,
  demands: readonly RankDemand[],
  slots: number,
  options: ReserveOptions = defaultReserveOptions,
): number {
  const seconds = options.aheadMilliseconds / millisecondsPerSecond;
  let waiting = 0;
  let arrivals = 0;
  let freed = 0;
  for (const [index, demand] of demands.entries()) {
    // At full load, slots are granted as fast as they come free.
    freed += demand.placed;
    if (index >= level) continue;
    waiting += demand.waiting;
    arrivals += demand.arrivals;
  }
  const wanted = waiting + Math.max(0, (arrivals - freed) * seconds);
  if (wanted === 0 || slots <= 0) return 0;
  if (isStarving(demands[level], demands, options)) return 0;
  return Math.min(options.maxShare, wanted / slots);
}

function isStarving(
  own: RankDemand | undefined,
  demands: readonly RankDemand[],
  {leastServed}: ReserveOptions,
): boolean {
  if (own === undefined || own.placed + own.refused === 0) return false;
  let placed = 0;
  let refused = 0;
  for (const demand of demands) {
    placed += demand.placed;
    refused += demand.refused;
  }
  const share = own.placed / (own.placed + own.refused);
  return share < (leastServed * placed) / (placed + refused);
}

/**
 * Tells whether a request has waited for so long that it leaves no room free, so
 * that no rank starves.
 */
export function isExempt(
  {receivedAt, waitUntil}: {receivedAt: Instant; waitUntil: Deadline},
  now: Instant,
  options: ReserveOptions = defaultReserveOptions,
): boolean {
  return now - receivedAt > (waitUntil - receivedAt) * options.exemptShare;
}
