import type {LayerRange} from '@zinniaspindle/shared';

/** An endpoint with the layers it holds. */
interface Holder {
  readonly id: string;
  readonly held: LayerRange | undefined;
}

/** A residual graph in which every edge carries one unit. */
interface FlowGraph {
  /** Edge ends; edge `e ^ 1` is the reverse of edge `e`. */
  readonly ends: number[];
  readonly capacities: number[];
  readonly edgesOf: number[][];
  /** Work space of a search: the edge by which it reached each node. */
  readonly reachedBy: Int32Array;
}

const notReached = -1;
/** The source is reached by no edge. */
const noEdge = -2;

/**
 * Finds as many chains that share no endpoint as the held ranges allow, as a
 * maximum flow through the endpoints. In a chain each range continues the one
 * before it, with or without an overlap.
 */
export function findDisjointChains<Endpoint extends Holder>(
  endpoints: readonly Endpoint[],
  layerCount: number,
): Endpoint[][] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  const source = 2 * holders.length;
  const sink = source + 1;
  const graph = buildGraph(holders, layerCount, source, sink);
  while (addFlow(graph, source, sink));
  return listChains(graph, holders, source, sink);
}

/** Builds the graph: endpoint `i` is entered at `2 * i` and left at `2 * i + 1`. */
function buildGraph(
  holders: readonly Holder[],
  layerCount: number,
  source: number,
  sink: number,
): FlowGraph {
  const edgesOf = Array.from({length: sink + 1}, (): number[] => []);
  const reachedBy = new Int32Array(sink + 1);
  const graph: FlowGraph = {ends: [], capacities: [], edgesOf, reachedBy};
  const continuing = new RangeIndex(holders, layerCount);
  for (const [i, {held}] of holders.entries()) {
    addEdge(graph, 2 * i, 2 * i + 1);
    if (held!.first === 0) addEdge(graph, source, 2 * i);
    if (held!.end === layerCount) addEdge(graph, 2 * i + 1, sink);
    for (const j of continuing.listAfter(held!)) {
      addEdge(graph, 2 * i + 1, 2 * j);
    }
  }
  return graph;
}

/** Finds the ranges that continue another one, by their first layers. */
class RangeIndex {
  private readonly byFirst: number[][];

  constructor(
    private readonly holders: readonly Holder[],
    layerCount: number,
  ) {
    this.byFirst = Array.from({length: layerCount + 1}, () => []);
    for (const [i, {held}] of holders.entries()) {
      this.byFirst[held!.first]!.push(i);
    }
  }

  /** Lists the holders whose range begins within or after a range, and ends later. */
  listAfter({first, end}: LayerRange): number[] {
    const after: number[] = [];
    for (let layer = first + 1; layer <= end; layer += 1) {
      for (const i of this.byFirst[layer]!) {
        if (this.holders[i]!.held!.end > end) after.push(i);
      }
    }
    return after;
  }
}

function addEdge(
  {ends, capacities, edgesOf}: FlowGraph,
  from: number,
  to: number,
): void {
  edgesOf[from]!.push(ends.length);
  ends.push(to);
  capacities.push(1);
  edgesOf[to]!.push(ends.length);
  ends.push(from);
  capacities.push(0);
}

/** Adds one unit of flow by breadth-first search; false if there is no way. */
function addFlow(graph: FlowGraph, source: number, sink: number): boolean {
  const {ends, capacities, edgesOf, reachedBy} = graph;
  reachedBy.fill(notReached);
  reachedBy[source] = noEdge;
  const queue = [source];
  for (const node of queue) {
    for (const edge of edgesOf[node]!) {
      const end = ends[edge]!;
      if (capacities[edge] === 0 || reachedBy[end] !== notReached) continue;
      reachedBy[end] = edge;
      queue.push(end);
    }
    if (reachedBy[sink] !== notReached) break;
  }
  if (reachedBy[sink] === notReached) return false;
  for (let node = sink; node !== source;) {
    const edge = reachedBy[node]!;
    capacities[edge] = 0;
    capacities[edge ^ 1] = 1;
    node = ends[edge ^ 1]!;
  }
  return true;
}

/** Follows the edges that carry flow from the source to the sink. */
function listChains<Endpoint extends Holder>(
  {ends, capacities, edgesOf}: FlowGraph,
  holders: readonly Endpoint[],
  source: number,
  sink: number,
): Endpoint[][] {
  const findNext = (node: number) =>
    edgesOf[node]!.find(edge => edge % 2 === 0 && capacities[edge] === 0);
  const chains: Endpoint[][] = [];
  for (const start of edgesOf[source]!) {
    if (capacities[start] !== 0) continue;
    const chain: Endpoint[] = [];
    let node = ends[start]!;
    while (node !== sink) {
      if (node % 2 === 0) chain.push(holders[node / 2]!);
      node = ends[findNext(node)!]!;
    }
    chains.push(chain);
  }
  return chains;
}
