import http from 'node:http';
import {CallFailure} from '@zinniaspindle/decisions';
import {CodedError} from '@zinniaspindle/shared';
import type {
  ActionKey,
  Deadline,
  ServiceCall,
  ServiceLookup,
  ServiceResult,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {HttpErrorCode} from '../http/errors.js';
import {runExchange} from '../http/exchange.js';

const statusOk = 200;

/** An error of a call to a plain service, by what is known of the call. */
export type ServiceError = CodedError<CallFailure>;

/** What the router asks of a plain service. */
export interface ServiceClient {
  readonly sendCall: (
    address: string,
    call: ServiceCall,
    deadline: Deadline,
  ) => Promise<Result<ServiceResult, ServiceError>>;
  /** Finds the result of an executed call; undefined when there is none. */
  readonly fetchFate: (
    address: string,
    key: ActionKey,
    deadline: Deadline,
  ) => Promise<string | undefined>;
}

/** Makes the adapter for services that speak HTTP with JSON. */
export function makeServiceClient(): ServiceClient {
  // A new connection for each call: on a used one, a call that fails at once
  // may or may not have been received.
  const agent = new http.Agent({keepAlive: false});
  return {
    sendCall: (address, call, deadline) =>
      sendCall(agent, address, call, deadline),
    fetchFate: (address, key, deadline) =>
      fetchFate(agent, address, key, deadline),
  };
}

async function sendCall(
  agent: http.Agent,
  address: string,
  body: ServiceCall,
  deadline: Deadline,
): Promise<Result<ServiceResult, ServiceError>> {
  const path = '/v1/actions';
  const answer = await runExchange({
    ...{address, method: 'POST', path, body, deadline, agent},
  });
  if (answer.isErr) {
    const {error} = answer;
    const code =
      error.code === HttpErrorCode.NotConnected
        ? CallFailure.CertainlyNotSent
        : CallFailure.Unknown;
    return Result.err(new CodedError(code, error.message, error));
  }
  const {status, body: result} = answer.value;
  if (status === statusOk) return Result.ok(result as ServiceResult);
  const message = `http://${address}${path}: status ${status}`;
  return Result.err(new CodedError(CallFailure.Unknown, message));
}

async function fetchFate(
  agent: http.Agent,
  address: string,
  key: ActionKey,
  deadline: Deadline,
): Promise<string | undefined> {
  const path = `/v1/actions/${encodeURIComponent(key)}`;
  const answer = await runExchange({
    ...{address, method: 'GET', path, deadline, agent},
  });
  if (answer.isErr || answer.value.status !== statusOk) return undefined;
  const lookup = answer.value.body as ServiceLookup;
  return lookup.executed ? lookup.result : undefined;
}
