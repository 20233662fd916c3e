import {countFittingAll, sortBySize} from './memory.js';
import type {PlannedEndpoint, RangeOptions} from './plan_ranges.js';
import type {StageModel} from './stage_types.js';

/** Parts that a chain has at most, below the 32 that endpoints accept. */
const maxChainParts = 28;

/**
 * Splits the endpoints of a data centre among the chains that they can hold.
 * Which chain an endpoint is part of follows from what it holds.
 */
export function buildChains(
  members: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): PlannedEndpoint[][] {
  const count = countChains(members, model, options);
  if (count === 1) return [[...members]];
  const left = new Set(sortBySize(members));
  const chains: PlannedEndpoint[][] = [];
  for (let i = 0; i < count; i += 1) {
    chains.push(takeChain(left, model.layerCount));
  }
  for (const endpoint of left) {
    const neediest = findNeediest(chains, model.layerCount);
    neediest.push(endpoint);
  }
  return chains;
}

/** Counts the chains that stand already, or that the endpoints can hold. */
function countChains(
  members: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): number {
  const least = Math.ceil(members.length / maxChainParts);
  const standing = countStanding(members, model.layerCount);
  const tokens = standing > 0 ? options.leastTokens : options.goalTokens;
  const fitting = countFittingAll(members, tokens, model);
  const most = Math.max(1, Math.floor(fitting / model.layerCount));
  if (standing === 0) return Math.max(least, most);
  return Math.min(most, Math.max(least, standing));
}

/** Counts how often the usual layer is held; a lost endpoint changes little. */
function countStanding(
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

/** Takes the endpoints of one chain, going on behind any gap. */
function takeChain(
  left: Set<PlannedEndpoint>,
  layerCount: number,
): PlannedEndpoint[] {
  const chain: PlannedEndpoint[] = [];
  let reached = 0;
  while (reached < layerCount) {
    const next = findNext(left, reached);
    if (next === undefined) break;
    left.delete(next);
    chain.push(next);
    reached = next.held!.end;
  }
  return chain;
}

/** Finds the endpoint whose range goes on where a chain ends, or soon after. */
function findNext(
  left: ReadonlySet<PlannedEndpoint>,
  reached: number,
): PlannedEndpoint | undefined {
  let best: PlannedEndpoint | undefined;
  for (const endpoint of left) {
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

/** Finds the chain that lacks most layers; of whole ones, the smallest. */
function findNeediest(
  chains: readonly PlannedEndpoint[][],
  layerCount: number,
): PlannedEndpoint[] {
  let neediest = chains[0]!;
  for (const chain of chains) {
    const more = countMissing(chain, layerCount);
    const most = countMissing(neediest, layerCount);
    const isSmaller = countMegabytes(chain) < countMegabytes(neediest);
    if (more > most || (more === most && isSmaller)) neediest = chain;
  }
  return neediest;
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

function countMegabytes(chain: readonly PlannedEndpoint[]): number {
  let total = 0;
  for (const {sizeMegabytes} of chain) total += sizeMegabytes;
  return total;
}
