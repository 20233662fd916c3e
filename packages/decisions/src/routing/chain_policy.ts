import type {EndpointId, Random} from '@zinniaspindle/shared';
import type {ChainQuery} from './chain_query.js';
import type {StagePrediction} from './predict_stage.js';

/** How the chain search computes costs. */
export interface ChainPolicy {
  /** Computes the cost of a stage, in milliseconds if links are included. */
  readonly costOf: (stage: StagePrediction, query: ChainQuery) => number;
  /**
   * Share of an endpoint's slots that peers may have filled since the last
   * report. A random part of it is added to the load, so that the VMs don't all
   * choose the same endpoint.
   */
  readonly loadJitter: number;
  /** Whether link times add to the cost of a chain. */
  readonly includesLinks: boolean;
}

/** Relative increase of a stage's step cost per unit of fullness above 1. */
const overloadPenalty = 20;

/** Default: least predicted time, including the delay to other requests. */
export const predictedTimePolicy: ChainPolicy = {
  costOf: computeTimeCost,
  loadJitter: 0.2,
  includesLinks: true,
};

/** Baseline: a random chain. */
export function makeRandomPolicy(random: Random): ChainPolicy {
  const computeCost = (stage: StagePrediction) =>
    countHeldLayers(stage) * random();
  return {costOf: computeCost, loadJitter: 0, includesLinks: false};
}

/** Baseline: the endpoints that this VM used least recently. */
export function makeRoundRobinPolicy(): RoundRobinPolicy {
  const lastUses = new Map<EndpointId, number>();
  let useCount = 0;
  const computeCost = (stage: StagePrediction) => {
    const last = lastUses.get(stage.endpoint.object.name) ?? 0;
    return countHeldLayers(stage) * (last / (useCount + 1));
  };
  const recordUse = (endpoint: EndpointId) => {
    useCount += 1;
    lastUses.set(endpoint, useCount);
  };
  return {costOf: computeCost, loadJitter: 0, includesLinks: false, recordUse};
}

/** A policy that needs recordUse to be called for each endpoint used. */
export interface RoundRobinPolicy extends ChainPolicy {
  readonly recordUse: (endpoint: EndpointId) => void;
}

/** Baseline: the lowest load in the last reports, without later changes. */
export const leastReportedLoadPolicy: ChainPolicy = {
  costOf: stage =>
    countHeldLayers(stage) *
    (stage.endpoint.reportedStreams / stage.endpoint.object.rates.slots),
  loadJitter: 0,
  includesLinks: false,
};

function computeTimeCost(stage: StagePrediction, query: ChainQuery): number {
  const overload = Math.max(0, stage.fullness - 1) * overloadPenalty;
  const step =
    (stage.stepMilliseconds + stage.addedStepMilliseconds) * (1 + overload);
  return (
    stage.waitMilliseconds +
    stage.prefillMilliseconds +
    step * (query.tokensLeft + 1)
  );
}

function countHeldLayers(stage: StagePrediction): number {
  const {layers} = stage.endpoint.object;
  return layers.end - layers.first;
}
