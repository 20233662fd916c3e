import {
  computeOverlap,
  countLayers,
  type LayerRange,
} from '@zinniaspindle/shared';

/** One endpoint of a chain, in the order of their layers. */
export interface FittedMember {
  /** What it holds already; undefined for an empty endpoint. */
  readonly held: LayerRange | undefined;
  /** Layers that it may hold at most. */
  readonly cap: number;
}

/**
 * Share of a load's square in its cost. Loads run side by side, so that the
 * largest binds; a few of 3 layers are better than one of 9.
 */
const squareShare = 0.25;

/** The cheapest ranges up to each layer, and where their last range begins. */
interface Step {
  readonly costs: readonly number[];
  readonly starts: readonly number[];
}

/**
 * Divides all layers among a chain's endpoints, in their order, so that they
 * load as little as they can beside what they hold. Undefined when they cannot
 * hold all layers. An endpoint that is left out gets an empty range.
 */
export function planLeastLoads(
  members: readonly FittedMember[],
  layerCount: number,
): LayerRange[] | undefined {
  const first: Step = {
    costs: listLayers(layerCount, layer => (layer === 0 ? 0 : Infinity)),
    starts: listLayers(layerCount, () => 0),
  };
  const steps: Step[] = [];
  let last = first;
  for (const member of members) {
    last = addMember(last, member, layerCount);
    steps.push(last);
  }
  if (last.costs[layerCount] === Infinity) return undefined;
  const ranges: LayerRange[] = [];
  let end = layerCount;
  for (const {starts} of steps.reverse()) {
    ranges.unshift({first: starts[end]!, end});
    end = starts[end]!;
  }
  return ranges;
}

function addMember(
  before: Step,
  member: FittedMember,
  layerCount: number,
): Step {
  const costs: number[] = [];
  const starts: number[] = [];
  for (let end = 0; end <= layerCount; end += 1) {
    let least = before.costs[end]!;
    let start = end;
    for (let size = 1; size <= Math.min(member.cap, end); size += 1) {
      const first = end - size;
      const cost = before.costs[first]! + computeCost(member, {first, end});
      if (cost >= least) continue;
      least = cost;
      start = first;
    }
    costs.push(least);
    starts.push(start);
  }
  return {costs, starts};
}

/** Counts the layers that an endpoint has to load for a range. */
export function countLoads({held}: FittedMember, range: LayerRange): number {
  const kept = held === undefined ? undefined : computeOverlap(held, range);
  return countLayers(range) - (kept === undefined ? 0 : countLayers(kept));
}

function computeCost(member: FittedMember, range: LayerRange): number {
  const loaded = countLoads(member, range);
  return loaded + squareShare * loaded * loaded;
}

function listLayers(
  layerCount: number,
  getValue: (layer: number) => number,
): number[] {
  return Array.from({length: layerCount + 1}, (_, layer) => getValue(layer));
}
