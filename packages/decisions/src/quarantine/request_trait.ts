/**
 * Begins the traits that only attempts at one request have. Ids of parts of
 * prompts have no colon.
 */
export const requestTraitPrefix = 'request:';

/** Tells whether a trait is of one request alone, and no part of a prompt. */
export function isRequestTrait(trait: string): boolean {
  return trait.startsWith(requestTraitPrefix);
}
