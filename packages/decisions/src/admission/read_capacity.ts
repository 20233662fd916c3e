import type {EndpointObject, Instant, ModelName} from '@zinniaspindle/shared';
import {computeModelBound, type BoundOptions} from '../bound/model_bound.js';
import {isSuspected} from '../routing/chain_search.js';
import type {FleetView} from '../routing/fleet_view.js';

/** A model that counts towards the capacity. */
export interface ModelShape {
  readonly name: ModelName;
  readonly layerCount: number;
}

const cacheMilliseconds = 250;

/**
 * Makes a function that reads the fleet's capacity: the tokens per second that
 * the usable endpoints in this VM's view can generate. The result is cached for
 * cacheMilliseconds.
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
    validUntil = now + cacheMilliseconds;
    capacity = computeCapacity(view, listModels(), options, now);
    return capacity;
  };
}

function computeCapacity(
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
