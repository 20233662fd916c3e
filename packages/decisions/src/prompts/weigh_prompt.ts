/** A path that could take a request, as far as its prompt is concerned. */
export interface PromptCandidate {
  /** Predicted time until the prefill starts, with the path's present load. */
  readonly waitMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** Tokens of the prompt's beginning that its endpoints hold. */
  readonly heldTokens: number;
}

/**
 * Counts the tokens of a prompt that need no prefill. The last token is always
 * processed, since the first token of the answer follows from it.
 */
export function countSavedTokens(
  promptTokens: number,
  heldTokens: number,
): number {
  if (!(heldTokens > 0) || !(promptTokens > 1)) return 0;
  return Math.min(heldTokens, promptTokens - 1);
}

/** Predicts the time to the first event of a prompt on a path. */
export function predictFirstEvent(
  candidate: PromptCandidate,
  promptTokens: number,
): number {
  const {waitMilliseconds, prefillMillisecondsPerToken, heldTokens} = candidate;
  const saved = countSavedTokens(promptTokens, heldTokens);
  return (
    waitMilliseconds + (promptTokens - saved) * prefillMillisecondsPerToken
  );
}

/**
 * Chooses the path with the least predicted time to the first event: the
 * prefill that held tokens save is weighed against the wait. Candidates without
 * a finite prediction are chosen only if no other is left, the first of them.
 */
export function choosePromptPath<Candidate extends PromptCandidate>(
  candidates: readonly Candidate[],
  promptTokens: number,
): Candidate | undefined {
  let best = candidates[0];
  let least = Infinity;
  for (const candidate of candidates) {
    const milliseconds = predictFirstEvent(candidate, promptTokens);
    if (!(milliseconds < least)) continue;
    least = milliseconds;
    best = candidate;
  }
  return best;
}
