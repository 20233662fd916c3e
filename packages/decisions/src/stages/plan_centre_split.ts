import {countFittingAll} from './memory.js';
import type {PlannedEndpoint, RangeOptions} from './plan_ranges.js';
import {sortInterleaved} from './sort_interleaved.js';
import type {StageModel} from './stage_types.js';

/** Data centres up to which all orders of them are compared. */
const maxPermuted = 6;

/** A division of endpoints into chains, and what it costs. */
interface Split {
  readonly chains: readonly PlannedEndpoint[][];
  /** Hops between data centres, of all chains. */
  readonly crossings: number;
  /** Layers that the smallest chain could hold. */
  readonly leastLayers: number;
}

/**
 * Divides empty endpoints of data centres that are too small for a chain into
 * chains: as many as leave the wanted memory for requests, each of few data
 * centres. Endpoints of one data centre are next to each other in a chain, since
 * each hop between data centres sends the prompt over the link that all share.
 */
export function planCentreSplit(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): readonly PlannedEndpoint[][] {
  const centres = new Map<string, PlannedEndpoint[]>();
  for (const endpoint of sortInterleaved(endpoints)) {
    const members = centres.get(endpoint.dataCentre) ?? [];
    members.push(endpoint);
    centres.set(endpoint.dataCentre, members);
  }
  let best: Split | undefined;
  for (const order of listOrders([...centres.keys()].sort())) {
    const sequence = order.flatMap(centre => centres.get(centre)!);
    for (const keepsCentres of [true, false]) {
      const split = buildSplit(sequence, keepsCentres, model, options);
      if (best === undefined || compareSplits(split, best) < 0) best = split;
    }
  }
  return best?.chains ?? [];
}

/** Lists all orders of a few names, or the given one of many. */
function listOrders(names: readonly string[]): string[][] {
  if (names.length > maxPermuted) return [[...names]];
  if (names.length === 0) return [[]];
  const orders: string[][] = [];
  for (const name of names) {
    const others = names.filter(other => other !== name);
    for (const order of listOrders(others)) orders.push([name, ...order]);
  }
  return orders;
}

/**
 * Cuts a sequence of endpoints into chains. A chain ends at the end of a data
 * centre once it has the memory of a repaired chain, or, if data centres may be
 * divided, as soon as it has the wanted memory. What is left at the end joins
 * the last chain.
 */
function buildSplit(
  sequence: readonly PlannedEndpoint[],
  keepsCentres: boolean,
  model: StageModel,
  options: RangeOptions,
): Split {
  const chains: PlannedEndpoint[][] = [];
  let chain: PlannedEndpoint[] = [];
  const hasMemory = (tokens: number) =>
    countFittingAll(chain, tokens, model) >= model.layerCount;
  for (const [index, endpoint] of sequence.entries()) {
    chain.push(endpoint);
    const isLast = sequence[index + 1]?.dataCentre !== endpoint.dataCentre;
    const isEnough = isLast
      ? hasMemory(options.repairTokens)
      : !keepsCentres && hasMemory(options.targetTokens);
    if (!isEnough) continue;
    chains.push(chain);
    chain = [];
  }
  if (chains.length === 0 || hasMemory(options.minTokens)) chains.push(chain);
  else chains.at(-1)!.push(...chain);
  const {minTokens} = options;
  let crossings = 0;
  let leastLayers = Infinity;
  for (const one of chains) {
    crossings += countCrossings(one);
    const layers = countFittingAll(one, minTokens, model);
    leastLayers = Math.min(leastLayers, layers);
  }
  return {
    chains: chains.filter(({length}) => length > 0),
    crossings,
    leastLayers,
  };
}

function countCrossings(chain: readonly PlannedEndpoint[]): number {
  return new Set(chain.map(({dataCentre}) => dataCentre)).size - 1;
}

/** Sorts the better split first: more chains, then fewer crossings. */
function compareSplits(a: Split, b: Split): number {
  return (
    b.chains.length - a.chains.length ||
    a.crossings - b.crossings ||
    b.leastLayers - a.leastLayers
  );
}
