import type {ActionKey, ServiceResult} from '@zinniaspindle/shared';
import {
  dropWork,
  type StandInHooks,
  WorkKind,
  type WorkRecord,
} from './hooks.js';
import {applySwitches, makeHttpFaults} from './http/http_faults.js';
import {
  answerNotFound,
  answerProblem,
  startJsonServer,
  type Exchange,
  type JsonAnswer,
  type StandIn,
} from './http/json_server.js';
import {waitMilliseconds} from './http/wait.js';
import {readString} from './http/read_fields.js';

const actionsPath = '/v1/actions';

/** How a plain service is set up. */
export interface ServiceStandInOptions {
  readonly port?: number;
  /** Whether GET /v1/actions/{key} tells the fate of a call. */
  readonly hasLookup: boolean;
}

/** What one key's calls did at the service. */
export interface ExecutionCount {
  readonly key: ActionKey;
  readonly executions: number;
}

/** Body of GET /control at a plain service. */
export interface ServiceReport {
  readonly executions: readonly ExecutionCount[];
}

/** A plain service's worker: runs every call it gets and counts them by key. */
class ServiceServer {
  readonly faults = {
    ...makeHttpFaults(),
    /** Answers 500 without running the action. */
    fails: false,
    /** Milliseconds between running the action and answering. */
    answerDelayMilliseconds: 0,
  };
  private readonly executions = new Map<ActionKey, number>();

  constructor(
    private readonly options: ServiceStandInOptions,
    private readonly recordWork: (work: WorkRecord) => void,
  ) {}

  async handle(exchange: Exchange): Promise<JsonAnswer> {
    const {method, path} = exchange;
    if (method === 'POST' && path === actionsPath) {
      return this.runAction(exchange);
    }
    const isLookup = method === 'GET' && path.startsWith(`${actionsPath}/`);
    if (isLookup && this.options.hasLookup) {
      const key = decodeURIComponent(path.slice(actionsPath.length + 1));
      return this.answerLookup(key as ActionKey);
    }
    return answerNotFound(exchange);
  }

  describe(): ServiceReport & {readonly faults: unknown} {
    const executions: ExecutionCount[] = [];
    for (const [key, count] of this.executions) {
      executions.push({key, executions: count});
    }
    return {faults: this.faults, executions};
  }

  private async runAction(exchange: Exchange): Promise<JsonAnswer> {
    const key = readString(exchange.body, 'key') as ActionKey;
    const action = readString(exchange.body, 'action');
    readString(exchange.body, 'body');
    if (this.faults.fails) return answerProblem(500, 'failed, nothing ran');
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    this.recordWork({kind: WorkKind.Executed, key});
    const delay = this.faults.answerDelayMilliseconds;
    if (delay > 0) await waitMilliseconds(delay);
    const result: ServiceResult = {key, result: `${action} done`};
    return {status: 200, body: result};
  }

  private answerLookup(key: ActionKey): JsonAnswer {
    const executed = this.executions.has(key);
    return {
      status: 200,
      body: executed ? {executed, result: 'done'} : {executed},
    };
  }
}

/** Starts a plain service's worker. */
export function startServiceStandIn(
  options: ServiceStandInOptions = {hasLookup: false},
  hooks: StandInHooks = {},
): Promise<StandIn> {
  const server = new ServiceServer(options, hooks.recordWork ?? dropWork);
  return startJsonServer({
    port: options.port,
    faults: server.faults,
    handle: exchange => server.handle(exchange),
    applyControl: message => applySwitches(server.faults, message),
    describe: () => server.describe(),
  });
}
