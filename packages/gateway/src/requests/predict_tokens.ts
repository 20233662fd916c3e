import type {CallerRequest, ServiceModel} from '../ports/index.js';

/** Predicts the tokens of a request and its answer. */
export function predictTokens(
  {promptTokens, estimatedAnswerTokens, maxAnswerTokens}: CallerRequest,
  {meanAnswerTokens}: ServiceModel,
): number {
  const answerTokens = estimatedAnswerTokens ?? meanAnswerTokens;
  return promptTokens + Math.min(answerTokens, maxAnswerTokens);
}
