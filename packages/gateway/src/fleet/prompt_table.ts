import {
  computeCacheTokens,
  countSavedTokens,
  createPromptCache,
  dropExcess,
  findHeldTokens,
  listPromptPrefixes,
  recordHeld,
  type CacheBounds,
  type EndpointLoad,
  type PromptCache,
  type PromptPrefix,
  type StagePath,
} from '@zinniaspindle/decisions';
import {countLayers, type Instant} from '@zinniaspindle/shared';
import {Counter, type Metrics} from '../log/metrics.js';
import type {
  CallerRequest,
  PromptCacheLimits,
  ServiceModel,
} from '../ports/index.js';
import {isSameRange, type EndpointState} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';

/** A send of a prompt to a path, whose first event proves that it is held there. */
export interface PromptSend {
  /** Records that the stream's first event has arrived. */
  recordFirstEvent(): void;
}

/** The prompt of one request, whose beginning paths may hold. */
export interface PromptUse {
  /** Counts the tokens of the prompt that presumably need no prefill on a path. */
  readonly countSaved: (path: StagePath) => number;
  /** Records that the request is sent to a path. */
  readonly recordSend: (path: StagePath) => PromptSend;
}

/** What of an endpoint changes when it loses what it holds of prompts. */
type Holder = Pick<EndpointState, 'bornAt' | 'orderCount' | 'held'>;

interface PathCache {
  readonly cache: PromptCache;
  /** The endpoints of the path, as they were when the cache was empty. */
  readonly holders: readonly Holder[];
}

/** A prompt that the endpoints of a path have processed. */
interface ProvenPrompt {
  readonly prefixes: readonly PromptPrefix[];
  readonly promptCache: PromptCacheLimits;
}

/** Paths whose prompt caches are tracked; the last recorded ones are. */
const maxPaths = 64;

/**
 * Tracks which prefixes of prompts the paths presumably hold, by the streams of
 * this VM that began there.
 */
export class PromptTable {
  /** By the key of the path, least recently recorded first. */
  private readonly paths = new Map<string, PathCache>();

  constructor(
    private readonly endpoints: Pick<EndpointTable, 'find'>,
    private readonly loads: {computeLoad(id: string): EndpointLoad},
    private readonly metrics: Metrics,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Opens the prompt of a request; undefined if the model's endpoints keep
   * nothing of prompts or the request doesn't list its segments.
   */
  open(
    service: string,
    {promptCache}: ServiceModel,
    request: Pick<CallerRequest, 'promptTokens' | 'readPromptSegments'>,
  ): PromptUse | undefined {
    const {promptTokens, readPromptSegments} = request;
    if (promptCache === undefined) return undefined;
    if (readPromptSegments === undefined) return undefined;
    const segments = readPromptSegments();
    const prefixes = listPromptPrefixes(service, segments, promptTokens);
    if (prefixes.length === 0) return undefined;
    const countSaved = (path: StagePath) => {
      const held = this.findHeld(path, prefixes, promptCache);
      return countSavedTokens(promptTokens, held);
    };
    return {
      countSaved,
      recordSend: path => {
        this.recordSaved(countSaved(path));
        const holders = this.listHolders(path);
        return {
          recordFirstEvent: () => {
            // The endpoints that began the stream may have restarted since.
            if (holders === undefined || !this.isSame(path, holders)) return;
            this.recordHeld(path, holders, {prefixes, promptCache});
          },
        };
      },
    };
  }

  /** Counts the paths of which something is known. */
  countPaths(): number {
    return this.paths.size;
  }

  private findHeld(
    path: StagePath,
    prefixes: readonly PromptPrefix[],
    limits: PromptCacheLimits,
  ): number {
    const cache = this.findCache(path);
    if (cache === undefined) return 0;
    const now = this.getNow();
    const bounds = this.computeBounds(path, limits);
    dropExcess(cache, bounds, now);
    return findHeldTokens(cache, prefixes, bounds, now);
  }

  private recordHeld(
    path: StagePath,
    holders: readonly Holder[],
    {prefixes, promptCache}: ProvenPrompt,
  ): void {
    const cache = this.findCache(path) ?? createPromptCache();
    this.paths.delete(path.key);
    this.paths.set(path.key, {cache, holders});
    const bounds = this.computeBounds(path, promptCache);
    recordHeld(cache, prefixes, bounds, this.getNow());
    if (this.paths.size <= maxPaths) return;
    const [oldest] = this.paths.keys();
    this.paths.delete(oldest!);
  }

  /** Finds the cache of a path; drops one whose endpoints have lost it. */
  private findCache(path: StagePath): PromptCache | undefined {
    const known = this.paths.get(path.key);
    if (known === undefined) return undefined;
    if (this.isSame(path, known.holders)) return known.cache;
    this.paths.delete(path.key);
    return undefined;
  }

  private recordSaved(tokens: number): void {
    if (tokens === 0) return;
    this.metrics.count(Counter.PromptsHeld);
    this.metrics.count(Counter.PromptTokensSaved, tokens);
  }

  private computeBounds(
    path: StagePath,
    {tokens, ttlMilliseconds}: PromptCacheLimits,
  ): CacheBounds {
    const fill = this.computeMemoryFill(path);
    const {capacityTokens} = path;
    const maxTokens = computeCacheTokens(tokens, capacityTokens, fill);
    return {ttlMilliseconds, maxTokens};
  }

  /** Computes the highest share of an endpoint's memory that requests use. */
  private computeMemoryFill({parts}: StagePath): number {
    let fill = 0;
    for (const {endpoint, layers, capacityLayerTokens} of parts) {
      if (countLayers(layers) === 0) continue;
      const {layerTokens} = this.loads.computeLoad(endpoint.id);
      fill = Math.max(fill, layerTokens / Math.max(1, capacityLayerTokens));
    }
    return fill;
  }

  /** Lists the endpoints of a path; undefined if one is not known. */
  private listHolders({parts}: StagePath): readonly Holder[] | undefined {
    const holders: Holder[] = [];
    for (const {endpoint} of parts) {
      const state = this.endpoints.find(endpoint.id);
      if (state === undefined) return undefined;
      const {bornAt, orderCount, held} = state;
      holders.push({bornAt, orderCount, held});
    }
    return holders;
  }

  /** Tells whether no endpoint of a path has restarted or got other layers. */
  private isSame({parts}: StagePath, holders: readonly Holder[]): boolean {
    for (const [index, {endpoint}] of parts.entries()) {
      const state = this.endpoints.find(endpoint.id);
      const holder = holders[index];
      if (state === undefined || holder === undefined) return false;
      if (state.bornAt !== holder.bornAt) return false;
      if (state.orderCount !== holder.orderCount) return false;
      if (!isSameRange(state.held, holder.held)) return false;
    }
    return true;
  }
}
