/** The place of a request among those that compete for paths. */
export interface RequestRank {
  /** That of the client account, else that of the route; 0 comes first. */
  readonly priority: number;
  /** Decides among requests of one priority; the priority itself if left out. */
  readonly routePriority?: number | undefined;
}

/** A streaming route or a client account, as far as ranks depend on it. */
interface Prioritized {
  readonly priority: number | undefined;
}

/**
 * Ranks that are told apart in messages and metrics. Those above the eighth
 * share the last level, so that the size of a heartbeat doesn't depend on the
 * number of accounts.
 */
export const maxLevels = 8;

/** Urgency of new streams of the first and of the last level. */
const firstUrgency = 2;
const lastUrgency = 8;

/** Computes the rank of a request from its account and its route. */
export function computeRequestRank(
  account: Prioritized | undefined,
  route: Prioritized,
): RequestRank {
  const routePriority = toPriority(route.priority) ?? Number.MAX_SAFE_INTEGER;
  const priority = toPriority(account?.priority) ?? routePriority;
  return {priority, routePriority};
}

/** Compares two ranks; negative if the first one comes first. */
export function compareRanks(a: RequestRank, b: RequestRank): number {
  const {routePriority: first = a.priority} = a;
  const {routePriority: second = b.priority} = b;
  return a.priority - b.priority || first - second;
}

/**
 * Lists the first distinct ranks, at most `maxLevels`, that requests of these
 * routes can have: those of callers without an account priority, and those of
 * each account on each route.
 */
export function listRanks(
  routes: Iterable<Prioritized>,
  accounts: Iterable<Prioritized>,
): RequestRank[] {
  const routePriorities = listFirst(routes);
  const ranks = routePriorities.map(priority =>
    computeRequestRank(undefined, {priority}),
  );
  // Of each account priority, only the first route priorities can be listed.
  for (const priority of listFirst(accounts)) {
    for (const routePriority of routePriorities) {
      ranks.push({priority, routePriority});
    }
  }
  ranks.sort(compareRanks);
  const distinct: RequestRank[] = [];
  for (const rank of ranks) {
    const last = distinct.at(-1);
    if (last === undefined || compareRanks(last, rank) < 0) distinct.push(rank);
  }
  return distinct.slice(0, maxLevels);
}

/** Finds the level of a rank: the last one that isn't behind it, from 0. */
export function findLevel(
  ranks: readonly RequestRank[],
  rank: RequestRank,
): number {
  let level = 0;
  for (const [index, listed] of ranks.entries()) {
    if (compareRanks(listed, rank) > 0) break;
    level = index;
  }
  return level;
}

/**
 * Computes the urgency with which new streams of a level are sent, from 2 to 8;
 * undefined if there is one level. The levels are spread evenly: endpoints take
 * streams without an urgency, which earlier builds send, as of the middle one.
 */
export function computeUrgency(
  level: number,
  levels: number,
): number | undefined {
  if (levels <= 1) return undefined;
  const share = Math.min(1, Math.max(0, level / (levels - 1)));
  return firstUrgency + Math.round(share * (lastUrgency - firstUrgency));
}

function listFirst(sources: Iterable<Prioritized>): number[] {
  const priorities = new Set<number>();
  for (const {priority} of sources) {
    const found = toPriority(priority);
    if (found !== undefined) priorities.add(found);
  }
  return [...priorities].sort((a, b) => a - b).slice(0, maxLevels);
}

/** Differences of larger numbers are not exact; NaN has no order at all. */
function toPriority(priority: number | undefined): number | undefined {
  if (priority === undefined || Number.isNaN(priority)) return undefined;
  const {MAX_SAFE_INTEGER: max} = Number;
  return Math.max(-max, Math.min(max, priority));
}
