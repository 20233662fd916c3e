import {countLayers, type LayerRange} from '@zinniaspindle/shared';
import {getTarget} from './layer_coverage.js';
import type {ModelDemand, PlacedEndpoint} from './messages.js';

/**
 * Lists the ranges of a model that an endpoint could hold: those that start and
 * end at boundaries of existing ranges and fit into its memory. A model that no
 * endpoint holds in part is divided into equal parts of at most the endpoint's
 * size.
 */
export function listRanges(
  endpoints: readonly PlacedEndpoint[],
  demand: ModelDemand,
  endpoint: PlacedEndpoint,
): LayerRange[] {
  const cuts = listCuts(endpoints, demand);
  const size = Math.min(endpoint.maxLayers, demand.layerCount);
  if (cuts.length === 2) addEvenCuts(cuts, size);
  const ranges: LayerRange[] = [];
  for (const first of cuts) {
    for (const end of cuts) {
      const range = {first, end};
      if (end > first && countLayers(range) <= size) ranges.push(range);
    }
  }
  return ranges;
}

function listCuts(
  endpoints: readonly PlacedEndpoint[],
  demand: ModelDemand,
): number[] {
  const cuts = new Set([0, demand.layerCount]);
  for (const endpoint of endpoints) {
    const target = getTarget(endpoint);
    if (target?.model !== demand.model) continue;
    cuts.add(target.layers.first);
    cuts.add(target.layers.end);
  }
  return [...cuts].sort((a, b) => a - b);
}

function addEvenCuts(cuts: number[], size: number): void {
  const layerCount = cuts.at(-1)!;
  const parts = Math.ceil(layerCount / size);
  for (let part = 1; part < parts; part += 1) {
    cuts.splice(part, 0, Math.round((layerCount * part) / parts));
  }
}
