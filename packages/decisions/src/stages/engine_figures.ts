/** Figures of a model's engine from which the times of a path are predicted. */
export interface EngineFigures {
  readonly layerCount: number;
  /** One decoding step through all layers on an endpoint of pace 1. */
  readonly stepMilliseconds: number;
  /** Added to a step by each decoding stream. */
  readonly streamMilliseconds: number;
  /** Added to a step by each 1,000 tokens of context. */
  readonly contextMilliseconds: number;
  /** Prompt tokens prefilled in a millisecond where the read factor is 1. */
  readonly readPerMillisecond: number;
  /** Added to a prefill by each million pairs of a token and an earlier one. */
  readonly pairMilliseconds: number;
  /** Maximum tokens prefilled in a step. */
  readonly chunkTokens: number;
  /** Steps in a pass that has decoding streams; a pass ends with one event of each. */
  readonly stride: number;
  /** Mean tokens of a prompt. */
  readonly usualPromptTokens: number;
  /** Mean tokens of an answer. */
  readonly usualAnswerTokens: number;
  /** Time by which the endpoints' reports lag. */
  readonly reportLagMilliseconds: number;
}

/** Figures as stated by an operator: any of them may be missing or malformed. */
export type StatedFigures = {
  readonly [Name in keyof EngineFigures]: unknown;
};

/** Smaller or larger figures are faults of the statement in any unit. */
const minFigure = 1e-6;
const maxFigure = 1e9;

/** Checks one figure; undefined if it is missing or out of range. */
export function readFigure(value: unknown): number | undefined {
  if (typeof value !== 'number') return undefined;
  return value >= minFigure && value <= maxFigure ? value : undefined;
}

/**
 * Checks the figures of an engine. Any that is missing or out of range gives
 * undefined, which turns off all predictions for the model.
 */
export function readFigures(stated: StatedFigures): EngineFigures | undefined {
  for (const value of Object.values(stated)) {
    if (readFigure(value) === undefined) return undefined;
  }
  const figures = stated as EngineFigures;
  const hasSteps = figures.stride >= 1 && figures.chunkTokens >= 1;
  return hasSteps ? figures : undefined;
}
