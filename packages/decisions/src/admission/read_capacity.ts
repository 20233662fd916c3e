import type {EndpointObject, Instant, ModelName} from '@zinniaspindle/shared';
import {computeModelBound, type BoundOptions} from '../bound/model_bound.js';
import {isSuspected} from '../routing/chain_search.js';
import type {FleetView} from '../routing/fleet_view.js';

/** A model whose endpoints count. */
export interface ModelShape {
  readonly name: ModelName;
  readonly layerCount: number;
}

const validMilliseconds = 250;

/**
 * Makes a reader of the tokens a second that the endpoints which a VM believes
 * usable can generate; computed anew at most four times a second.
 */
export function makeReadCapacity(
  view: FleetView,
  listModels: () => Iterable<ModelShape>,
  options: BoundOptions,
): (now: Instant) => number {
  let capacity = 0;
  let validUntil: Instant = -1;
  return now => {
    if (now < validUntil) return capacity;
    validUntil = now + validMilliseconds;
    capacity = computeCapacityNow(view, listModels(), options, now);
    return capacity;
  };
}

function computeCapacityNow(
  view: FleetView,
  models: Iterable<ModelShape>,
  options: BoundOptions,
  now: Instant,
): number {
  const usable: EndpointObject[] = [];
  for (const endpoint of view.endpoints.values()) {
    if (endpoint.leaving || isSuspected(view, endpoint, now)) continue;
    usable.push(endpoint.object);
  }
  let total = 0;
  for (const {name, layerCount} of models) {
    const bound = computeModelBound(usable, name, layerCount, options);
    total += bound.tokensPerSecond;
  }
  return total;
}
