import {
  type CacheEvent,
  CacheEventKind,
  type CacheEventsResponse,
  hashPrefixBlocks,
  type Instant,
} from '@zinniaspindle/shared';

const maxEvents = 4096;
const maxEventsPerRead = 512;

/** How a prefix cache is set up. */
export interface PrefixCacheOptions {
  readonly cacheBlocks: number;
  readonly cacheEventLagMilliseconds: number;
  readonly cacheEventGapEvery: number;
}

interface DatedEvent {
  readonly showsAt: Instant;
  readonly event: CacheEvent;
}

/** Keeps the prefixes used last, by blocks of text, and tells of changes. */
export class PrefixCache {
  /** Prefix hashes, least recently used first. */
  private readonly blocks = new Set<string>();
  private readonly events: DatedEvent[] = [];
  private sequence = 0;

  constructor(private readonly options: PrefixCacheOptions) {}

  /** Counts the leading blocks of a context that are cached, and stores all. */
  addContext(context: string, now: Instant): number {
    const hashes = hashPrefixBlocks(context);
    let hits = 0;
    while (hits < hashes.length && this.blocks.has(hashes[hits]!)) hits += 1;
    for (const hash of hashes) {
      this.blocks.delete(hash);
      this.blocks.add(hash);
    }
    this.addEvent(CacheEventKind.Stored, hashes.slice(hits), now);
    this.addEvent(CacheEventKind.Evicted, this.removeOldest(), now);
    return hits;
  }

  /** Drops every prefix, as a load of other weights does. */
  drop(now: Instant): void {
    const hashes = [...this.blocks];
    this.blocks.clear();
    this.addEvent(CacheEventKind.Evicted, hashes, now);
  }

  /** Reads the events from a sequence on that have become visible. */
  read(from: number, now: Instant): CacheEventsResponse {
    const events: CacheEvent[] = [];
    let next = from;
    for (const {event, showsAt} of this.events) {
      if (showsAt > now || events.length >= maxEventsPerRead) break;
      next = Math.max(next, event.sequence + 1);
      if (event.sequence >= from) events.push(event);
    }
    return {next, events};
  }

  private removeOldest(): string[] {
    const evicted: string[] = [];
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.options.cacheBlocks) break;
      this.blocks.delete(hash);
      evicted.push(hash);
    }
    return evicted;
  }

  private addEvent(
    kind: CacheEventKind,
    prefixHashes: readonly string[],
    now: Instant,
  ): void {
    if (prefixHashes.length === 0) return;
    const sequence = this.sequence;
    this.sequence += 1;
    const {cacheEventGapEvery: gap, cacheEventLagMilliseconds: lag} =
      this.options;
    if (gap > 0 && sequence % gap === gap - 1) return;
    this.events.push({
      showsAt: now + lag,
      event: {sequence, kind, prefixHashes},
    });
    if (this.events.length > maxEvents) this.events.shift();
  }
}
