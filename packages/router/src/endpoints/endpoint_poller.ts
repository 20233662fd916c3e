import type {
  CacheEvent,
  EndpointId,
  EndpointObject,
  LoadReport,
} from '@zinniaspindle/shared';
import {Effect, Schedule} from 'effect';
import type {EngineClient} from './engine_client.js';

/** What the poller reads, and who hears of it. */
export interface EndpointPollerOptions {
  readonly client: EngineClient;
  readonly listEndpoints: () => Iterable<EndpointObject>;
  readonly loadMilliseconds: number;
  readonly cacheMilliseconds: number;
  readonly handleLoad: (report: LoadReport) => void;
  readonly handleLoadFailure: (endpoint: EndpointId) => void;
  readonly handleCacheEvent: (endpoint: EndpointId, event: CacheEvent) => void;
  /** Events of an endpoint are missing; what they said is not known. */
  readonly handleCacheGap: (endpoint: EndpointId) => void;
  readonly getNow: () => number;
}

/** Polls load reports and cache events of endpoints until interrupted. */
export function pollEndpoints(
  options: EndpointPollerOptions,
): Effect.Effect<void> {
  const poller = new EndpointPoller(options);
  const loads = Effect.promise(() => poller.readLoads()).pipe(
    Effect.repeat(Schedule.spaced(options.loadMilliseconds)),
  );
  const caches = Effect.promise(() => poller.readCaches()).pipe(
    Effect.repeat(Schedule.spaced(options.cacheMilliseconds)),
  );
  return Effect.all([loads, caches], {concurrency: 'unbounded'}).pipe(
    Effect.asVoid,
  );
}

class EndpointPoller {
  private readonly nextCacheEvents = new Map<EndpointId, number>();

  constructor(private readonly options: EndpointPollerOptions) {}

  async readLoads(): Promise<void> {
    const reads: Array<Promise<void>> = [];
    for (const endpoint of this.options.listEndpoints()) {
      reads.push(this.readLoad(endpoint));
    }
    await Promise.all(reads);
  }

  async readCaches(): Promise<void> {
    const reads: Array<Promise<void>> = [];
    for (const endpoint of this.options.listEndpoints()) {
      reads.push(this.readCache(endpoint));
    }
    await Promise.all(reads);
  }

  private async readLoad(endpoint: EndpointObject): Promise<void> {
    const {client, loadMilliseconds, getNow} = this.options;
    const deadline = getNow() + 2 * loadMilliseconds;
    const report = await client.readLoad(endpoint.address, deadline);
    if (report.isOk) this.options.handleLoad(report.value);
    else this.options.handleLoadFailure(endpoint.name);
  }

  private async readCache(endpoint: EndpointObject): Promise<void> {
    const {client, cacheMilliseconds, getNow} = this.options;
    const {name, address} = endpoint;
    const from = this.nextCacheEvents.get(name) ?? 0;
    const deadline = getNow() + 2 * cacheMilliseconds;
    const answer = await client.readCacheEvents(address, from, deadline);
    if (answer.isErr) return;
    let expected = from;
    for (const event of answer.value.events) {
      if (event.sequence !== expected) this.options.handleCacheGap(name);
      expected = event.sequence + 1;
      this.options.handleCacheEvent(name, event);
    }
    this.nextCacheEvents.set(name, answer.value.next);
  }
}
