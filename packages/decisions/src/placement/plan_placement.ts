import {
  countLayers,
  EndpointRole,
  formatLayerRange,
  millisecondsPerSecond,
  PlacementEvent,
  type EngineState,
  type LayerRange,
  type ModelName,
  type LogEvent,
} from '@zinniaspindle/shared';
import {listRanges} from './candidate_ranges.js';
import {
  addToCoverage,
  computeChange,
  computeCoverage,
  computeRate,
  getTarget,
  hasWholeChain,
  type LayerCoverage,
} from './layer_coverage.js';
import type {
  ModelDemand,
  PlacedEndpoint,
  PlacementInput,
  PlacementMove,
  PlacementOptions,
  PlacementPlan,
} from './messages.js';

/** The settings used where a deployment gives none. */
export const defaultPlacementOptions: PlacementOptions = {
  tokenGapMilliseconds: 27,
  maxLoads: 4,
  headroom: 1.2,
  horizonMilliseconds: 600_000,
  spreadBonus: 0.1,
  hasChain: hasWholeChain,
};

interface PlanningRound {
  readonly input: PlacementInput;
  readonly options: PlacementOptions;
  readonly demands: Map<ModelName, ModelDemand>;
  readonly coverages: Map<ModelName, LayerCoverage>;
  /** The endpoints; those moved in this round count as loading. */
  endpoints: PlacedEndpoint[];
}

interface Candidate {
  readonly endpoint: PlacedEndpoint;
  readonly wanted: EngineState;
  /** Tokens a second gained, less what the endpoint's current model loses. */
  readonly gain: number;
  readonly loadMilliseconds: number;
}

/**
 * Plans which endpoints should load another range or model, choosing the move
 * with the highest gain each time. No move breaks the last chain of a model, and
 * each must recover its load time within the horizon.
 */
export function planPlacement(
  input: PlacementInput,
  options: PlacementOptions = defaultPlacementOptions,
): PlacementPlan {
  const round = createRound(input, options);
  const moves: PlacementMove[] = [];
  const logEvents: LogEvent[] = [];
  let loads = input.endpoints.filter(one => one.loading !== undefined).length;
  while (loads < options.maxLoads) {
    const best = findBestMove(round, loads);
    if (best === undefined) break;
    applyMove(round, best);
    moves.push({endpoint: best.endpoint.object.name, wanted: best.wanted});
    logEvents.push(describeMove(best));
    loads += 1;
  }
  return {moves, logEvents};
}

function createRound(
  input: PlacementInput,
  options: PlacementOptions,
): PlanningRound {
  const demands = new Map<ModelName, ModelDemand>();
  const coverages = new Map<ModelName, LayerCoverage>();
  const {endpoints} = input;
  const gap = options.tokenGapMilliseconds;
  for (const demand of input.models) {
    demands.set(demand.model, demand);
    coverages.set(demand.model, computeCoverage(endpoints, demand, gap));
  }
  return {input, options, demands, coverages, endpoints: [...endpoints]};
}

function findBestMove(
  round: PlanningRound,
  loads: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const endpoint of round.endpoints) {
    if (endpoint.isLeaving || endpoint.loading !== undefined) continue;
    if (isLastChain(round, endpoint)) continue;
    const loss = computeLoss(round, endpoint);
    for (const demand of round.input.models) {
      const candidate = findBestRange(round, endpoint, demand, loss, loads);
      if (candidate === undefined) continue;
      if (best === undefined || candidate.gain > best.gain) best = candidate;
    }
  }
  return best;
}

/** Tells whether a model would lose its last chain without an endpoint. */
function isLastChain(round: PlanningRound, endpoint: PlacedEndpoint): boolean {
  const model = endpoint.held?.model;
  const demand = model === undefined ? undefined : round.demands.get(model);
  if (demand === undefined) return false;
  const {hasChain} = round.options;
  if (!hasChain(round.endpoints, demand)) return false;
  const others = round.endpoints.filter(other => other !== endpoint);
  return !hasChain(others, demand);
}

/** Computes the served rate that is lost when an endpoint is removed from its model. */
function computeLoss(round: PlanningRound, endpoint: PlacedEndpoint): number {
  const target = getTarget(endpoint);
  const demand = target && round.demands.get(target.model);
  if (target === undefined || demand === undefined) return 0;
  const gap = round.options.tokenGapMilliseconds;
  const rate = computeRate(endpoint, target.layers, demand, gap);
  const coverage = round.coverages.get(demand.model)!;
  const wanted = computeWanted(round, demand);
  return -computeChange(coverage, target.layers, -rate, wanted);
}

function findBestRange(
  round: PlanningRound,
  endpoint: PlacedEndpoint,
  demand: ModelDemand,
  loss: number,
  loads: number,
): Candidate | undefined {
  const {options, input} = round;
  if (endpoint.held?.model === demand.model) return undefined;
  const coverage = round.coverages.get(demand.model)!;
  const wanted = computeWanted(round, demand);
  let best: Candidate | undefined;
  for (const layers of listRanges(round.endpoints, demand, endpoint)) {
    const gap = options.tokenGapMilliseconds;
    const rate = computeRate(endpoint, layers, demand, gap);
    const added = computeChange(coverage, layers, rate, wanted);
    const bonus = isFirstInDataCentre(round, endpoint, demand, layers)
      ? 1 + options.spreadBonus
      : 1;
    const gain = added * bonus - loss;
    const bytes = countLayers(layers) * demand.layerBytes * (loads + 1);
    const loadMilliseconds =
      (bytes * millisecondsPerSecond) / input.storeBytesPerSecond;
    if (!isWorthLoad(gain, loss, loadMilliseconds, options)) continue;
    if (best !== undefined && gain <= best.gain) continue;
    const wantedState = {
      model: demand.model,
      layers,
      role: EndpointRole.Mixed,
    };
    best = {endpoint, wanted: wantedState, gain, loadMilliseconds};
  }
  return best;
}

function computeWanted(round: PlanningRound, demand: ModelDemand): number {
  return demand.tokensPerSecond * round.options.headroom;
}

function isWorthLoad(
  gain: number,
  loss: number,
  loadMilliseconds: number,
  options: PlacementOptions,
): boolean {
  const remainingMilliseconds = options.horizonMilliseconds - loadMilliseconds;
  return gain > 0 && gain * remainingMilliseconds > loss * loadMilliseconds;
}

function isFirstInDataCentre(
  round: PlanningRound,
  endpoint: PlacedEndpoint,
  demand: ModelDemand,
  layers: LayerRange,
): boolean {
  for (const other of round.endpoints) {
    if (other.object.dataCentre !== endpoint.object.dataCentre) continue;
    const target = getTarget(other);
    if (target?.model !== demand.model) continue;
    if (target.layers.first < layers.end && layers.first < target.layers.end) {
      return false;
    }
  }
  return true;
}

function applyMove(round: PlanningRound, move: Candidate): void {
  const {endpoint, wanted} = move;
  const gap = round.options.tokenGapMilliseconds;
  const before = getTarget(endpoint);
  const left = before && round.demands.get(before.model);
  if (before !== undefined && left !== undefined) {
    const rate = computeRate(endpoint, before.layers, left, gap);
    addToCoverage(round.coverages.get(left.model)!, before.layers, -rate);
  }
  const demand = round.demands.get(wanted.model)!;
  const rate = computeRate(endpoint, wanted.layers, demand, gap);
  addToCoverage(round.coverages.get(demand.model)!, wanted.layers, rate);
  const {object, isLeaving, maxLayers} = endpoint;
  const moved = {object, isLeaving, maxLayers, loading: wanted};
  round.endpoints = round.endpoints.map(one =>
    one === endpoint ? moved : one,
  );
}

function describeMove(move: Candidate): LogEvent {
  const {endpoint, wanted, gain, loadMilliseconds} = move;
  const before = endpoint.held;
  return {
    event: PlacementEvent.MovePlanned,
    fields: {
      endpoint: endpoint.object.name,
      model: wanted.model,
      layers: formatLayerRange(wanted.layers),
      before:
        before === undefined
          ? 'nothing'
          : `${before.model} ${formatLayerRange(before.layers)}`,
      gain: Math.round(gain),
      load: Math.round(loadMilliseconds),
    },
  };
}
