import {millisecondsPerSecond, type Random} from '@zinniaspindle/shared';
import {
  computeRetryDelay,
  defaultWaitOptions,
  type WaitOptions,
} from '../stages/wait_times.js';
import type {RankDemand} from './rank_demand.js';

/**
 * Share of the slots that come free which callers who return can have; the rest
 * serves requests that come for the first time.
 */
const returnShare = 0.5;
/**
 * Heartbeats of large fleets are 1.6 s apart, so that callers of one rank may be
 * refused without knowledge of each other.
 */
const minSpreadMilliseconds = 2000;

/**
 * Computes the milliseconds after which a refused caller should retry: after
 * the requests of higher levels that wait or were refused, at a random time
 * while those of its own level that were refused with it can be served. Without
 * news of other VMs or of slots that came free it is as without ranks.
 * @param demands of the whole fleet, by level; undefined without news
 */
export function computeReturnTime(
  level: number,
  demands: readonly RankDemand[] | undefined,
  leftMilliseconds: number,
  random: Random,
  options: WaitOptions = defaultWaitOptions,
): number {
  let freed = 0;
  let ahead = 0;
  for (const [index, {placed, waiting, refused}] of (demands ?? []).entries()) {
    freed += placed;
    if (index < level) ahead += waiting + refused;
  }
  if (demands === undefined || freed === 0) {
    return computeRetryDelay(leftMilliseconds, random, options);
  }
  const end = Math.max(0, leftMilliseconds * options.maxRetryShare);
  const first = Math.min(options.minRetryMilliseconds, end);
  const perSecond = freed * returnShare;
  const own = demands[level]?.refused ?? 0;
  const spread = Math.max(
    minSpreadMilliseconds,
    (own / perSecond) * millisecondsPerSecond,
  );
  const clear = (ahead / perSecond) * millisecondsPerSecond;
  // Callers that would all return at the end are spread before it instead.
  const from = Math.max(first, Math.min(Math.max(first, clear), end - spread));
  const to = Math.min(end, from + spread);
  return from + random() * Math.max(0, to - from);
}
