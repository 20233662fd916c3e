import type {CallerRequest, ServiceModel} from '../ports/index.js';

/**
 * Share of its answer that a stream holds in memory on average: it grows from
 * nothing to the whole answer.
 */
const heldAnswerShare = 0.5;

/**
 * Predicts the tokens that a request holds in memory, with part of its answer;
 * where the engine states no figures, with the whole answer. Streams of many ages
 * share a path, so that the whole answers of all would leave memory unused while
 * callers are refused.
 */
export function predictTokens(
  {promptTokens, estimatedAnswerTokens, maxAnswerTokens}: CallerRequest,
  {meanAnswerTokens, figures}: ServiceModel,
): number {
  const answerTokens = estimatedAnswerTokens ?? meanAnswerTokens;
  const heldShare = figures === undefined ? 1 : heldAnswerShare;
  return promptTokens + Math.min(answerTokens, maxAnswerTokens) * heldShare;
}
