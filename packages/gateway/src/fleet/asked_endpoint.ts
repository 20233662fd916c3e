import {
  Answerer,
  findAnswerer,
  type AskedProcess,
  type EndpointCall,
  type ProcessClaims,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import {
  EndpointErrorCode,
  type CallTarget,
  type EndpointError,
  type EndpointReport,
} from '../ports/index.js';
import type {EndpointState} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';

/** An endpoint as it was known when a call or request was sent to it. */
export interface AskedEndpoint extends CallTarget, AskedProcess {}

/** One whose start is known. */
export interface KnownEndpoint extends AskedEndpoint {
  readonly bornAt: Instant;
}

/** Gets the endpoint that a call is sent to now. */
export function getAsked({
  entry,
  bornAt,
  addressBornAt,
}: EndpointState): KnownEndpoint {
  const {id, address, kind, models} = entry;
  const hasAddress = addressBornAt === bornAt;
  return {id, address, kind, models, bornAt, hasAddress};
}

/** Finds what is known of an endpoint at an address, which it may have left since. */
export function findAsked(
  endpoints: Pick<EndpointTable, 'find'>,
  {id, address}: CallTarget,
): AskedEndpoint {
  const state = endpoints.find(id);
  if (state?.entry.address === address) return getAsked(state);
  return {id, address, bornAt: undefined, hasAddress: false};
}

/** Finds whose answer a call for a report has got. */
export function findReportAnswerer(
  call: EndpointCall,
  report: Result<EndpointReport, EndpointError>,
): Answerer {
  const claims = getClaims(report);
  if (claims !== undefined) return findAnswerer(call, claims);
  const isRefused =
    report.isErr && report.error.code === EndpointErrorCode.NotListening;
  return isRefused ? findAnswerer(call, undefined) : Answerer.Unknown;
}

/** Gets what the answer to a call states of its process; undefined without one. */
export function getClaims(
  report: Result<EndpointReport, EndpointError>,
): ProcessClaims | undefined {
  if (report.isErr) return report.error.claims;
  return {...report.value, isMisdirected: false};
}
