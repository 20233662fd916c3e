import {
  countLayers,
  millisecondsPerSecond,
  type EndpointId,
  type EndpointObject,
  type ModelName,
} from '@zinniaspindle/shared';
import {computeMaxFlow} from './max_flow.js';

/** The service level and workload for which a bound is computed. */
export interface BoundOptions {
  /** Most milliseconds between two tokens of a stream. */
  readonly tokenGapMilliseconds: number;
  /** Prompt tokens to prefill for each token generated. */
  readonly prefillTokensPerToken: number;
}

/** Upper bound on the tokens that a model's endpoints can generate. */
export interface ModelBound {
  readonly tokensPerSecond: number;
  /** Flow through each endpoint at that bound, in tokens a second. */
  readonly flows: ReadonlyMap<EndpointId, number>;
}

/**
 * Counts the streams of the largest batch that an endpoint can run one step of
 * within its layers' share of the token gap.
 */
export function countBatch(
  endpoint: EndpointObject,
  layerCount: number,
  tokenGapMilliseconds: number,
): number {
  const {rates} = endpoint;
  const share = countLayers(endpoint.layers) / layerCount;
  const left = tokenGapMilliseconds * share - rates.stepMilliseconds;
  if (left < 0) return 0;
  const further = Math.floor(left / rates.stepMillisecondsPerStream);
  return Math.min(rates.slots, 1 + further);
}

/** Computes the capacity of one endpoint, in tokens a second. */
export function computeCapacity(
  endpoint: EndpointObject,
  layerCount: number,
  options: BoundOptions,
): number {
  const {tokenGapMilliseconds, prefillTokensPerToken} = options;
  const streams = countBatch(endpoint, layerCount, tokenGapMilliseconds);
  const decode = (streams * millisecondsPerSecond) / tokenGapMilliseconds;
  if (prefillTokensPerToken === 0) return decode;
  const {prefillTokensPerSecond} = endpoint.rates;
  return Math.min(decode, prefillTokensPerSecond / prefillTokensPerToken);
}

/** Computes a model's bound: the maximum flow through its layer graph. */
export function computeModelBound(
  endpoints: Iterable<EndpointObject>,
  model: ModelName,
  layerCount: number,
  options: BoundOptions,
): ModelBound {
  const held = [...endpoints].filter(endpoint => endpoint.model === model);
  const edges = held.map(endpoint => ({
    from: endpoint.layers.first,
    to: endpoint.layers.end,
    capacity: computeCapacity(endpoint, layerCount, options),
  }));
  const {total, flows} = computeMaxFlow(layerCount + 1, edges);
  const byEndpoint = new Map<EndpointId, number>();
  for (const [index, endpoint] of held.entries()) {
    byEndpoint.set(endpoint.name, flows[index]!);
  }
  return {tokensPerSecond: total, flows: byEndpoint};
}
