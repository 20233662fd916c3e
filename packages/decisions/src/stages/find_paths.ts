import {countLayers, isWholeChain} from '@zinniaspindle/shared';
import {findDisjointChains} from './find_disjoint_chains.js';
import {computeTokenCapacity} from './memory.js';
import type {
  StageModel,
  PathPart,
  StageEndpoint,
  StagePath,
} from './stage_types.js';

/** Costs and limits of the path search. */
export interface PathOptions {
  /** Cost of a hop within a data centre. */
  readonly hopMilliseconds: number;
  /**
   * Cost of a hop between data centres. Includes a share of the prompt's
   * transfer: 25 MB over the shared link of 7,900 Mbit/s take 25 ms a hop.
   */
  readonly crossingMilliseconds: number;
  /**
   * Added where consecutive ranges overlap, so that a path stays within one
   * chain and leaves the others whole; higher than a faster endpoint can save.
   */
  readonly overlapMilliseconds: number;
  /**
   * Added for each layer run in another data centre, so that a path uses remote
   * endpoints only for the layers that its own data centre lacks.
   */
  readonly remoteLayerMilliseconds: number;
  /** Most parts of a path that endpoints accept. */
  readonly maxParts: number;
  /**
   * Most concurrent streams on a path that crosses data centres: two crossings of
   * 25 MB for each of 8 streams a second use 40% of the shared link.
   */
  readonly maxCrossingStreams: number;
  /**
   * Most hops between data centres of a path through what is left over of broken
   * chains; each takes the link for the whole prompt.
   */
  readonly maxCrossings: number;
  /**
   * Added for each layer that another path runs on the same endpoint, whose
   * memory and passes they then share.
   */
  readonly sharedLayerMilliseconds: number;
}

/**
 * The cost of a hop within a data centre is its latency; that of a crossing
 * includes the prompt's share (site files).
 */
export const defaultPathOptions: PathOptions = {
  hopMilliseconds: 0.1,
  crossingMilliseconds: 3,
  overlapMilliseconds: 2,
  remoteLayerMilliseconds: 0.5,
  maxParts: 32,
  maxCrossingStreams: 24,
  maxCrossings: 2,
  sharedLayerMilliseconds: 0.1,
};

/** Parameters of the search for a path. */
interface PathSearch {
  /**
   * Layers run in other data centres cost more; undefined for a path that
   * belongs to none.
   */
  readonly centre: string | undefined;
  /** Endpoints of other paths, which cost more. */
  readonly used: ReadonlySet<string>;
  readonly model: StageModel;
  readonly options: PathOptions;
}

/** The cheapest known way to run an endpoint from a layer on. */
interface SearchNode {
  readonly endpoint: StageEndpoint;
  readonly layer: number;
  readonly cost: number;
  readonly previous: SearchNode | undefined;
}

/**
 * Finds the paths of the fleet. First as many that share no endpoint as there
 * are: those within a data centre, then those that cross between the endpoints
 * left over. Then one for each data centre whose endpoints are on none, which
 * takes the missing layers from the endpoints of other paths. All endpoints
 * given must accept new work.
 */
export function findPaths(
  endpoints: readonly StageEndpoint[],
  model: StageModel,
  options: PathOptions = defaultPathOptions,
): StagePath[] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  const centres = new Set(holders.map(({dataCentre}) => dataCentre));
  const used = new Set<string>();
  const search = {centre: undefined, used, model, options};
  const paths: StagePath[] = [];
  const addPaths = (found: readonly StagePath[]) => {
    for (const path of found) {
      paths.push(path);
      for (const {endpoint} of path.parts) used.add(endpoint.id);
    }
  };
  const sorted = [...centres].sort();
  for (const centre of sorted) {
    const local = holders.filter(({dataCentre}) => dataCentre === centre);
    addPaths(findSeparatePaths(local, search));
  }
  const left = holders.filter(({id}) => !used.has(id));
  const crossing = findSeparatePaths(left, search).filter(
    path => path.crossings <= options.maxCrossings,
  );
  addPaths(crossing);
  for (const centre of sorted) {
    const local = holders.filter(({dataCentre}) => dataCentre === centre);
    if (local.some(({id}) => used.has(id))) continue;
    const bridged = findPath(holders, {...search, centre});
    if (bridged !== undefined) addPaths([bridged]);
  }
  return paths;
}

/** Finds as many paths through some endpoints as share none of them. */
function findSeparatePaths(
  holders: readonly StageEndpoint[],
  search: PathSearch,
): StagePath[] {
  const paths: StagePath[] = [];
  let left = holders;
  for (;;) {
    const path = findPath(left, search);
    if (path === undefined) break;
    paths.push(path);
    const used = new Set(path.parts.map(({endpoint}) => endpoint));
    left = left.filter(endpoint => !used.has(endpoint));
  }
  const {layerCount} = search.model;
  if (paths.length >= countLeastHolders(holders, layerCount)) return paths;
  const chains = findDisjointChains(holders, layerCount);
  if (chains.length <= paths.length) return paths;
  // The cheapest paths have taken endpoints that others need.
  const separate: StagePath[] = [];
  for (const chain of chains) {
    const path = findPath(chain, search);
    if (path !== undefined) separate.push(path);
  }
  return separate.length > paths.length ? separate : paths;
}

/** Counts the holders of the layer that the fewest hold; no more paths exist. */
function countLeastHolders(
  holders: readonly StageEndpoint[],
  layerCount: number,
): number {
  const changes = new Array<number>(layerCount + 1).fill(0);
  for (const {held} of holders) {
    changes[held!.first]! += 1;
    changes[held!.end]! -= 1;
  }
  let count = 0;
  let least = Infinity;
  for (let layer = 0; layer < layerCount; layer += 1) {
    count += changes[layer]!;
    least = Math.min(least, count);
  }
  return least;
}

/** Counts the hops between data centres. */
function countCrossings(parts: readonly PathPart[]): number {
  let crossings = 0;
  for (const [index, {endpoint}] of parts.entries()) {
    const before = parts[index - 1]?.endpoint.dataCentre;
    if (before !== undefined && before !== endpoint.dataCentre) crossings += 1;
  }
  return crossings;
}

/**
 * Finds the cheapest path by dynamic programming over the layers. A part ends
 * where its endpoint's range ends or another range begins. The ends of the
 * ranges increase along a path, so that no endpoint occurs twice.
 */
function findPath(
  holders: readonly StageEndpoint[],
  search: PathSearch,
): StagePath | undefined {
  const {model} = search;
  const layers: Map<string, SearchNode>[] = [];
  for (let i = 0; i <= model.layerCount; i += 1) layers.push(new Map());
  for (const endpoint of holders) {
    const {held, isReachable, isPausing} = endpoint;
    if (held!.first !== 0 || !isReachable || isPausing === true) continue;
    const entry = {endpoint, layer: 0, cost: 0, previous: undefined};
    layers[0]!.set(endpoint.id, entry);
  }
  let best: SearchNode | undefined;
  for (const entries of layers) {
    for (const entry of entries.values()) {
      const {held} = entry.endpoint;
      if (held!.end === model.layerCount) {
        const end = closePart(entry, model.layerCount, search);
        if (best === undefined || end.cost < best.cost) best = end;
      }
      addSuccessors(layers, entry, holders, search);
    }
  }
  return best === undefined ? undefined : buildPath(best, search);
}

function closePart(
  entry: SearchNode,
  layer: number,
  {centre, used, model, options}: PathSearch,
): SearchNode {
  const {endpoint} = entry;
  const step = (endpoint.pace * model.stepMilliseconds) / model.layerCount;
  const isLocal = centre === undefined || endpoint.dataCentre === centre;
  const perLayer =
    step +
    (isLocal ? 0 : options.remoteLayerMilliseconds) +
    (used.has(endpoint.id) ? options.sharedLayerMilliseconds : 0);
  const cost = entry.cost + (layer - entry.layer) * perLayer;
  return {endpoint, layer, cost, previous: entry};
}

function addSuccessors(
  layers: readonly Map<string, SearchNode>[],
  entry: SearchNode,
  holders: readonly StageEndpoint[],
  search: PathSearch,
): void {
  const {options} = search;
  const {end} = entry.endpoint.held!;
  for (const next of holders) {
    const {held} = next;
    if (held!.end <= end || held!.first > end) continue;
    const earliest = Math.max(held!.first, entry.layer + 1);
    for (const layer of earliest === end ? [end] : [earliest, end]) {
      const isSameCentre = next.dataCentre === entry.endpoint.dataCentre;
      const isAdjacent = held!.first === end;
      const hop =
        (isSameCentre
          ? options.hopMilliseconds
          : options.crossingMilliseconds) +
        (isAdjacent ? 0 : options.overlapMilliseconds);
      const cost = closePart(entry, layer, search).cost + hop;
      const known = layers[layer]!.get(next.id);
      if (known !== undefined && known.cost <= cost) continue;
      layers[layer]!.set(next.id, {
        endpoint: next,
        layer,
        cost,
        previous: entry,
      });
    }
  }
}

function buildPath(
  last: SearchNode,
  {model, options}: PathSearch,
): StagePath | undefined {
  const parts: PathPart[] = [];
  let {layer} = last;
  for (let at = last.previous; at !== undefined; at = at.previous) {
    const layers = {first: at.layer, end: layer};
    const {endpoint} = at;
    const held = countLayers(endpoint.held!);
    const capacityLayerTokens = computeTokenCapacity(endpoint, held, 1, model);
    parts.unshift({endpoint, layers, capacityLayerTokens});
    layer = at.layer;
  }
  const ranges = parts.map(part => part.layers);
  if (!isWholeChain(ranges, model.layerCount)) return undefined;
  if (parts.length > options.maxParts) return undefined;
  const keys = parts.map(
    ({endpoint, layers}) => `${endpoint.id}:${layers.first}-${layers.end}`,
  );
  const {slots} = parts[0]!.endpoint;
  const crossings = countCrossings(parts);
  return {
    key: keys.join(','),
    parts,
    passMilliseconds: last.cost,
    capacityTokens: computePathCapacity(parts),
    slots: crossings > 0 ? Math.min(slots, options.maxCrossingStreams) : slots,
    crossings,
  };
}

function computePathCapacity(parts: readonly PathPart[]): number {
  let least = Infinity;
  for (const {layers, capacityLayerTokens} of parts) {
    least = Math.min(least, capacityLayerTokens / countLayers(layers));
  }
  return least;
}
