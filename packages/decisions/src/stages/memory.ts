import type {StageModel, StageEndpoint} from './stage_types.js';

/**
 * Computes how many request tokens fit into the memory that held layers leave,
 * if each token occupies the used layers.
 */
export function computeTokenCapacity(
  endpoint: StageEndpoint,
  heldLayers: number,
  usedLayers: number,
  model: StageModel,
): number {
  if (usedLayers === 0) return Infinity;
  const free = endpoint.sizeMegabytes - heldLayers * model.layerMegabytes;
  return Math.max(0, free / (model.tokenMegabytesPerLayer * usedLayers));
}

/** Counts the layers an endpoint can hold together with the cache of request tokens. */
export function countFittingLayers(
  endpoint: StageEndpoint,
  tokens: number,
  model: StageModel,
): number {
  const perLayer = model.layerMegabytes + tokens * model.tokenMegabytesPerLayer;
  const fitting = Math.floor(endpoint.sizeMegabytes / perLayer);
  return Math.min(fitting, model.layerCount);
}

/** Counts the layers that endpoints can hold together. */
export function countFittingAll(
  endpoints: readonly StageEndpoint[],
  tokens: number,
  model: StageModel,
): number {
  let total = 0;
  for (const one of endpoints) total += countFittingLayers(one, tokens, model);
  return total;
}

/** Counts the accelerator memory of endpoints. */
export function countMegabytes(endpoints: readonly StageEndpoint[]): number {
  let total = 0;
  for (const {sizeMegabytes} of endpoints) total += sizeMegabytes;
  return total;
}

/** Sorts endpoints by descending memory. */
export function sortBySize<Endpoint extends StageEndpoint>(
  endpoints: readonly Endpoint[],
): Endpoint[] {
  return [...endpoints].sort(
    (a, b) => b.sizeMegabytes - a.sizeMegabytes || (a.id < b.id ? -1 : 1),
  );
}
