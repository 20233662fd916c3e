import type {LayerRange} from '@zinniaspindle/shared';

/** An endpoint of a chain; members are ordered by their layers. */
export interface ChainMember {
  /** The range it holds already; undefined for an empty endpoint. */
  readonly held: LayerRange | undefined;
  /** Most layers that it may hold. */
  readonly cap: number;
  /** Whether it gets no other range, since it is loading what it is to hold. */
  readonly isFixed: boolean;
}

/**
 * Weight of the squared layer count in the cost of loads that run in parallel,
 * so that the largest determines the time: three loads of 3 layers are better
 * than one of 9.
 */
export const parallelLoadWeight = 0.25;

/** Lowest cost to cover the layers up to each index, and where the last range begins. */
interface CostRow {
  readonly costs: readonly number[];
  readonly starts: readonly number[];
}

/**
 * Divides all layers among a chain's endpoints, in their order, at the lowest
 * cost of loading layers that they don't hold yet: their number, and its square
 * by a weight for each load. Undefined if they cannot
 * hold all layers. An endpoint that is left out gets an empty range.
 */
export function planMinLoads(
  members: readonly ChainMember[],
  layerCount: number,
  quadraticWeight: number,
): LayerRange[] | undefined {
  const first: CostRow = {
    costs: [0, ...new Array<number>(layerCount).fill(Infinity)],
    starts: new Array<number>(layerCount + 1).fill(0),
  };
  const rows: CostRow[] = [];
  let last = first;
  let capBefore = 0;
  let capLeft = 0;
  for (const {cap} of members) capLeft += cap;
  for (const member of members) {
    capBefore += member.cap;
    capLeft -= member.cap;
    // Beyond these layers, the members on one side could not hold the rest.
    const least = Math.max(0, layerCount - capLeft);
    const most = Math.min(layerCount, capBefore);
    last = addMember(last, member, layerCount, least, most, quadraticWeight);
    rows.push(last);
  }
  if (last.costs[layerCount] === Infinity) return undefined;
  const ranges: LayerRange[] = [];
  let end = layerCount;
  for (const {starts} of rows.reverse()) {
    ranges.unshift({first: starts[end]!, end});
    end = starts[end]!;
  }
  return ranges;
}

function addMember(
  before: CostRow,
  member: ChainMember,
  layerCount: number,
  leastEnd: number,
  mostEnd: number,
  quadraticWeight: number,
): CostRow {
  const costs = new Array<number>(layerCount + 1).fill(Infinity);
  const starts = new Array<number>(layerCount + 1).fill(0);
  for (let end = leastEnd; end <= mostEnd; end += 1) {
    let least = before.costs[end]!;
    let start = end;
    const most = Math.min(member.cap, end);
    for (let first = end - 1; first >= end - most; first -= 1) {
      if (before.costs[first]! >= least) continue;
      if (member.isFixed && !isWithin(member.held, first, end)) continue;
      const loaded = end - first - countKept(member.held, first, end);
      const cost =
        before.costs[first]! + loaded + quadraticWeight * loaded * loaded;
      if (cost >= least) continue;
      least = cost;
      start = first;
    }
    costs[end] = least;
    starts[end] = start;
  }
  return {costs, starts};
}

function isWithin(
  held: LayerRange | undefined,
  first: number,
  end: number,
): boolean {
  return held !== undefined && first >= held.first && end <= held.end;
}

/** Counts the layers of a range that an endpoint still has to load. */
export function countLoadedLayers(
  {held}: ChainMember,
  {first, end}: LayerRange,
): number {
  return end - first - countKept(held, first, end);
}

function countKept(
  held: LayerRange | undefined,
  first: number,
  end: number,
): number {
  if (held === undefined) return 0;
  return Math.max(0, Math.min(end, held.end) - Math.max(first, held.first));
}
