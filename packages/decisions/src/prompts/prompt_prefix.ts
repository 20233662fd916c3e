import {hashText} from '@zinniaspindle/shared';

/** A prefix of the prompt, identified by the hash of its text. */
export interface PromptPrefix {
  readonly hash: string;
  /** Tokens from the start of the prompt to the end of the prefix. */
  readonly tokens: number;
}

/** A segment of a prompt as its caller lists it. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** The segments of a prompt in their order, and the model that reads them. */
export interface PromptSegments {
  /** Empty if the request names no model. */
  readonly model: string;
  readonly segments: readonly PromptSegment[];
}

/** Prefixes with more segments are not tracked; callers list a few. */
export const maxPromptSegments = 64;
/** Characters. Two longer ids could differ only beyond what is compared. */
export const maxSegmentIdLength = 64;

/**
 * Lists the prefixes of a prompt, shortest first; the prefix of n segments is
 * identified by the service, the model and the ids of its first n segments. The
 * segments come from a caller: the list ends before the first one that is
 * malformed or that exceeds the prompt's tokens.
 */
export function listPromptPrefixes(
  service: string,
  {model, segments}: PromptSegments,
  promptTokens: number,
): PromptPrefix[] {
  const prefixes: PromptPrefix[] = [];
  let hash = hashText(JSON.stringify([service, model]));
  let tokens = 0;
  for (const segment of segments) {
    if (prefixes.length >= maxPromptSegments || !isSound(segment)) break;
    tokens += segment.tokens;
    if (!(tokens <= promptTokens)) break;
    hash = hashText(`${hash}:${segment.id}`);
    prefixes.push({hash, tokens});
  }
  return prefixes;
}

function isSound({id, tokens}: PromptSegment): boolean {
  if (id === '' || id.length > maxSegmentIdLength) return false;
  return Number.isSafeInteger(tokens) && tokens >= 0;
}
