import type http from 'node:http';
import type {
  CacheEventsResponse,
  Deadline,
  EngineProblem,
  EngineStateResponse,
  LoadReport,
  OrderRequest,
  RequestId,
  StageTarget,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {HttpErrorCode} from '../http/errors.js';
import {runExchange} from '../http/exchange.js';
import type {ExchangeOptions} from '../http/exchange.js';
import {EndpointError, EndpointErrorCode} from './errors.js';
import {findRefusal} from './find_refusal.js';

const statusOk = 200;

/** What the router asks of an engine besides running requests. */
export interface EngineClient {
  readonly readLoad: (
    address: string,
    deadline: Deadline,
  ) => Promise<Result<LoadReport, EndpointError>>;
  readonly readCacheEvents: (
    address: string,
    from: number,
    deadline: Deadline,
  ) => Promise<Result<CacheEventsResponse, EndpointError>>;
  readonly readState: (
    address: string,
    deadline: Deadline,
  ) => Promise<Result<EngineStateResponse, EndpointError>>;
  readonly sendOrder: (
    address: string,
    order: OrderRequest,
    deadline: Deadline,
  ) => Promise<Result<EngineStateResponse, EndpointError>>;
  /** Cancels an attempt at every stage; what cannot be reached is left. */
  readonly cancelChain: (
    request: RequestId,
    attempt: number,
    chain: readonly StageTarget[],
    deadline: Deadline,
  ) => void;
}

/** Makes the adapter for engines that speak HTTP with JSON. */
export function makeEngineClient(agent: http.Agent): EngineClient {
  return {
    readLoad: (address, deadline) =>
      fetchBody({address, method: 'GET', path: '/v1/load', deadline, agent}),
    readCacheEvents: (address, from, deadline) => {
      const path = `/v1/cache-events?from=${from}`;
      return fetchBody({address, method: 'GET', path, deadline, agent});
    },
    readState: (address, deadline) =>
      fetchBody({address, method: 'GET', path: '/v1/state', deadline, agent}),
    sendOrder: (address, body, deadline) => {
      const path = '/v1/orders';
      return fetchBody({address, method: 'POST', path, body, deadline, agent});
    },
    cancelChain: (request, attempt, chain, deadline) => {
      const path = `/v1/streams/${encodeURIComponent(request)}?attempt=${attempt}`;
      for (const {address} of chain) {
        void runExchange({address, method: 'DELETE', path, deadline, agent});
      }
    },
  };
}

async function fetchBody<T>(
  options: ExchangeOptions,
): Promise<Result<T, EndpointError>> {
  const answer = await runExchange(options);
  if (answer.isErr) {
    const {message, code: cause} = answer.error;
    const code =
      cause === HttpErrorCode.NotConnected
        ? EndpointErrorCode.NotAccepted
        : EndpointErrorCode.Broken;
    return Result.err(
      new EndpointError(code, message, undefined, answer.error),
    );
  }
  const {status, body} = answer.value;
  if (status === statusOk) return Result.ok(body as T);
  const problem = body as EngineProblem | undefined;
  const reason = findRefusal(problem);
  const message = `http://${options.address}${options.path}: status ${status}`;
  const code = EndpointErrorCode.NotAccepted;
  return Result.err(new EndpointError(code, message, reason));
}
