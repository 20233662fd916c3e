import {AppendFate, LogStore, type LogStoreOptions} from './log_store.js';
import {makeHttpFaults} from './http/http_faults.js';
import {
  answerNotFound,
  answerProblem,
  startJsonServer,
  type Exchange,
  type JsonAnswer,
  type StandIn,
} from './http/json_server.js';
import {makeBadRequest} from './errors.js';
import {readArray, readCount} from './http/read_fields.js';

const maxRecordsPerRead = 10_000;
const maxWaitMilliseconds = 60_000;

/** How a log stand-in is set up. */
export interface LogStandInOptions extends LogStoreOptions {
  readonly port?: number;
}

/** The options of a log that is roomy enough for a demonstration. */
export const defaultLogOptions: LogStandInOptions = {
  retentionMilliseconds: 3_600_000,
  appendsPerSecond: 300,
};

interface Waiter {
  readonly resume: () => void;
}

/** The log service: appends with offsets, long-polled reads. */
class LogServer {
  readonly faults = makeHttpFaults();
  private readonly store: LogStore;
  private readonly waiters = new Set<Waiter>();
  private appends = 0;
  private reads = 0;

  constructor(options: LogStandInOptions) {
    this.store = new LogStore(options);
  }

  handle(exchange: Exchange): Promise<JsonAnswer> | JsonAnswer {
    const {method, path} = exchange;
    if (method === 'POST' && path === '/v1/append') {
      return this.handleAppend(exchange);
    }
    if (method === 'GET' && path === '/v1/records') {
      return this.handleRead(exchange);
    }
    return answerNotFound(exchange);
  }

  describe(): unknown {
    const {oldest, next} = this.store.read(0, 0, Date.now())!;
    return {
      faults: this.faults,
      oldest,
      next,
      appends: this.appends,
      reads: this.reads,
    };
  }

  private handleAppend(exchange: Exchange): JsonAnswer {
    const records: string[] = [];
    for (const record of readArray(exchange.body, 'records')) {
      if (typeof record !== 'string') {
        throw makeBadRequest('field "records" must hold strings only');
      }
      records.push(record);
    }
    const outcome = this.store.append(records, Date.now());
    if (outcome.fate === AppendFate.RateLimited) {
      return answerProblem(429, 'over the append rate');
    }
    if (outcome.fate === AppendFate.Unavailable) {
      return answerProblem(503, 'the log is down');
    }
    this.appends += 1;
    for (const waiter of this.waiters) waiter.resume();
    return {status: 200, body: {firstOffset: outcome.firstOffset}};
  }

  private async handleRead(exchange: Exchange): Promise<JsonAnswer> {
    const {query} = exchange;
    const from = readCount(query, 'from', 0);
    const max = Math.min(readCount(query, 'max', 1000), maxRecordsPerRead);
    const wait = readCount(query, 'waitMilliseconds', 0);
    const waitUntil = Date.now() + Math.min(wait, maxWaitMilliseconds);
    this.reads += 1;
    for (;;) {
      const read = this.store.read(from, max, Date.now());
      if (read === undefined || this.faults.down) {
        return answerProblem(503, 'the log is down');
      }
      const hasEnded = Date.now() >= waitUntil || exchange.response.destroyed;
      if (read.records.length > 0 || hasEnded) {
        return {status: 200, body: read};
      }
      await this.waitForAppend(exchange, waitUntil - Date.now());
    }
  }

  private waitForAppend(
    exchange: Exchange,
    milliseconds: number,
  ): Promise<void> {
    return new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer);
        exchange.response.off('close', resume);
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter: Waiter = {resume};
      const timer = setTimeout(resume, milliseconds);
      exchange.response.on('close', resume);
      this.waiters.add(waiter);
    });
  }
}

/** Starts a log service with limited retention and rate. */
export function startLogStandIn(
  options: LogStandInOptions = defaultLogOptions,
): Promise<StandIn> {
  const server = new LogServer(options);
  return startJsonServer({
    port: options.port,
    faults: server.faults,
    handle: exchange => server.handle(exchange),
    describe: () => server.describe(),
  });
}
