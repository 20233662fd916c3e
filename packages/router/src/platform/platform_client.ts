import http from 'node:http';
import type {
  AppendRequest,
  AppendResponse,
  Deadline,
  ReadResponse,
  VmListResponse,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {runExchange} from '../http/exchange.js';
import type {ExchangeOptions} from '../http/exchange.js';
import {makeStatusError, translateHttpError} from './errors.js';
import type {PlatformError} from './errors.js';

const statusOk = 200;

/** Addresses of the platform's services, as host:port. */
export interface PlatformAddresses {
  readonly log: string;
  readonly vmList: string;
}

/** What the router asks of the platform; one adapter a platform. */
export interface PlatformClient {
  readonly append: (
    records: readonly string[],
    deadline: Deadline,
  ) => Promise<Result<AppendResponse, PlatformError>>;
  readonly read: (
    from: number,
    max: number,
    waitMilliseconds: number,
    deadline: Deadline,
  ) => Promise<Result<ReadResponse, PlatformError>>;
  readonly listVms: (
    deadline: Deadline,
  ) => Promise<Result<VmListResponse, PlatformError>>;
}

/** Makes the adapter for the platform's HTTP services. */
export function makePlatformClient(
  addresses: PlatformAddresses,
): PlatformClient {
  const agent = new http.Agent({keepAlive: true});
  return {
    append: (records, deadline) => {
      const body: AppendRequest = {records};
      const target = {address: addresses.log, path: '/v1/append'};
      return fetchBody({...target, method: 'POST', body, deadline, agent});
    },
    read: (from, max, waitMilliseconds, deadline) => {
      const query = `from=${from}&max=${max}&waitMilliseconds=${waitMilliseconds}`;
      const target = {address: addresses.log, path: `/v1/records?${query}`};
      return fetchBody({...target, method: 'GET', deadline, agent});
    },
    listVms: deadline => {
      const target = {address: addresses.vmList, path: '/v1/vms'};
      return fetchBody({...target, method: 'GET', deadline, agent});
    },
  };
}

async function fetchBody<T>(
  options: ExchangeOptions,
): Promise<Result<T, PlatformError>> {
  const answer = await runExchange(options);
  if (answer.isErr) return Result.err(translateHttpError(answer.error));
  const {status, body} = answer.value;
  if (status === statusOk) return Result.ok(body as T);
  return Result.err(makeStatusError(options.address, status));
}
