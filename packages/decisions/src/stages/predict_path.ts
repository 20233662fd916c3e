import {countLayers} from '@zinniaspindle/shared';
import type {EngineFigures} from './engine_figures.js';
import type {EndpointLoad, StagePath} from './stage_types.js';

/** The stream whose times are predicted. */
export interface PredictedStream {
  /** 1 for a stream that is not on the path yet, 0 for the streams on it. */
  readonly added: 0 | 1;
  /** Tokens of its prompt and answer. */
  readonly tokens: number;
  /** Prompt tokens that the path has to prefill. */
  readonly promptTokens: number;
}

/** Predicted times of a path, for streams that are on it. */
export interface PathTimes {
  /** Time between two events of a stream. */
  readonly gapMilliseconds: number;
  /** Time to the first event of a new stream. */
  readonly firstEventMilliseconds: number;
}

const tokensPerContextUnit = 1000;
const pairsPerUnit = 1e6;

/**
 * Predicts the times of a path at the load from all VMs. A pass runs `stride`
 * steps of all stages, and the share of the streams' prompts that falls into
 * it: each stream prefills its prompt once in its lifetime. Hops are left out;
 * they are far shorter than a step of the endpoints.
 */
export function predictPath(
  path: StagePath,
  getLoad: (id: string) => EndpointLoad,
  figures: EngineFigures,
  stream: PredictedStream,
): PathTimes {
  const {layerCount, stride, usualPromptTokens, usualAnswerTokens} = figures;
  const usualTokens = usualPromptTokens + usualAnswerTokens;
  // A stream's context grows from its prompt to all its tokens.
  const contextShare =
    (usualPromptTokens + usualAnswerTokens / 2) / usualTokens;
  const start = getLoad(path.parts[0]!.endpoint.id);
  const startLayers = countLayers(path.parts[0]!.layers);
  const streamTokens = Math.max(
    usualTokens,
    start.layerTokens / startLayers / Math.max(1, start.streams),
  );
  const contextUnit =
    (figures.contextMilliseconds * contextShare) /
    (tokensPerContextUnit * layerCount);
  const usualPrefill = computePrefill(usualPromptTokens, figures);
  const ownPrefill = computePrefill(stream.promptTokens, figures);
  // Prefills in a pass, as a multiple of one usual prompt.
  const prefillsPerStream = stride / usualAnswerTokens;
  const maxPrefills = (figures.chunkTokens * stride) / usualPromptTokens;
  let gap = 0;
  let prefill = 0;
  for (const {endpoint, layers} of path.parts) {
    const partLayers = countLayers(layers);
    const share = partLayers / layerCount;
    const layerTokens =
      getLoad(endpoint.id).layerTokens +
      stream.added * stream.tokens * partLayers;
    // Streams of other paths are known by their tokens only.
    const streams = Math.max(
      start.streams + stream.added,
      layerTokens / partLayers / streamTokens,
    );
    const step =
      (figures.stepMilliseconds + figures.streamMilliseconds * streams) *
        share +
      contextUnit * layerTokens;
    const readShare = share * (endpoint.readFactor ?? endpoint.pace);
    const prefills = Math.min(streams * prefillsPerStream, maxPrefills);
    gap += stride * step * endpoint.pace + prefills * usualPrefill * readShare;
    prefill += ownPrefill * readShare;
  }
  return {
    gapMilliseconds: gap,
    firstEventMilliseconds: gap / 2 + prefill + gap,
  };
}

/** Computes the time of a prompt's prefill through all layers at read factor 1. */
function computePrefill(
  tokens: number,
  {readPerMillisecond, pairMilliseconds}: EngineFigures,
): number {
  const pairs = (tokens * tokens) / 2;
  return (
    tokens / readPerMillisecond + (pairs / pairsPerUnit) * pairMilliseconds
  );
}
