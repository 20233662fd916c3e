import type {Instant} from '@zinniaspindle/shared';
import {millisecondsPerSecond} from '@zinniaspindle/shared';
import {makeHttpFaults} from './http/http_faults.js';
import {
  answerNotFound,
  answerProblem,
  startJsonServer,
  type Exchange,
  type JsonAnswer,
  type StandIn,
} from './http/json_server.js';
import {readCount} from './http/read_fields.js';

import {waitMilliseconds} from './http/wait.js';

const weightsPath = '/v1/weights/';

/** How a weight store is set up. */
export interface WeightStoreOptions {
  readonly port?: number;
  readonly bytesPerSecond: number;
  /** Bytes of one layer of any model. */
  readonly layerBytes: number;
  /** Fetches that may wait or run at once; others are answered 429. */
  readonly queueLimit: number;
}

/** The options of a store that loads eight layers in one second. */
export const defaultWeightStoreOptions: WeightStoreOptions = {
  bytesPerSecond: 8_000_000_000,
  layerBytes: 1_000_000_000,
  queueLimit: 16,
};

/** The weight store: fetches run one after another at the store's rate. */
class WeightStoreServer {
  readonly faults = makeHttpFaults();
  private freeAt: Instant = 0;
  private waiting = 0;
  private fetches = 0;

  constructor(private readonly options: WeightStoreOptions) {}

  async handle(exchange: Exchange): Promise<JsonAnswer> {
    const {method, path, query} = exchange;
    if (method !== 'GET' || !path.startsWith(weightsPath)) {
      return answerNotFound(exchange);
    }
    if (this.waiting >= this.options.queueLimit) {
      return answerProblem(429, `${this.waiting} fetches are waiting already`);
    }
    const first = readCount(query, 'first', 0);
    const end = readCount(query, 'end', 0);
    const bytes = Math.max(0, end - first) * this.options.layerBytes;
    await this.waitForBytes(bytes);
    this.fetches += 1;
    const model = decodeURIComponent(path.slice(weightsPath.length));
    return {status: 200, body: {model, first, end, bytes}};
  }

  describe(): unknown {
    return {faults: this.faults, waiting: this.waiting, fetches: this.fetches};
  }

  private async waitForBytes(bytes: number): Promise<void> {
    const milliseconds =
      (bytes / this.options.bytesPerSecond) * millisecondsPerSecond;
    this.freeAt = Math.max(this.freeAt, Date.now()) + milliseconds;
    this.waiting += 1;
    await waitMilliseconds(this.freeAt - Date.now());
    this.waiting -= 1;
  }
}

/** Starts a weight store with a limited rate. */
export function startWeightStoreStandIn(
  options: WeightStoreOptions = defaultWeightStoreOptions,
): Promise<StandIn> {
  const server = new WeightStoreServer(options);
  return startJsonServer({
    port: options.port,
    faults: server.faults,
    handle: exchange => server.handle(exchange),
    describe: () => server.describe(),
  });
}
