import {
  type GenerationParameters,
  hashText,
  type LayerRange,
} from '@zinniaspindle/shared';

const consonants = 'bdfghjklmnprstvz';
const vowels = 'aeio';
const syllables = 4;

/** Computes the number that stands for a prompt and its sampling. */
export function computeSeed(generation: GenerationParameters): string {
  const sampling = JSON.stringify(generation.sampling);
  return hashText(`${sampling}\n${generation.prompt}`);
}

/** Computes what enters layer 0 for the token at an index. */
export function computeInput(seed: string, index: number): string {
  return hashText(`${seed} ${index}`);
}

/** Folds each layer of a range, in order, into an activation. */
export function foldLayers(activation: string, layers: LayerRange): string {
  let folded = activation;
  for (let layer = layers.first; layer < layers.end; layer += 1) {
    folded = hashText(folded, layer + 1);
  }
  return folded;
}

/** Renders the last layer's activation as a word that can be spoken. */
export function renderToken(activation: string): string {
  let bits = Number.parseInt(activation.slice(0, 8), 16);
  let word = ' ';
  for (let place = 0; place < syllables; place += 1) {
    word += consonants[bits & 15]! + vowels[(bits >>> 4) & 3]!;
    bits >>>= 6;
  }
  return word;
}

/**
 * Counts the tokens of a generation: maxTokens, or with the sampling
 * parameter ignoreEnd set to false a number from 1 to maxTokens that depends
 * on the prompt.
 */
export function countTokens(generation: GenerationParameters): number {
  const {maxTokens, prompt, sampling} = generation;
  if (sampling['ignoreEnd'] !== false) return maxTokens;
  const drawn = Number.parseInt(hashText(prompt).slice(0, 8), 16);
  return 1 + (drawn % maxTokens);
}

/** Computes the tokens that a whole and correct answer has, up to a count. */
export function computeExpectedTokens(
  generation: GenerationParameters,
  layerCount: number,
  count = countTokens(generation),
): string[] {
  const tokens: string[] = [];
  const seed = computeSeed(generation);
  for (let index = 0; index < count; index += 1) {
    const input = computeInput(seed, index);
    const output = foldLayers(input, {first: 0, end: layerCount});
    tokens.push(renderToken(output));
  }
  return tokens;
}
