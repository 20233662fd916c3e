import type {Instant} from '@zinniaspindle/shared';

/**
 * A VM's share of the link between data centres. Each crossing sends the prompt,
 * some 25 MB, over the one link that all data centres share, one after the
 * other. When more streams cross than it carries, all of them wait for their
 * first event until they are given up, and none is served.
 */
export interface CrossingBudget {
  /** Crossings that may start now. */
  available: number;
  updatedAt: Instant;
}

/** What the link carries, and who uses it. */
export interface CrossingShare {
  readonly crossingsPerSecond: number;
  readonly vms: number;
  /** Place of this VM among the live ones. */
  readonly rank: number;
}

/** Share of the link that prompts may use. */
const usableShare = 0.85;
/**
 * All VMs together may start as many crossings at once, after a pause, as the
 * link carries in this time. In a large fleet this is less than one for each VM:
 * only the first ones use the link then.
 */
const burstSeconds = 0.5;
const millisecondsPerSecond = 1000;

/** Creates a budget from which one stream may cross. */
export function createCrossingBudget(now: Instant): CrossingBudget {
  return {available: 1, updatedAt: now};
}

/** Counts the crossings that this VM may start now. */
export function countAvailableCrossings(
  budget: CrossingBudget,
  {crossingsPerSecond, vms, rank}: CrossingShare,
  now: Instant,
): number {
  const burst = Math.max(1, Math.floor(crossingsPerSecond * burstSeconds));
  const users = Math.min(burst, Math.max(1, vms));
  const perSecond = (crossingsPerSecond * usableShare) / users;
  const seconds = (now - budget.updatedAt) / millisecondsPerSecond;
  budget.available = Math.min(1, budget.available + seconds * perSecond);
  budget.updatedAt = now;
  return rank < users ? budget.available : 0;
}

/**
 * Takes the crossings of a stream. The budget may fall below zero, so that a
 * path that crosses more often than it holds is used, but less often.
 */
export function takeCrossings(budget: CrossingBudget, crossings: number): void {
  budget.available -= crossings;
}

/** Tells whether a path may take a stream, given the crossings available. */
export function canCross(crossings: number, available: number): boolean {
  return crossings === 0 || available >= 1;
}
