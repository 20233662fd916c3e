import type {Deadline, Instant} from '@zinniaspindle/shared';
import type {PromptPrefix} from './prompt_prefix.js';

/** A prefix that is presumably held. */
export interface HeldPrefix {
  /** Tokens of its last segment. */
  readonly tokens: number;
  /** When it expires, unless it is used again. */
  readonly until: Deadline;
}

/**
 * The prefixes that the endpoints of a path, or one endpoint, presumably hold,
 * as far as this VM knows.
 */
export interface PromptCache {
  /**
   * By the hash of the prefix, least recently used first. A prefix comes after
   * its longer ones, since whatever uses these uses it as well.
   */
  readonly prefixes: Map<string, HeldPrefix>;
  /** Sum of the tokens of the prefixes. */
  tokens: number;
}

/** What a prompt cache can hold now. */
export interface CacheBounds {
  /** Time after its last use for which a prefix is held. */
  readonly ttlMilliseconds: number;
  /** Tokens of all prefixes together. */
  readonly maxTokens: number;
}

/** Prefixes held per cache. */
export const maxHeldPrefixes = 512;
/** Bytes of a cache's prefixes: their hashes, tokens and expiry. */
export const maxHeldBytes = 16_384;
/** Bytes of one prefix without its hash: a token count and an instant. */
const prefixNumberBytes = 16;
const hashCharacters = 16;
const maxPrefixes = Math.min(
  maxHeldPrefixes,
  Math.floor(maxHeldBytes / (hashCharacters + prefixNumberBytes)),
);

/** Fill of the memory above which running requests leave none to prefixes. */
const fullShare = 0.85;

/** Creates a cache that holds nothing. */
export function createPromptCache(): PromptCache {
  return {prefixes: new Map(), tokens: 0};
}

/**
 * Computes the tokens that prefixes can occupy: the memory set aside for them,
 * without what running requests need of it. `fill` is the share of the
 * capacity that running requests use; anything but a number up to 0.85 leaves
 * nothing.
 */
export function computeCacheTokens(
  cacheTokens: number,
  capacityTokens: number,
  fill: number,
): number {
  if (!(fill <= fullShare) || !(cacheTokens > 0)) return 0;
  const free = capacityTokens * (1 - Math.max(0, fill));
  return free > 0 ? Math.min(cacheTokens, free) : 0;
}

/**
 * Records that prefixes of one prompt, shortest first, are held and were used
 * now. Those that exceed the bound on their own are left out, so that one
 * prompt does not evict all others for nothing.
 */
export function recordHeld(
  cache: PromptCache,
  prefixes: readonly PromptPrefix[],
  bounds: CacheBounds,
  now: Instant,
): void {
  const until = now + bounds.ttlMilliseconds;
  for (let i = prefixes.length - 1; i >= 0; i -= 1) {
    const {hash, tokens: end} = prefixes[i]!;
    if (hash.length > hashCharacters || !(end <= bounds.maxTokens)) continue;
    const tokens = Math.max(0, end - (prefixes[i - 1]?.tokens ?? 0));
    removeHeld(cache, hash);
    cache.prefixes.set(hash, {tokens, until});
    cache.tokens += tokens;
  }
  dropExcess(cache, bounds, now);
}

/**
 * Finds the tokens of the longest prefix held, of those of a prompt, shortest
 * first; 0 if none is.
 */
export function findHeldTokens(
  cache: PromptCache,
  prefixes: readonly PromptPrefix[],
  bounds: CacheBounds,
  now: Instant,
): number {
  for (let i = prefixes.length - 1; i >= 0; i -= 1) {
    const held = cache.prefixes.get(prefixes[i]!.hash);
    if (held === undefined || isOutdated(held, bounds, now)) continue;
    return prefixes[i]!.tokens;
  }
  return 0;
}

/** Removes a prefix that is no longer held. */
export function removeHeld(cache: PromptCache, hash: string): void {
  const held = cache.prefixes.get(hash);
  if (held === undefined) return;
  cache.prefixes.delete(hash);
  cache.tokens -= held.tokens;
}

/** Removes all prefixes, as a restart does. */
export function dropHeld(cache: PromptCache): void {
  cache.prefixes.clear();
  cache.tokens = 0;
}

/** Drops expired prefixes, and the least recently used beyond the bounds. */
export function dropExcess(
  cache: PromptCache,
  bounds: CacheBounds,
  now: Instant,
): void {
  if (!(bounds.maxTokens > 0)) return dropHeld(cache);
  for (const [hash, held] of cache.prefixes) {
    const isExcess =
      cache.prefixes.size > maxPrefixes || cache.tokens > bounds.maxTokens;
    if (!isExcess && !isOutdated(held, bounds, now)) return;
    removeHeld(cache, hash);
  }
}

/**
 * Tells whether a prefix has expired, or expires later than one used now would:
 * it was then recorded under another clock or setting.
 */
function isOutdated(
  {until}: HeldPrefix,
  {ttlMilliseconds}: CacheBounds,
  now: Instant,
): boolean {
  return !(until > now && until <= now + ttlMilliseconds);
}
