import {countFittingAll, countMegabytes, sortBySize} from './memory.js';
import type {PlannedEndpoint, RangeOptions} from './plan_ranges.js';
import type {StageModel} from './stage_types.js';

/** Most endpoints of a chain; kept below the 32 parts that endpoints accept. */
const maxChainParts = 28;

/**
 * Divides endpoints into a number of chains. Each chain is formed of endpoints
 * whose held ranges continue it; the remaining endpoints are assigned to the
 * chain that lacks most layers.
 */
export function buildChains(
  members: readonly PlannedEndpoint[],
  count: number,
  layerCount: number,
): PlannedEndpoint[][] {
  if (count === 1) return [[...members]];
  const unassigned = new Set(sortBySize(members));
  const chains: PlannedEndpoint[][] = [];
  for (let i = 0; i < count; i += 1) {
    chains.push(takeChain(unassigned, layerCount));
  }
  for (const endpoint of unassigned) {
    findMostIncomplete(chains, layerCount).push(endpoint);
  }
  return chains;
}

/**
 * Counts the chains to build of endpoints that are in none: as many as leave
 * the wanted memory for requests, or as their held ranges form already if these
 * leave the least memory. Zero if they cannot hold all layers.
 */
export function countChains(
  members: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): number {
  const {layerCount} = model;
  const countFitting = (tokens: number) =>
    Math.floor(countFittingAll(members, tokens, model) / layerCount);
  const most = countFitting(options.minTokens);
  const minChains = Math.ceil(members.length / maxChainParts);
  const existing = countExistingChains(members, layerCount);
  const wanted = Math.max(existing, countFitting(options.targetTokens));
  return Math.min(most, Math.max(1, minChains, wanted));
}

/**
 * Counts the chains that the held ranges form: the median number of holders per
 * layer, which the loss of one endpoint hardly changes.
 */
function countExistingChains(
  members: readonly PlannedEndpoint[],
  layerCount: number,
): number {
  const holders: number[] = [];
  for (let layer = 0; layer < layerCount; layer += 1) {
    let count = 0;
    for (const {held} of members) {
      if (held !== undefined && held.first <= layer && layer < held.end) {
        count += 1;
      }
    }
    holders.push(count);
  }
  holders.sort((a, b) => a - b);
  return holders[Math.floor(layerCount / 2)]!;
}

/** Removes the endpoints of one chain from the unassigned ones, skipping gaps. */
function takeChain(
  unassigned: Set<PlannedEndpoint>,
  layerCount: number,
): PlannedEndpoint[] {
  const chain: PlannedEndpoint[] = [];
  let reached = 0;
  while (reached < layerCount) {
    const next = findNext(unassigned, reached);
    if (next === undefined) break;
    unassigned.delete(next);
    chain.push(next);
    reached = next.held!.end;
  }
  return chain;
}

/** Finds the endpoint whose range starts closest to where a chain ends. */
function findNext(
  unassigned: ReadonlySet<PlannedEndpoint>,
  reached: number,
): PlannedEndpoint | undefined {
  let best: PlannedEndpoint | undefined;
  for (const endpoint of unassigned) {
    const {held} = endpoint;
    if (held === undefined || held.end <= reached) continue;
    if (best === undefined) {
      best = endpoint;
      continue;
    }
    const distance = Math.abs(held.first - reached);
    if (distance < Math.abs(best.held!.first - reached)) best = endpoint;
  }
  return best;
}

/** Finds the chain that lacks most layers; among equal ones, the one with least memory. */
function findMostIncomplete(
  chains: readonly PlannedEndpoint[][],
  layerCount: number,
): PlannedEndpoint[] {
  let chosen = chains[0]!;
  for (const chain of chains) {
    const missing = countMissing(chain, layerCount);
    const most = countMissing(chosen, layerCount);
    const isSmaller = countMegabytes(chain) < countMegabytes(chosen);
    if (missing > most || (missing === most && isSmaller)) chosen = chain;
  }
  return chosen;
}

function countMissing(
  chain: readonly PlannedEndpoint[],
  layerCount: number,
): number {
  let missing = layerCount;
  for (const {held} of chain) {
    if (held !== undefined) missing -= held.end - held.first;
  }
  return Math.max(0, missing);
}
