import {countLayers, isWholeChain} from '@zinniaspindle/shared';
import {computeTokenCapacity} from './memory.js';
import type {
  StageModel,
  PathPart,
  StageEndpoint,
  StagePath,
} from './stage_types.js';

/** What moving a token from one endpoint to the next costs. */
export interface PathOptions {
  readonly hopMilliseconds: number;
  /**
   * Includes a share of the prompt's transfer: 25 MB over 7,900 Mbit/s are
   * 25 ms a crossing, on a pipe that all requests share (PLATFORM facts).
   */
  readonly crossingMilliseconds: number;
  /**
   * Added where ranges overlap, so that a path keeps to one chain and leaves
   * the others whole; more than a faster endpoint can save.
   */
  readonly overlapMilliseconds: number;
  /**
   * Added for each layer of another data centre, so that a path goes back to
   * its own endpoints and borrows no more than it lacks.
   */
  readonly borrowedMilliseconds: number;
  /** Parts that endpoints accept in one path. */
  readonly maxParts: number;
  /**
   * Streams at once on a path that crosses data centres: two crossings of
   * 25 MB for each of 8 streams a second are 40% of the shared pipe.
   */
  readonly maxCrossingStreams: number;
}

/** In-zone hops and the prompt's share of a crossing, from the site files. */
export const defaultPathOptions: PathOptions = {
  hopMilliseconds: 0.1,
  crossingMilliseconds: 3,
  overlapMilliseconds: 2,
  borrowedMilliseconds: 0.5,
  maxParts: 32,
  maxCrossingStreams: 24,
};

/** What a search for the paths of a data centre goes by. */
interface PathSearch {
  readonly centre: string;
  readonly model: StageModel;
  readonly options: PathOptions;
}

interface Entry {
  readonly endpoint: StageEndpoint;
  readonly layer: number;
  readonly cost: number;
  readonly previous: Entry | undefined;
}

/**
 * Finds the paths of each data centre: as many as its endpoints hold without
 * sharing one, else one that borrows the layers that it lacks. Endpoints must be fit for
 * new work.
 */
export function findPaths(
  endpoints: readonly StageEndpoint[],
  model: StageModel,
  options: PathOptions = defaultPathOptions,
): StagePath[] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  const centres = new Set(holders.map(({dataCentre}) => dataCentre));
  const paths: StagePath[] = [];
  for (const centre of [...centres].sort()) {
    const search = {centre, model, options};
    const near = findSeparatePaths(holders, search);
    const crossing = near.length > 0 ? undefined : findPath(holders, search);
    paths.push(...near, ...(crossing === undefined ? [] : [crossing]));
  }
  return paths;
}

function findSeparatePaths(
  holders: readonly StageEndpoint[],
  search: PathSearch,
): StagePath[] {
  const paths: StagePath[] = [];
  let left = holders.filter(({dataCentre}) => dataCentre === search.centre);
  for (;;) {
    const path = findPath(left, search);
    if (path === undefined) return paths;
    paths.push(path);
    const used = new Set(path.parts.map(({endpoint}) => endpoint));
    left = left.filter(endpoint => !used.has(endpoint));
  }
}

/**
 * Follows entries in ascending order of their layer. A part ends where its
 * endpoint's range ends or another range begins; ranges' ends only grow along
 * a path, so no endpoint comes twice.
 */
function findPath(
  holders: readonly StageEndpoint[],
  search: PathSearch,
): StagePath | undefined {
  const {model, options} = search;
  const layers: Map<string, Entry>[] = [];
  for (let i = 0; i <= model.layerCount; i += 1) layers.push(new Map());
  for (const endpoint of holders) {
    if (endpoint.held!.first !== 0 || !endpoint.isReachable) continue;
    const entry = {endpoint, layer: 0, cost: 0, previous: undefined};
    layers[0]!.set(endpoint.id, entry);
  }
  let best: Entry | undefined;
  for (const entries of layers) {
    for (const entry of entries.values()) {
      const {held} = entry.endpoint;
      if (held!.end === model.layerCount) {
        const end = closePart(entry, model.layerCount, search);
        if (best === undefined || end.cost < best.cost) best = end;
      }
      addNext(layers, entry, holders, search);
    }
  }
  return best === undefined ? undefined : buildPath(best, model, options);
}

function closePart(
  entry: Entry,
  layer: number,
  {centre, model, options}: PathSearch,
): Entry {
  const {endpoint} = entry;
  const step = (endpoint.pace * model.stepMilliseconds) / model.layerCount;
  const isOwn = endpoint.dataCentre === centre;
  const perLayer = step + (isOwn ? 0 : options.borrowedMilliseconds);
  const cost = entry.cost + (layer - entry.layer) * perLayer;
  return {endpoint, layer, cost, previous: entry};
}

function addNext(
  layers: readonly Map<string, Entry>[],
  entry: Entry,
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
      const isNear = next.dataCentre === entry.endpoint.dataCentre;
      const isAdjacent = held!.first === end;
      const hop =
        (isNear ? options.hopMilliseconds : options.crossingMilliseconds) +
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
  last: Entry,
  model: StageModel,
  options: PathOptions,
): StagePath | undefined {
  const parts: PathPart[] = [];
  let {layer} = last;
  for (let at = last.previous; at !== undefined; at = at.previous) {
    const layers = {first: at.layer, end: layer};
    const {endpoint} = at;
    const held = countLayers(endpoint.held!);
    const roomLayerTokens = computeTokenCapacity(endpoint, held, 1, model);
    parts.unshift({endpoint, layers, roomLayerTokens});
    layer = at.layer;
  }
  const ranges = parts.map(part => part.layers);
  if (!isWholeChain(ranges, model.layerCount)) return undefined;
  if (parts.length > options.maxParts) return undefined;
  const keys = parts.map(
    ({endpoint, layers}) => `${endpoint.id}:${layers.first}-${layers.end}`,
  );
  const {slots} = parts[0]!.endpoint;
  const {maxCrossingStreams} = options;
  return {
    key: keys.join(','),
    parts,
    passMilliseconds: last.cost,
    capacityTokens: computePathCapacity(parts),
    slots: hasCrossing(parts) ? Math.min(slots, maxCrossingStreams) : slots,
  };
}

function hasCrossing(parts: readonly PathPart[]): boolean {
  const {dataCentre} = parts[0]!.endpoint;
  return parts.some(({endpoint}) => endpoint.dataCentre !== dataCentre);
}

function computePathCapacity(parts: readonly PathPart[]): number {
  let least = Infinity;
  for (const {layers, roomLayerTokens} of parts) {
    least = Math.min(least, roomLayerTokens / countLayers(layers));
  }
  return least;
}
