import {countLayers, type Random} from '@zinniaspindle/shared';
import type {StagePath} from './stage_types.js';

/** The load of an endpoint from all VMs. */
export interface EndpointLoad {
  /** Streams whose path begins there. */
  readonly streams: number;
  /** Sum over requests of their tokens times the layers they use there. */
  readonly layerTokens: number;
}

/** How a path is picked for a request. */
export interface PickOptions {
  /** Fill up to which a path takes new requests. */
  readonly fullShare: number;
  /** The same for large requests, which would find no room among small ones. */
  readonly largeFullShare: number;
  /** Requests of at least this multiple of the usual tokens are large. */
  readonly largeRatio: number;
  /** A path this many times slower than the fastest is used only if the others are full. */
  readonly slowRatio: number;
  /** Fill by which a path of another data centre must be lower to be preferred. */
  readonly localBonus: number;
  /** Width of the random term that keeps VMs from all picking the same path. */
  readonly jitter: number;
  /** Share of the capacity that the request leaves free for higher ranks. */
  readonly reservedShare?: number;
}

/** The settings used where a deployment gives none. */
export const defaultPickOptions: PickOptions = {
  fullShare: 0.9,
  largeFullShare: 0.97,
  largeRatio: 1.5,
  slowRatio: 1.6,
  localBonus: 0.05,
  jitter: 0.1,
};

/**
 * Computes the fill of a path with one more request: the highest share of its
 * slots or of an endpoint's memory in use; 1 is full.
 */
export function computeFill(
  path: StagePath,
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
): number {
  const first = getLoad(path.parts[0]!.endpoint.id);
  let fill = (first.streams + 1) / Math.max(1, path.slots);
  for (const {endpoint, layers, capacityLayerTokens} of path.parts) {
    const added = tokens * countLayers(layers);
    const {layerTokens} = getLoad(endpoint.id);
    fill = Math.max(
      fill,
      (layerTokens + added) / Math.max(1, capacityLayerTokens),
    );
  }
  return fill;
}

/**
 * Picks the path with the lowest fill for a request of some tokens; undefined
 * if all are full. Much slower paths, such as those that cross data centres,
 * are used only if the others are full.
 */
export function pickPath(
  paths: readonly StagePath[],
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
  dataCentre: string,
  random: Random,
  usualTokens = Infinity,
  options: PickOptions = defaultPickOptions,
): StagePath | undefined {
  const fullShare = computeFullShare(tokens, usualTokens, options);
  const slowFrom = computeSlowest(paths, options);
  let best: StagePath | undefined;
  let least = Infinity;
  for (const path of paths) {
    const fill = computeFill(path, tokens, getLoad);
    if (fill > fullShare) continue;
    const isLocal = path.parts[0]!.endpoint.dataCentre === dataCentre;
    const isSlow = path.passMilliseconds > slowFrom;
    const rank =
      fill -
      (isLocal ? options.localBonus : 0) +
      (isSlow ? 1 : 0) +
      random() * options.jitter;
    if (rank >= least) continue;
    least = rank;
    best = path;
  }
  return best;
}

/**
 * Picks a path at random, by the room that each has, for a stream that leaves
 * another path. When an endpoint falls silent, all VMs move their streams at once
 * and by the same loads: the path with the lowest fill would get most of them.
 * Much slower paths are used only if the others are full.
 */
export function pickSpreadPath(
  paths: readonly StagePath[],
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
  dataCentre: string,
  random: Random,
  usualTokens = Infinity,
  options: PickOptions = defaultPickOptions,
): StagePath | undefined {
  const fullShare = computeFullShare(tokens, usualTokens, options);
  const slowFrom = computeSlowest(paths, options);
  const pick = (candidates: readonly StagePath[]): StagePath | undefined => {
    let room = 0;
    let picked: StagePath | undefined;
    for (const path of candidates) {
      const free = fullShare - computeFill(path, tokens, getLoad);
      if (free < 0) continue;
      const isLocal = path.parts[0]!.endpoint.dataCentre === dataCentre;
      const weight = free + (isLocal ? options.localBonus : 0);
      room += weight;
      if (picked === undefined || random() * room < weight) picked = path;
    }
    return picked;
  };
  const fast = paths.filter(path => path.passMilliseconds <= slowFrom);
  return pick(fast) ?? pick(paths);
}

function computeFullShare(
  tokens: number,
  usualTokens: number,
  {largeRatio, largeFullShare, fullShare, reservedShare = 0}: PickOptions,
): number {
  const share = tokens >= usualTokens * largeRatio ? largeFullShare : fullShare;
  return share - reservedShare;
}

/** Computes the time of a pass, in milliseconds, above which a path is much slower than others. */
function computeSlowest(
  paths: readonly StagePath[],
  {slowRatio}: PickOptions,
): number {
  let fastest = Infinity;
  for (const {passMilliseconds} of paths) {
    fastest = Math.min(fastest, passMilliseconds);
  }
  return fastest * slowRatio;
}
