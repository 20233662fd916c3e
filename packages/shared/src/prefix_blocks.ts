/**
 * Characters in one block of a prompt; engines cache prefixes in whole blocks.
 */
export const prefixBlockCharacters = 256;

/** Average characters in a token, for estimates of a prompt's length. */
export const charactersPerToken = 4;

/** Estimates the number of tokens in a text from its length. */
export function countTextTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/** Hashes a text to 16 hexadecimal digits; not cryptographically secure. */
export function hashText(text: string, seed = 0): string {
  let low = 0x811c9dc5 ^ seed;
  let high = 0x1b873593 ^ seed;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    low = Math.imul(low ^ code, 0x01000193);
    high = Math.imul(high ^ code, 0x85ebca6b);
    high ^= low >>> 13;
  }
  return formatWord(low ^ (high >>> 16)) + formatWord(high ^ (low >>> 15));
}

/**
 * Hashes every prefix of a text that consists of whole blocks. Entry i is the
 * hash of the first i + 1 blocks, chained so that equal hashes mean equal
 * prefixes.
 */
export function hashPrefixBlocks(text: string): string[] {
  const hashes: string[] = [];
  let before = '';
  const end = text.length - (text.length % prefixBlockCharacters);
  for (let start = 0; start < end; start += prefixBlockCharacters) {
    before = hashText(
      before + text.slice(start, start + prefixBlockCharacters),
    );
    hashes.push(before);
  }
  return hashes;
}

function formatWord(word: number): string {
  return (word >>> 0).toString(16).padStart(8, '0');
}
