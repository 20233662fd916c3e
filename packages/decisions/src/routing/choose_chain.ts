import {
  formatLayerRange,
  type Instant,
  type Random,
  type StageTarget,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {buildPlan} from './build_plan.js';
import {predictedTimePolicy, type ChainPolicy} from './chain_policy.js';
import type {ChainPlan, ChainQuery} from './chain_query.js';
import {findBestEnd, findCoveredLayers, runSearch} from './chain_search.js';
import {
  makeNoChainError,
  makeUnknownModelError,
  type RoutingError,
} from './errors.js';
import type {FleetView} from './fleet_view.js';

/**
 * Chooses the cheapest chain in the layer graph. Every chain is contiguous from
 * the first layer to the last and has no excluded, leaving or suspected
 * endpoints, except for kept stages. Fails with UnknownModel or NoChain.
 */
export function chooseChain(
  view: FleetView,
  query: ChainQuery,
  now: Instant,
  random: Random,
  policy: ChainPolicy = predictedTimePolicy,
): Result<ChainPlan, RoutingError> {
  const graph = view.models.get(query.model);
  if (graph === undefined) {
    return Result.err(makeUnknownModelError(query.model));
  }
  const search = runSearch(view, graph, query, now, random, policy);
  const end = findBestEnd(view, graph, query, search);
  if (end === -1) {
    const coveredLayers = findCoveredLayers(view, graph, search);
    return Result.err(
      makeNoChainError(query.model, coveredLayers, query.layerCount),
    );
  }
  return Result.ok(buildPlan(view, query, search, end, now));
}

/** Formats a chain in one line, for log events. */
export function describeChain(stages: readonly StageTarget[]): string {
  return stages
    .map(stage => `${stage.endpoint}${formatLayerRange(stage.layers)}`)
    .join(' ');
}
