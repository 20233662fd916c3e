import {hashText} from '@zinniaspindle/shared';

/** Hash of no tokens. */
export const emptyTokensHash = '';

/** Extends the hash of a token sequence by one token. */
export function addTokenHash(prefixHash: string, token: string): string {
  return hashText(prefixHash + token);
}

/** Hashes a token sequence; equal to calling `addTokenHash` for each token. */
export function hashTokens(tokens: readonly string[]): string {
  let hash = emptyTokensHash;
  for (const token of tokens) hash = addTokenHash(hash, token);
  return hash;
}
