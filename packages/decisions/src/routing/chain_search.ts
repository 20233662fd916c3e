import type {Instant, Random, StageTarget} from '@zinniaspindle/shared';
import type {ChainPolicy} from './chain_policy.js';
import type {ChainQuery} from './chain_query.js';
import {countSuspectingPeers, type EndpointView} from './endpoint_view.js';
import type {FleetView} from './fleet_view.js';
import type {ModelGraph} from './layer_graph.js';
import {predictStage, type StagePrediction} from './predict_stage.js';

const neededAccusers = 2;
const reportSilenceMilliseconds = 900;

/** Ways that are followed from one cut on, at most one a data centre. */
const maxCellsPerCut = 8;

/** The cheapest way to each cell: a pair of a cut and a data centre. */
export interface ChainSearch {
  readonly costs: Float64Array;
  /** The last stage of that way. */
  readonly stages: (StagePrediction | undefined)[];
  /** The cell that the last stage was reached from. */
  readonly previous: Int32Array;
  /** The cheapest cells of each cut, ascending, found when it is first left. */
  readonly cheapest: (readonly number[] | undefined)[];
  weighed: number;
}

/** Tells whether new work may go to an endpoint. */
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

/** Searches the cheapest way to every cell. */
export function runSearch(
  view: FleetView,
  graph: ModelGraph,
  query: ChainQuery,
  now: Instant,
  random: Random,
  policy: ChainPolicy,
): ChainSearch {
  const search = createSearch(graph.cuts.length, view.links.size);
  search.costs.fill(0, 0, view.links.size);
  const keeps = new Set(query.keep.map(stage => stage.endpoint));
  for (let i = 0; i < graph.edges.length; i += 1) {
    const endpoint = graph.edges[i]!;
    const isKept = keeps.has(endpoint.object.name);
    if (!isKept && !isUsable(view, endpoint, query, now)) continue;
    if (!isKept && isOverKept(endpoint, query.keep)) continue;
    const cells = takeCheapest(search, graph.starts[i]!, view.links.size);
    if (cells.length === 0) continue;
    const unseen = policy.spread * endpoint.object.rates.slots * random();
    const stage = predictStage(endpoint, query, isKept, now, unseen);
    const cost = policy.costOf(stage, query);
    const to = graph.ends[i]! * view.links.size + endpoint.dataCentre;
    search.weighed += 1;
    if (search.costs[cells[0]!]! + cost >= search.costs[to]!) continue;
    updateCell(view, query, search, policy, {stage, cost, cells, to});
  }
  return search;
}

/**
 * Tells whether an endpoint seems to fail: its breaker is open here, or at
 * two peers, or its reports ceased while those of others go on.
 */
export function isSuspected(
  view: FleetView,
  endpoint: EndpointView,
  now: Instant,
): boolean {
  if (endpoint.failingUntil > now) return true;
  if (countSuspectingPeers(endpoint, now) >= neededAccusers) return true;
  if (endpoint.reportTime < 0) return false;
  return view.newestReport - endpoint.reportTime > reportSilenceMilliseconds;
}

function createSearch(cuts: number, size: number): ChainSearch {
  const cells = cuts * size;
  return {
    cheapest: new Array<readonly number[] | undefined>(cuts).fill(undefined),
    costs: new Float64Array(cells).fill(Infinity),
    stages: new Array<StagePrediction | undefined>(cells).fill(undefined),
    previous: new Int32Array(cells).fill(-1),
    weighed: 0,
  };
}

interface Candidate {
  readonly stage: StagePrediction;
  readonly cost: number;
  /** Cells of the cut at which the stage begins. */
  readonly cells: readonly number[];
  /** Cell of the cut and data centre at which it ends. */
  readonly to: number;
}

function updateCell(
  view: FleetView,
  query: ChainQuery,
  search: ChainSearch,
  policy: ChainPolicy,
  candidate: Candidate,
): void {
  const {stage, cost, cells, to} = candidate;
  const {size} = view.links;
  const tokens = stage.uncachedTokens;
  for (const cell of cells) {
    const before = search.costs[cell]!;
    if (before + cost >= search.costs[to]!) return;
    const hasLink = policy.countsLinks && cell >= size;
    const links = hasLink
      ? computeLinkCost(view, cell % size, stage, query.tokensLeft, tokens)
      : 0;
    const total = before + cost + links;
    if (total >= search.costs[to]!) continue;
    search.costs[to] = total;
    search.stages[to] = stage;
    search.previous[to] = cell;
  }
}

/** Computes the link milliseconds of some steps and a prefill. */
export function computeLinkCost(
  view: FleetView,
  centre: number,
  stage: StagePrediction,
  tokens: number,
  prefillTokens: number,
): number {
  const pair = centre * view.links.size + stage.endpoint.dataCentre;
  const prefill = view.links.millisecondsPerToken[pair]! * prefillTokens;
  return view.links.milliseconds[pair]! * (tokens + 1) + prefill;
}

/**
 * Takes the cheapest cells of a cut. Edges come in the order of their first
 * layer, so that every way to the cut is known when the first edge leaves it.
 */
function takeCheapest(
  search: ChainSearch,
  cut: number,
  size: number,
): readonly number[] {
  const known = search.cheapest[cut];
  if (known !== undefined) return known;
  const {costs} = search;
  const cells: number[] = [];
  for (let cell = cut * size; cell < (cut + 1) * size; cell += 1) {
    if (costs[cell]! < Infinity) cells.push(cell);
  }
  cells.sort((a, b) => costs[a]! - costs[b]!);
  const cheapest = cells.slice(0, cut === 0 ? 1 : maxCellsPerCut);
  search.cheapest[cut] = cheapest;
  return cheapest;
}

function isOverKept(
  endpoint: EndpointView,
  keep: readonly StageTarget[],
): boolean {
  const {first, end} = endpoint.object.layers;
  for (const {layers} of keep) {
    if (first < layers.end && layers.first < end) return true;
  }
  return false;
}

/** Finds the cell of the cheapest whole chain; -1 for none. */
export function findEnd(
  view: FleetView,
  graph: ModelGraph,
  query: ChainQuery,
  search: ChainSearch,
): number {
  const last = graph.cuts.indexOf(query.layerCount);
  if (last === -1) return -1;
  const wanted = view.links.indexes.get(query.dataCentre);
  const {size, milliseconds} = view.links;
  let best = -1;
  let least = Infinity;
  for (let centre = 0; centre < size; centre += 1) {
    const cell = last * size + centre;
    const away =
      wanted === undefined ? 0 : milliseconds[centre * size + wanted]!;
    const cost = search.costs[cell]! + away;
    if (cost >= least) continue;
    least = cost;
    best = cell;
  }
  return best;
}

/** Finds the last layer that usable endpoints cover without a gap. */
export function findReached(
  view: FleetView,
  graph: ModelGraph,
  search: ChainSearch,
): number {
  let reached = 0;
  for (const [index, layer] of graph.cuts.entries()) {
    const cells = takeCheapest(search, index, view.links.size);
    if (cells.length > 0) reached = layer;
  }
  return reached;
}
