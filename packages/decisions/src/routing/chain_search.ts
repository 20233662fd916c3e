import type {Instant, Random, StageTarget} from '@zinniaspindle/shared';
import type {ChainPolicy} from './chain_policy.js';
import type {ChainQuery} from './chain_query.js';
import {countSuspectingPeers, type EndpointView} from './endpoint_view.js';
import type {FleetView} from './fleet_view.js';
import type {ModelGraph} from './layer_graph.js';
import {predictStage, type StagePrediction} from './predict_stage.js';

/** Number of suspecting peers from which an endpoint counts as suspected. */
const suspicionQuorum = 2;

/** Lag behind the fleet's newest report from which an endpoint is suspected. */
const maxReportLagMilliseconds = 900;

/** Number of paths extended from one boundary, at most one per data centre. */
const maxNodesPerBoundary = 8;

/** The cheapest path to each node: a layer boundary in one data centre. */
export interface ChainSearch {
  readonly costs: Float64Array;
  /** The last stage of each path. */
  readonly stages: (StagePrediction | undefined)[];
  /** The node at which the last stage of each path starts. */
  readonly previous: Int32Array;
  /** The cheapest nodes of each boundary by ascending cost; computed lazily. */
  readonly cheapest: (readonly number[] | undefined)[];
  /** Number of endpoints evaluated; logged under this name. */
  weighed: number;
}

/** Tells whether the chain of a query may use an endpoint. */
export function isUsable(
  view: FleetView,
  endpoint: EndpointView,
  query: ChainQuery,
  now: Instant,
): boolean {
  if (endpoint.leaving || isSuspected(view, endpoint, now)) return false;
  if (query.excluded.has(endpoint.object.name)) return false;
  return query.isAllowed(endpoint.object);
}

/** Searches the cheapest path to every node of the layer graph. */
export function runSearch(
  view: FleetView,
  graph: ModelGraph,
  query: ChainQuery,
  now: Instant,
  random: Random,
  policy: ChainPolicy,
): ChainSearch {
  const search = createSearch(graph.boundaries.length, view.links.size);
  search.costs.fill(0, 0, view.links.size);
  const keptEndpoints = new Set(query.keep.map(stage => stage.endpoint));
  for (let i = 0; i < graph.edges.length; i += 1) {
    const endpoint = graph.edges[i]!;
    const isKept = keptEndpoints.has(endpoint.object.name);
    if (!isKept && !isUsable(view, endpoint, query, now)) continue;
    if (!isKept && isOverlappingKept(endpoint, query.keep)) continue;
    const nodes = takeCheapest(search, graph.startIndexes[i]!, view.links.size);
    if (nodes.length === 0) continue;
    const jitterStreams =
      policy.loadJitter * endpoint.object.rates.slots * random();
    const stage = predictStage(endpoint, query, isKept, now, jitterStreams);
    const cost = policy.costOf(stage, query);
    const to = graph.endIndexes[i]! * view.links.size + endpoint.dataCentre;
    search.weighed += 1;
    if (search.costs[nodes[0]!]! + cost >= search.costs[to]!) continue;
    updateNode(view, query, search, policy, {stage, cost, nodes, to});
  }
  return search;
}

/**
 * Tells whether an endpoint is suspected to fail: its circuit breaker is open
 * here or at two peers, or its reports stopped while those of others continue.
 */
export function isSuspected(
  view: FleetView,
  endpoint: EndpointView,
  now: Instant,
): boolean {
  if (endpoint.failingUntil > now) return true;
  if (countSuspectingPeers(endpoint, now) >= suspicionQuorum) return true;
  if (endpoint.reportTime < 0) return false;
  return view.newestReport - endpoint.reportTime > maxReportLagMilliseconds;
}

function createSearch(boundaryCount: number, size: number): ChainSearch {
  const nodeCount = boundaryCount * size;
  return {
    cheapest: new Array<readonly number[] | undefined>(boundaryCount).fill(
      undefined,
    ),
    costs: new Float64Array(nodeCount).fill(Infinity),
    stages: new Array<StagePrediction | undefined>(nodeCount).fill(undefined),
    previous: new Int32Array(nodeCount).fill(-1),
    weighed: 0,
  };
}

/** An edge that may improve the path to its end node. */
interface Candidate {
  readonly stage: StagePrediction;
  readonly cost: number;
  /** Nodes of the boundary at which the stage starts, by ascending cost. */
  readonly nodes: readonly number[];
  /** Node at which the stage ends. */
  readonly to: number;
}

function updateNode(
  view: FleetView,
  query: ChainQuery,
  search: ChainSearch,
  policy: ChainPolicy,
  candidate: Candidate,
): void {
  const {stage, cost, nodes, to} = candidate;
  const {size} = view.links;
  const tokens = stage.uncachedTokens;
  for (const node of nodes) {
    const before = search.costs[node]!;
    if (before + cost >= search.costs[to]!) return;
    const hasLink = policy.includesLinks && node >= size;
    const links = hasLink
      ? computeLinkCost(view, node % size, stage, query.tokensLeft, tokens)
      : 0;
    const total = before + cost + links;
    if (total >= search.costs[to]!) continue;
    search.costs[to] = total;
    search.stages[to] = stage;
    search.previous[to] = node;
  }
}

/** Computes the link time of a prefill and of the decode steps, in ms. */
export function computeLinkCost(
  view: FleetView,
  centreIndex: number,
  stage: StagePrediction,
  tokens: number,
  prefillTokens: number,
): number {
  const linkIndex = centreIndex * view.links.size + stage.endpoint.dataCentre;
  const prefill =
    view.links.prefillMillisecondsPerToken[linkIndex]! * prefillTokens;
  return view.links.hopMilliseconds[linkIndex]! * (tokens + 1) + prefill;
}

/**
 * Returns the cheapest nodes of a boundary. Edges are visited in the order of
 * their first layer, so all paths to a boundary are known when the first edge
 * that starts there is visited.
 */
function takeCheapest(
  search: ChainSearch,
  boundary: number,
  size: number,
): readonly number[] {
  const known = search.cheapest[boundary];
  if (known !== undefined) return known;
  const {costs} = search;
  const nodes: number[] = [];
  for (let node = boundary * size; node < (boundary + 1) * size; node += 1) {
    if (costs[node]! < Infinity) nodes.push(node);
  }
  nodes.sort((a, b) => costs[a]! - costs[b]!);
  const cheapest = nodes.slice(0, boundary === 0 ? 1 : maxNodesPerBoundary);
  search.cheapest[boundary] = cheapest;
  return cheapest;
}

function isOverlappingKept(
  endpoint: EndpointView,
  keep: readonly StageTarget[],
): boolean {
  const {first, end} = endpoint.object.layers;
  for (const {layers} of keep) {
    if (first < layers.end && layers.first < end) return true;
  }
  return false;
}

/** Finds the end node of the cheapest complete chain; -1 if there is none. */
export function findBestEnd(
  view: FleetView,
  graph: ModelGraph,
  query: ChainQuery,
  search: ChainSearch,
): number {
  const lastBoundary = graph.boundaries.indexOf(query.layerCount);
  if (lastBoundary === -1) return -1;
  const target = view.links.indexes.get(query.dataCentre);
  const {size, hopMilliseconds} = view.links;
  let bestNode = -1;
  let leastCost = Infinity;
  for (let centreIndex = 0; centreIndex < size; centreIndex += 1) {
    const node = lastBoundary * size + centreIndex;
    const returnMilliseconds =
      target === undefined ? 0 : hopMilliseconds[centreIndex * size + target]!;
    const cost = search.costs[node]! + returnMilliseconds;
    if (cost >= leastCost) continue;
    leastCost = cost;
    bestNode = node;
  }
  return bestNode;
}

/** Finds the end of the layer range from layer 0 that usable endpoints cover. */
export function findCoveredLayers(
  view: FleetView,
  graph: ModelGraph,
  search: ChainSearch,
): number {
  let coveredLayers = 0;
  for (const [index, layer] of graph.boundaries.entries()) {
    const nodes = takeCheapest(search, index, view.links.size);
    if (nodes.length > 0) coveredLayers = layer;
  }
  return coveredLayers;
}
