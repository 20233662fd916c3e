import {buildChains, countChains} from './build_chains.js';
import {findDisjointChains} from './find_disjoint_chains.js';
import {countMegabytes} from './memory.js';
import type {PlannedEndpoint, RangeOptions} from './plan_ranges.js';
import {planCentreSplit} from './plan_centre_split.js';
import type {StageModel} from './stage_types.js';

/** The groups of endpoints that form, or are to form, one chain each. */
export interface ChainGroups {
  /** Groups whose endpoints hold or load all layers, with their spares. */
  readonly whole: readonly PlannedEndpoint[][];
  /** Groups that lack layers and have the memory to hold them. */
  readonly broken: readonly PlannedEndpoint[][];
}

/** The chains of one data centre, and its endpoints that are in none. */
interface CentreGroups {
  readonly whole: PlannedEndpoint[][];
  readonly rest: readonly PlannedEndpoint[];
  /** Chains to build of the rest; zero if it cannot hold one. */
  readonly chainCount: number;
}

/**
 * Groups endpoints into chains. A chain stays within a data centre; data centres
 * that are too small for one share chains, with as few crossings as possible.
 */
export function buildGroups(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): ChainGroups {
  const whole: PlannedEndpoint[][] = [];
  const broken: PlannedEndpoint[][] = [];
  const shared: PlannedEndpoint[] = [];
  for (const centre of listCentres(endpoints, model, options)) {
    whole.push(...centre.whole);
    if (centre.chainCount > 0) {
      const {rest, chainCount} = centre;
      broken.push(...buildChains(rest, chainCount, model.layerCount));
    } else if (centre.whole.length > 0) {
      addSpares(centre.whole, centre.rest);
    } else {
      shared.push(...centre.rest);
    }
  }
  const crossing = findWholeChains(shared, model);
  const left = removeMembers(shared, crossing);
  const isEmpty = left.every(({held}) => held === undefined);
  const count = countChains(left, model, options);
  if (count > 0 && isEmpty) {
    broken.push(...planCentreSplit(left, model, options));
  } else if (count > 0) {
    broken.push(...buildChains(left, count, model.layerCount));
  } else {
    addSpares(crossing, left);
  }
  return {whole: [...whole, ...crossing], broken};
}

function listCentres(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): CentreGroups[] {
  const members = new Map<string, PlannedEndpoint[]>();
  // Sorted, so that every VM makes the same plan from the same reports.
  const sorted = [...endpoints].sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const endpoint of sorted) {
    const list = members.get(endpoint.dataCentre) ?? [];
    list.push(endpoint);
    members.set(endpoint.dataCentre, list);
  }
  const centres: CentreGroups[] = [];
  for (const name of [...members.keys()].sort()) {
    const local = members.get(name)!;
    const whole = findWholeChains(local, model);
    const rest = removeMembers(local, whole);
    const chainCount = countChains(rest, model, options);
    centres.push({whole, rest, chainCount});
  }
  return centres;
}

/**
 * Finds the chains that are whole by what endpoints hold or load. Chains of
 * loaded endpoints come first, so that these are not mixed with loading ones.
 */
function findWholeChains(
  endpoints: readonly PlannedEndpoint[],
  {layerCount}: StageModel,
): PlannedEndpoint[][] {
  const loaded = endpoints.filter(({isLoading}) => !isLoading);
  const first = findDisjointChains(loaded, layerCount);
  if (loaded.length === endpoints.length) return first;
  const rest = removeMembers(endpoints, first);
  const chains = [...first, ...findDisjointChains(rest, layerCount)];
  const all = findDisjointChains(endpoints, layerCount);
  return all.length > chains.length ? all : chains;
}

function removeMembers(
  endpoints: readonly PlannedEndpoint[],
  chains: readonly PlannedEndpoint[][],
): PlannedEndpoint[] {
  const members = new Set(chains.flat());
  return endpoints.filter(endpoint => !members.has(endpoint));
}

/** Adds endpoints to the chains with the least memory, as spares. */
function addSpares(
  chains: readonly PlannedEndpoint[][],
  spares: readonly PlannedEndpoint[],
): void {
  for (const spare of spares) {
    const [first, ...others] = chains;
    if (first === undefined) return;
    let least = first;
    for (const chain of others) {
      if (countMegabytes(chain) < countMegabytes(least)) least = chain;
    }
    least.push(spare);
  }
}
