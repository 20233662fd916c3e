import {
  countLayers,
  millisecondsPerSecond,
  type EngineState,
  type LayerRange,
} from '@zinniaspindle/shared';
import {countBatch} from '../bound/model_bound.js';
import type {ModelDemand, PlacedEndpoint} from './messages.js';

/** Total capacity of the holders of each layer, in tokens a second. */
export type LayerCoverage = Float64Array;

/** Returns what an endpoint is loading, or else what it holds. */
export function getTarget(endpoint: PlacedEndpoint): EngineState | undefined {
  return endpoint.loading ?? endpoint.held;
}

/** Computes the capacity of every layer of a model. */
export function computeCoverage(
  endpoints: readonly PlacedEndpoint[],
  demand: ModelDemand,
  tokenGapMilliseconds: number,
): LayerCoverage {
  const coverage = new Float64Array(demand.layerCount);
  for (const endpoint of endpoints) {
    const target = getTarget(endpoint);
    if (target?.model !== demand.model || endpoint.isLeaving) continue;
    const rate = computeRate(
      endpoint,
      target.layers,
      demand,
      tokenGapMilliseconds,
    );
    addToCoverage(coverage, target.layers, rate);
  }
  return coverage;
}

/** Computes an endpoint's capacity with a range, in tokens a second. */
export function computeRate(
  endpoint: PlacedEndpoint,
  layers: LayerRange,
  demand: ModelDemand,
  tokenGapMilliseconds: number,
): number {
  const {object} = endpoint;
  const scale = countLayers(layers) / countLayers(object.layers);
  const rates = {
    ...object.rates,
    stepMilliseconds: object.rates.stepMilliseconds * scale,
    stepMillisecondsPerStream: object.rates.stepMillisecondsPerStream * scale,
  };
  const placed = {...object, layers, rates};
  const streams = countBatch(placed, demand.layerCount, tokenGapMilliseconds);
  return (streams * millisecondsPerSecond) / tokenGapMilliseconds;
}

/** Adds a rate to every layer of a range; a negative rate removes capacity. */
export function addToCoverage(
  coverage: LayerCoverage,
  layers: LayerRange,
  rate: number,
): void {
  for (let layer = layers.first; layer < layers.end; layer += 1) {
    coverage[layer]! += rate;
  }
}

/** Computes the change of the served rate if a rate is added to a range. */
export function computeChange(
  coverage: LayerCoverage,
  layers: LayerRange,
  rate: number,
  wanted: number,
): number {
  let change = 0;
  for (let layer = layers.first; layer < layers.end; layer += 1) {
    const before = Math.min(coverage[layer]!, wanted);
    change += Math.min(coverage[layer]! + rate, wanted) - before;
  }
  return change / coverage.length;
}

/** Tells whether the endpoints that hold a model form a whole chain. */
export function hasWholeChain(
  endpoints: readonly PlacedEndpoint[],
  demand: ModelDemand,
): boolean {
  const ranges: LayerRange[] = [];
  for (const {held, isLeaving} of endpoints) {
    if (!isLeaving && held?.model === demand.model) ranges.push(held.layers);
  }
  ranges.sort((a, b) => a.first - b.first);
  const reached = new Set([0]);
  for (const {first, end} of ranges) if (reached.has(first)) reached.add(end);
  return reached.has(demand.layerCount);
}
