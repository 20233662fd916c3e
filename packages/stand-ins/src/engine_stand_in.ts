import http from 'node:http';
import {
  type EndpointId,
  EngineRefusal,
  type LoadReport,
  type OrderRequest,
  type RequestId,
  type StepRequest,
  type StreamRequest,
} from '@zinniaspindle/shared';
import {makeBadRequest} from './errors.js';
import {makeEngineFaults} from './engine/engine_faults.js';
import {
  defaultEngineOptions,
  type EngineOptions,
} from './engine/engine_options.js';
import {type EngineReport, EngineRecords} from './engine/engine_records.js';
import {
  EngineRefused,
  getRefusalStatus,
  makeRefusal,
} from './engine/engine_refused.js';
import {Holding} from './engine/holding.js';
import {Lead} from './engine/lead.js';
import {PrefixCache} from './engine/prefix_cache.js';
import {Sessions} from './engine/sessions.js';
import {Stage, type StageParts} from './engine/stage.js';
import {dropWork, type StandInHooks, type WorkRecord} from './hooks.js';
import {applySwitches} from './http/http_faults.js';
import {
  answerNotFound,
  type Exchange,
  type JsonAnswer,
  type StandIn,
  startJsonServer,
} from './http/json_server.js';
import {
  checkNumbers,
  checkObjects,
  readArray,
  readCount,
  readString,
} from './http/read_fields.js';

const streamsPath = '/v1/streams/';
const expireMilliseconds = 250;

/** An engine that holds a range of layers of a model. */
class EngineServer {
  readonly faults = makeEngineFaults();
  private readonly records: EngineRecords;
  private readonly parts: StageParts;
  private readonly stage: Stage;
  private readonly lead: Lead;
  private report: LoadReport | undefined;
  private readonly expiry: NodeJS.Timeout;

  constructor(
    private readonly options: EngineOptions,
    recordWork: (work: WorkRecord) => void,
  ) {
    this.records = new EngineRecords(options.endpoint, recordWork);
    const cache = new PrefixCache(options);
    const drop = () => cache.drop(Date.now());
    this.parts = {
      options,
      faults: this.faults,
      records: this.records,
      sessions: new Sessions(options.endpoint, options.checksAttempts),
      holding: new Holding(options, this.records, drop),
      cache,
      agent: new http.Agent({keepAlive: true}),
    };
    this.stage = new Stage(this.parts);
    this.lead = new Lead(this.parts, this.stage);
    const expire = () => this.parts.sessions.expire(Date.now());
    this.expiry = setInterval(expire, expireMilliseconds);
    this.expiry.unref();
  }

  stop(): void {
    clearInterval(this.expiry);
    this.parts.holding.stop();
    this.parts.agent.destroy();
  }

  async handle(exchange: Exchange): Promise<JsonAnswer | undefined> {
    try {
      return await this.handleKnown(exchange);
    } catch (error) {
      if (!(error instanceof EngineRefused)) throw error;
      const {problem} = error;
      return {status: getRefusalStatus(problem.reason), body: problem};
    }
  }

  describe(): EngineReport {
    return {
      endpoint: this.options.endpoint,
      faults: this.faults,
      state: this.parts.holding.describe(),
      attempts: this.records.listAttempts(),
      orders: this.records.orders,
    };
  }

  private handleKnown(
    exchange: Exchange,
  ): Promise<JsonAnswer | undefined> | JsonAnswer {
    const {method, path, query} = exchange;
    if (method === 'DELETE' && path.startsWith(streamsPath)) {
      return this.cancelStream(exchange);
    }
    switch (`${method} ${path}`) {
      case 'POST /v1/steps':
        return this.runStep(exchange);
      case 'POST /v1/streams':
        return this.runStream(exchange);
      case 'POST /v1/orders':
        return {status: 200, body: this.applyOrder(exchange)};
      case 'GET /v1/state':
        return {status: 200, body: this.parts.holding.describe()};
      case 'GET /v1/load':
        return {status: 200, body: this.getLoad()};
      case 'GET /v1/cache-events': {
        const from = readCount(query, 'from', 0);
        return {status: 200, body: this.parts.cache.read(from, Date.now())};
      }
      default:
        return answerNotFound(exchange);
    }
  }

  private async runStep(exchange: Exchange): Promise<JsonAnswer> {
    const {body, response} = exchange;
    readString(body, 'request');
    readString(body, 'model');
    readString(body, 'context');
    readString(body, 'activation');
    checkNumbers(body, ['attempt', 'index', 'priority', 'deadline']);
    checkNumbers(body, ['prefillTokens']);
    checkObjects(body, ['layers']);
    const forward = readArray(body, 'forward');
    if (forward.length > 0) this.checkForwards();
    const abort = new AbortController();
    response.on('close', () => abort.abort());
    const step = body as unknown as StepRequest;
    return {status: 200, body: await this.stage.runStep(step, abort.signal)};
  }

  private async runStream(exchange: Exchange): Promise<undefined> {
    const {body, response} = exchange;
    readString(body, 'request');
    readString(body, 'model');
    checkNumbers(body, ['attempt', 'priority', 'deadline']);
    checkObjects(body, ['generation']);
    readArray(body, 'given');
    readArray(body, 'chain');
    this.checkForwards();
    const stream = body as unknown as StreamRequest;
    this.lead.checkStream(stream);
    await this.lead.runStream(stream, response);
  }

  private checkForwards(): void {
    if (this.options.forwards) return;
    throw makeBadRequest('this engine does not pass activations on');
  }

  private cancelStream(exchange: Exchange): JsonAnswer {
    const name = exchange.path.slice(streamsPath.length);
    const request = decodeURIComponent(name) as RequestId;
    const attempt = readCount(exchange.query, 'attempt', Infinity);
    this.parts.sessions.cancelBelow(request, attempt + 1);
    return {status: 204};
  }

  private applyOrder(exchange: Exchange): unknown {
    const {body} = exchange;
    checkNumbers(body, ['fencing', 'deadline']);
    checkObjects(body, ['wanted']);
    const order = body as unknown as OrderRequest;
    const {model} = order.wanted;
    if (!this.options.models.some(known => known.name === model)) {
      const detail = `model ${model} is not known`;
      const {endpoint} = this.options;
      throw makeRefusal(endpoint, EngineRefusal.ModelNotLoaded, detail);
    }
    return this.parts.holding.applyOrder(order);
  }

  private getLoad(): LoadReport {
    const now = Date.now();
    const lag = this.options.loadLagMilliseconds;
    if (this.report === undefined || this.report.time + lag <= now) {
      this.report = {
        endpoint: this.options.endpoint,
        time: now,
        running: this.stage.running,
        queued: this.stage.queued,
        queuedPrefillTokens: this.stage.queuedPrefillTokens,
        leaving: this.faults.leaving,
      };
    }
    return this.report;
  }
}

/** Options of an engine with the defaults filled in; endpoint is needed. */
export type EngineSetup = Partial<EngineOptions> & {
  readonly endpoint: EndpointId;
};

/** Starts an engine; `{"crash": true}` at /control ends it without a word. */
export async function startEngineStandIn(
  setup: EngineSetup,
  hooks: StandInHooks = {},
): Promise<StandIn> {
  const options = {...defaultEngineOptions, ...setup};
  const server = new EngineServer(options, hooks.recordWork ?? dropWork);
  const stop = async () => {
    server.stop();
    await standIn.stop();
  };
  const standIn: StandIn = await startJsonServer({
    port: options.port,
    faults: server.faults,
    handle: exchange => server.handle(exchange),
    applyControl: ({crash, ...switches}) => {
      applySwitches(server.faults, switches);
      if (crash !== true) return;
      if (hooks.handleCrash === undefined) void stop();
      else hooks.handleCrash();
    },
    describe: () => server.describe(),
  });
  return {address: standIn.address, stop};
}
