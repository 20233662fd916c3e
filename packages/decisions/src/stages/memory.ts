import type {StageModel, StageEndpoint} from './stage_types.js';

/** Computes the request tokens that fit beside a number of held layers. */
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

/** Counts the layers an endpoint can hold beside a number of request tokens. */
export function countFittingLayers(
  endpoint: StageEndpoint,
  tokens: number,
  model: StageModel,
): number {
  const perLayer = model.layerMegabytes + tokens * model.tokenMegabytesPerLayer;
  const fitting = Math.floor(endpoint.sizeMegabytes / perLayer);
  return Math.min(fitting, model.layerCount);
}
