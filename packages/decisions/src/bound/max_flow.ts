/** A directed edge with a capacity. */
export interface FlowEdge {
  readonly from: number;
  readonly to: number;
  readonly capacity: number;
}

/** The maximum flow and its share on each edge. */
export interface FlowResult {
  readonly total: number;
  /** In the order of the edges. */
  readonly flows: readonly number[];
}

/** The residual graph: edge i has its forward arc at 2i and its backward arc at 2i + 1. */
interface Residual {
  readonly capacities: number[];
  readonly targets: number[];
  readonly outgoing: number[][];
}

/** Residual capacities up to this count as zero, to absorb rounding errors. */
const minFlow = 1e-9;

/**
 * Computes the maximum flow from vertex 0 to the last vertex by shortest
 * augmenting paths (Edmonds-Karp).
 */
export function computeMaxFlow(
  vertexCount: number,
  edges: readonly FlowEdge[],
): FlowResult {
  const residual = buildResidual(vertexCount, edges);
  let total = 0;
  for (;;) {
    const path = findPath(residual, vertexCount);
    if (path.length === 0) break;
    total += applyPath(residual, path);
  }
  const flows = edges.map((_, index) => residual.capacities[2 * index + 1]!);
  return {total, flows};
}

function buildResidual(
  vertexCount: number,
  edges: readonly FlowEdge[],
): Residual {
  const residual: Residual = {
    capacities: [],
    targets: [],
    outgoing: Array.from({length: vertexCount}, () => []),
  };
  for (const {from, to, capacity} of edges) {
    residual.outgoing[from]!.push(residual.targets.length);
    residual.targets.push(to);
    residual.capacities.push(capacity);
    residual.outgoing[to]!.push(residual.targets.length);
    residual.targets.push(from);
    residual.capacities.push(0);
  }
  return residual;
}

/** Finds a shortest augmenting path by breadth-first search; empty if there is none. */
function findPath(residual: Residual, vertexCount: number): number[] {
  const last = vertexCount - 1;
  const reachedBy = new Array<number>(vertexCount).fill(-1);
  const queue = [0];
  for (const vertex of queue) {
    if (vertex === last) break;
    for (const edge of residual.outgoing[vertex]!) {
      const target = residual.targets[edge]!;
      if (target === 0 || reachedBy[target] !== -1) continue;
      if (residual.capacities[edge]! <= minFlow) continue;
      reachedBy[target] = edge;
      queue.push(target);
    }
  }
  const path: number[] = [];
  let vertex = last;
  while (vertex !== 0) {
    const edge = reachedBy[vertex]!;
    if (edge === -1) return [];
    path.push(edge);
    vertex = residual.targets[edge ^ 1]!;
  }
  return path;
}

function applyPath(residual: Residual, path: readonly number[]): number {
  let flow = Infinity;
  for (const edge of path) flow = Math.min(flow, residual.capacities[edge]!);
  for (const edge of path) {
    residual.capacities[edge]! -= flow;
    residual.capacities[edge ^ 1]! += flow;
  }
  return flow;
}
