import {countLayers, type Instant} from '@zinniaspindle/shared';
import {findHeldTokens} from '../prompts/prompt_cache.js';
import {countSavedTokens} from '../prompts/weigh_prompt.js';
import {defaultTargetGapMilliseconds, type ChainQuery} from './chain_query.js';
import {
  countStreams,
  enginePrefixBounds,
  toPrefillMilliseconds,
  toStepMilliseconds,
  type EndpointView,
} from './endpoint_view.js';

/** The prediction for one more stream at a stage. */
export interface StagePrediction {
  readonly endpoint: EndpointView;
  /** Number of other streams at the endpoint. */
  readonly streams: number;
  /** Time until the prefill starts, including the wait for a slot. */
  readonly waitMilliseconds: number;
  readonly uncachedTokens: number;
  readonly prefillMilliseconds: number;
  /** Duration of a decode step with this stream in the batch. */
  readonly stepMilliseconds: number;
  /** Ratio of the step to the layers' share of the target gap. */
  readonly fullness: number;
  /** Sum of the time that this stream adds to each step of the others. */
  readonly addedStepMilliseconds: number;
}

/**
 * Predicts the times of a stage at an endpoint. With isKept, the stage already
 * runs there; unreportedStreams are further streams that peers may have started
 * there since the last report.
 */
export function predictStage(
  endpoint: EndpointView,
  query: ChainQuery,
  isKept: boolean,
  now: Instant,
  unreportedStreams = 0,
): StagePrediction {
  const {rates} = endpoint.object;
  const known = Math.max(0, countStreams(endpoint) - (isKept ? 1 : 0));
  const streams = known + unreportedStreams;
  const stepMilliseconds = toStepMilliseconds(endpoint, streams + 1);
  const uncachedTokens = isKept ? 1 : countUncached(endpoint, query, now);
  const prefillWait = isKept ? 0 : Math.max(0, endpoint.prefillFreeAt - now);
  const excessStreams = isKept ? 0 : Math.max(0, streams + 1 - rates.slots);
  const slotWait =
    (excessStreams / rates.slots) * stepMilliseconds * query.tokensLeft;
  return {
    endpoint,
    streams,
    waitMilliseconds: Math.max(prefillWait, slotWait),
    uncachedTokens,
    prefillMilliseconds: toPrefillMilliseconds(endpoint, uncachedTokens),
    stepMilliseconds,
    fullness: stepMilliseconds / computeGapShare(endpoint, query),
    addedStepMilliseconds:
      rates.stepMillisecondsPerStream * Math.min(streams, rates.slots),
  };
}

function computeGapShare(endpoint: EndpointView, query: ChainQuery): number {
  const heldLayers = countLayers(endpoint.object.layers);
  const target = query.targetGapMilliseconds ?? defaultTargetGapMilliseconds;
  return (target * heldLayers) / query.layerCount;
}

function countUncached(
  endpoint: EndpointView,
  query: ChainQuery,
  now: Instant,
): number {
  const {prefixes, promptTokens} = query;
  const cache = endpoint.prefixes;
  const held = findHeldTokens(cache, prefixes, enginePrefixBounds, now);
  return Math.max(1, promptTokens - countSavedTokens(promptTokens, held));
}
