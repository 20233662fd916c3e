import type {LayerRange} from '@zinniaspindle/shared';
import {countFittingLayers} from './memory.js';
import {
  countLoadedLayers,
  parallelLoadWeight,
  planMinLoads,
} from './plan_min_loads.js';
import type {ChainMember} from './plan_min_loads.js';
import type {PlannedEndpoint} from './plan_ranges.js';
import type {StageModel} from './stage_types.js';

/** Number of the best single relocations that are also tried in pairs. */
const pairCandidates = 5;
/** Cost of each loaded layer; breaks ties in favour of the plan that loads less. */
const loadedLayerCost = 0.05;

/** Loads at full speed from which on a chain's loads are spread. */
const minParallelLoads = 2;

/** The new ranges of a chain, and what loading them costs. */
interface Repair {
  readonly ranges: ReadonlyMap<string, LayerRange>;
  readonly cost: number;
}

/**
 * Plans new ranges for a broken chain so that it is whole as soon as possible.
 * Endpoints keep their order, except that one or two may be relocated to the
 * gap: two small endpoints load the layers of a lost large one sooner than its
 * neighbour does.
 */
export function planRepair(
  group: readonly PlannedEndpoint[],
  tokens: number,
  model: StageModel,
): ReadonlyMap<string, LayerRange> {
  const computeWith = (relocated: readonly PlannedEndpoint[]) =>
    computeRepair(group, relocated, tokens, model);
  let best = computeWith([]);
  const singles: {endpoint: PlannedEndpoint; cost: number}[] = [];
  for (const endpoint of group) {
    if (endpoint.held === undefined || endpoint.isLoading) continue;
    const repair = computeWith([endpoint]);
    singles.push({endpoint, cost: repair.cost});
    if (repair.cost < best.cost) best = repair;
  }
  singles.sort((a, b) => a.cost - b.cost);
  const pairs = listPairs(singles.slice(0, pairCandidates));
  for (const pair of pairs) {
    const repair = computeWith(pair.map(({endpoint}) => endpoint));
    if (repair.cost < best.cost) best = repair;
  }
  return best.ranges;
}

function listPairs<Item>(items: readonly Item[]): Item[][] {
  const pairs: Item[][] = [];
  for (const [index, item] of items.entries()) {
    const others = items.slice(index + 1);
    for (const other of others) pairs.push([item, other]);
  }
  return pairs;
}

function computeRepair(
  group: readonly PlannedEndpoint[],
  relocated: readonly PlannedEndpoint[],
  tokens: number,
  model: StageModel,
): Repair {
  const moved = group.map(endpoint =>
    relocated.includes(endpoint) ? {...endpoint, held: undefined} : endpoint,
  );
  const sorted = sortMembers(moved, tokens, model);
  const members: ChainMember[] = sorted.map(endpoint => {
    const {held, isLoading} = endpoint;
    const fitting = countFittingLayers(endpoint, tokens, model);
    const cap = isLoading ? model.layerCount : fitting;
    return {held, cap, isFixed: isLoading};
  });
  // Loads that cannot run beside each other gain nothing by being small.
  const isParallel = model.loadsAtOnce >= minParallelLoads;
  const weight = isParallel ? parallelLoadWeight : 0;
  const planned = planMinLoads(members, model.layerCount, weight);
  if (planned === undefined) return {ranges: new Map(), cost: Infinity};
  const ranges = new Map<string, LayerRange>();
  let total = 0;
  let most = 0;
  for (const [index, range] of planned.entries()) {
    if (range.end === range.first) continue;
    if (!members[index]!.isFixed) ranges.set(sorted[index]!.id, range);
    const loads = countLoadedLayers(members[index]!, range);
    total += loads;
    most = Math.max(most, loads);
  }
  const layers = Math.max(most, total / model.loadsAtOnce);
  return {ranges, cost: layers + total * loadedLayerCost};
}

/** Sorts holders by their layers and inserts each empty endpoint at the widest gap. */
function sortMembers(
  group: readonly PlannedEndpoint[],
  tokens: number,
  model: StageModel,
): PlannedEndpoint[] {
  const sorted = sortHolders(group);
  const empty = group.filter(({held}) => held === undefined);
  empty.sort((a, b) => (a.id < b.id ? -1 : 1));
  const filled = new Map<PlannedEndpoint | undefined, number>();
  for (const endpoint of empty) {
    const place = findWidestGap(sorted, filled, model.layerCount);
    const next = sorted[place];
    sorted.splice(place, 0, endpoint);
    const fitting = countFittingLayers(endpoint, tokens, model);
    filled.set(next, (filled.get(next) ?? 0) + fitting);
  }
  return sorted;
}

/** Sorts the endpoints that hold layers by their ranges. */
function sortHolders(endpoints: readonly PlannedEndpoint[]): PlannedEndpoint[] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  return holders.sort(
    (a, b) =>
      a.held!.first - b.held!.first ||
      a.held!.end - b.held!.end ||
      (a.id < b.id ? -1 : 1),
  );
}

/** Finds the index in a chain where most layers are missing, less those already filled. */
function findWidestGap(
  sorted: readonly PlannedEndpoint[],
  filled: ReadonlyMap<PlannedEndpoint | undefined, number>,
  layerCount: number,
): number {
  let widest = -Infinity;
  let place = sorted.length;
  let reached = 0;
  for (let i = 0; i <= sorted.length; i += 1) {
    const next = sorted[i];
    if (next !== undefined && next.held === undefined) continue;
    const width =
      (next?.held!.first ?? layerCount) - reached - (filled.get(next) ?? 0);
    if (width > widest) {
      widest = width;
      place = i;
    }
    reached = Math.max(reached, next?.held!.end ?? reached);
  }
  return place;
}
