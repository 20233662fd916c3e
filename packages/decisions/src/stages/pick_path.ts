import {countLayers, type Random} from '@zinniaspindle/shared';
import type {StagePath} from './stage_types.js';

/** What runs at an endpoint, over all VMs. */
export interface EndpointLoad {
  /** Streams whose path begins there. */
  readonly streams: number;
  /** Tokens of requests times the layers that they pass there. */
  readonly layerTokens: number;
}

/** How a path is picked for a request. */
export interface PickOptions {
  /** Share of a path's memory up to which it takes new work. */
  readonly fullShare: number;
  /** A path this many times slower than the fastest is used only when full. */
  readonly slowRatio: number;
  /** Load that a path in another data centre may have less to be preferred. */
  readonly nearBonus: number;
  /** Width of the random part, so that VMs do not all pick alike. */
  readonly jitter: number;
}

/** The settings used where a deployment gives none. */
export const defaultPickOptions: PickOptions = {
  fullShare: 0.9,
  slowRatio: 1.6,
  nearBonus: 0.05,
  jitter: 0.1,
};

/** Computes how full a path is with one more request; 1 is full. */
export function computeFill(
  path: StagePath,
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
): number {
  const first = getLoad(path.parts[0]!.endpoint.id);
  let fill = (first.streams + 1) / Math.max(1, path.slots);
  for (const {endpoint, layers, roomLayerTokens} of path.parts) {
    const added = tokens * countLayers(layers);
    const {layerTokens} = getLoad(endpoint.id);
    fill = Math.max(fill, (layerTokens + added) / Math.max(1, roomLayerTokens));
  }
  return fill;
}

/**
 * Picks the least filled path for a request's tokens; undefined when all are
 * full. Paths that cross data centres only take what the direct ones cannot.
 */
export function pickPath(
  paths: readonly StagePath[],
  tokens: number,
  getLoad: (id: string) => EndpointLoad,
  dataCentre: string,
  random: Random,
  options: PickOptions = defaultPickOptions,
): StagePath | undefined {
  let fastest = Infinity;
  for (const {passMilliseconds} of paths) {
    fastest = Math.min(fastest, passMilliseconds);
  }
  let best: StagePath | undefined;
  let least = Infinity;
  for (const path of paths) {
    const fill = computeFill(path, tokens, getLoad);
    if (fill > options.fullShare) continue;
    const isNear = path.parts[0]!.endpoint.dataCentre === dataCentre;
    const isSlow = path.passMilliseconds > fastest * options.slowRatio;
    const rank =
      fill -
      (isNear ? options.nearBonus : 0) +
      (isSlow ? 1 : 0) +
      random() * options.jitter;
    if (rank >= least) continue;
    least = rank;
    best = path;
  }
  return best;
}
