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
import {findEnd, findReached, runSearch} from './chain_search.js';
import {
  makeNoChainError,
  makeUnknownModelError,
  type RoutingError,
} from './errors.js';
import type {FleetView} from './fleet_view.js';

/**
 * Chooses a chain over the layer graph. Every chain is legal: contiguous from
 * layer 0 to the last, without excluded, leaving or failing endpoints. Fails
 * with UnknownModel or NoChain.
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
  const end = findEnd(view, graph, query, search);
  if (end === -1) {
    const reached = findReached(view, graph, search);
    return Result.err(makeNoChainError(query.model, reached, query.layerCount));
  }
  return Result.ok(buildPlan(view, query, search, end, now));
}

/** Describes a chain in one line, for log events. */
export function describeChain(stages: readonly StageTarget[]): string {
  return stages
    .map(stage => `${stage.endpoint}${formatLayerRange(stage.layers)}`)
    .join(' ');
}
