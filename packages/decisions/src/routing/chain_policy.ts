import type {EndpointId, Random} from '@zinniaspindle/shared';
import type {ChainQuery} from './chain_query.js';
import type {StagePrediction} from './predict_stage.js';

/** How chains are compared. */
export interface ChainPolicy {
  /** The cost of a stage, in milliseconds where links count too. */
  readonly costOf: (stage: StagePrediction, query: ChainQuery) => number;
  /**
   * Share of an endpoint's slots that peers may have filled unseen; a random
   * part of it is added to the load, so that VMs don't all choose the same.
   */
  readonly spread: number;
  /** Whether links add to the cost. */
  readonly countsLinks: boolean;
}

/** How much dearer a stage gets for each part that it is over its gap share. */
const fullStagePenalty = 20;

/** Least predicted time for this request and for the ones it slows. */
export const predictedTimePolicy: ChainPolicy = {
  costOf: computeTimeCost,
  spread: 0.2,
  countsLinks: true,
};

/** Baseline: any chain. */
export function makeRandomPolicy(random: Random): ChainPolicy {
  const computeCost = (stage: StagePrediction) => countHeld(stage) * random();
  return {costOf: computeCost, spread: 0, countsLinks: false};
}

/** Baseline: the endpoints that were used least recently by this VM. */
export function makeRoundRobinPolicy(): RoundRobinPolicy {
  const turns = new Map<EndpointId, number>();
  let turn = 0;
  const computeCost = (stage: StagePrediction) => {
    const last = turns.get(stage.endpoint.object.name) ?? 0;
    return countHeld(stage) * (last / (turn + 1));
  };
  const recordUse = (endpoint: EndpointId) => {
    turn += 1;
    turns.set(endpoint, turn);
  };
  return {costOf: computeCost, spread: 0, countsLinks: false, recordUse};
}

/** A policy that has to be told which endpoints were used. */
export interface RoundRobinPolicy extends ChainPolicy {
  readonly recordUse: (endpoint: EndpointId) => void;
}

/** Baseline: the least load of the last reports, as they are. */
export const leastReportedLoadPolicy: ChainPolicy = {
  costOf: stage =>
    countHeld(stage) *
    (stage.endpoint.reportedStreams / stage.endpoint.object.rates.slots),
  spread: 0,
  countsLinks: false,
};

function computeTimeCost(stage: StagePrediction, query: ChainQuery): number {
  const over = Math.max(0, stage.fullness - 1) * fullStagePenalty;
  const step = (stage.stepMilliseconds + stage.addedMilliseconds) * (1 + over);
  return (
    stage.waitMilliseconds +
    stage.prefillMilliseconds +
    step * (query.tokensLeft + 1)
  );
}

function countHeld(stage: StagePrediction): number {
  const {layers} = stage.endpoint.object;
  return layers.end - layers.first;
}
