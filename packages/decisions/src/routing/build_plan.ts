import type {Instant, StageTarget} from '@zinniaspindle/shared';
import type {ChainPlan, ChainQuery} from './chain_query.js';
import {computeLinkCost, type ChainSearch} from './chain_search.js';
import type {EndpointView} from './endpoint_view.js';
import type {FleetView} from './fleet_view.js';
import type {StagePrediction} from './predict_stage.js';

/** Builds the plan of the cheapest chain that ends at a node of the search. */
export function buildPlan(
  view: FleetView,
  query: ChainQuery,
  search: ChainSearch,
  end: number,
  now: Instant,
): ChainPlan {
  const stages: StagePrediction[] = [];
  let node = end;
  while (search.stages[node] !== undefined) {
    stages.unshift(search.stages[node]!);
    node = search.previous[node]!;
  }
  const times = predictTimes(view, query, stages);
  const firstTokenAt = now + times.firstTokenMilliseconds;
  const further = Math.max(0, query.tokensLeft - 1);
  return {
    stages: stages.map(stage => toTarget(stage.endpoint)),
    stageLoads: stages.map(stage => ({
      endpoint: stage.endpoint.object.name,
      prefillTokens: stage.uncachedTokens,
    })),
    firstTokenAt,
    tokenGapMilliseconds: times.tokenGapMilliseconds,
    finishAt: firstTokenAt + further * times.tokenGapMilliseconds,
    reason: {
      cost: Math.round(search.costs[end]!),
      waitMilliseconds: Math.round(times.waitMilliseconds),
      cachedTokens: query.promptTokens - times.uncachedTokens,
      fullness: times.fullness,
      weighed: search.weighed,
    },
  };
}

/** Predicted times of a chain, with the highest fullness of its stages. */
interface ChainTimes {
  readonly firstTokenMilliseconds: number;
  readonly tokenGapMilliseconds: number;
  readonly waitMilliseconds: number;
  readonly fullness: number;
  readonly uncachedTokens: number;
}

function predictTimes(
  view: FleetView,
  query: ChainQuery,
  stages: readonly StagePrediction[],
): ChainTimes {
  let first = 0;
  let gap = 0;
  let wait = 0;
  let uncachedTokens = 0;
  let fullness = 0;
  let previous = stages.at(-1)!.endpoint.dataCentre;
  for (const [index, stage] of stages.entries()) {
    // Each token of the last stage goes back to the first one.
    const link = computeLinkCost(view, previous, stage, 0, 0);
    gap += stage.stepMilliseconds + link;
    first += stage.prefillMilliseconds + stage.stepMilliseconds;
    if (index > 0) {
      first += computeLinkCost(view, previous, stage, 0, stage.uncachedTokens);
    }
    wait = Math.max(wait, stage.waitMilliseconds);
    fullness = Math.max(fullness, stage.fullness);
    uncachedTokens = Math.max(uncachedTokens, stage.uncachedTokens);
    previous = stage.endpoint.dataCentre;
  }
  const target = view.links.indexes.get(query.dataCentre) ?? previous;
  first += view.links.hopMilliseconds[previous * view.links.size + target]!;
  return {
    firstTokenMilliseconds: first + wait,
    tokenGapMilliseconds: gap,
    waitMilliseconds: wait,
    fullness,
    uncachedTokens,
  };
}

function toTarget(endpoint: EndpointView): StageTarget {
  const {name, address, layers} = endpoint.object;
  return {endpoint: name, address, layers};
}
