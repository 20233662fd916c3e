import type {EntriesResponse} from '@zinniaspindle/decisions';
import {toId} from '@zinniaspindle/shared';
import type {DataCentreId} from '@zinniaspindle/shared';
import {sendJson} from '../http/answers.js';
import type {Route, RouteCall} from '../http/route_table.js';

/** Lists entry VMs for a caller in a data centre, if it names one. */
export type FetchEntries = (
  dataCentre: DataCentreId | undefined,
) => Promise<EntriesResponse>;

const statusOk = 200;

/** Builds the route through which callers find entry VMs. */
export function buildEntryRoutes(fetchEntries: FetchEntries): Route[] {
  const handle = (call: RouteCall) => sendEntries(call, fetchEntries);
  return [{method: 'GET', path: '/v1/entries', handle}];
}

async function sendEntries(
  call: RouteCall,
  fetchEntries: FetchEntries,
): Promise<void> {
  const text = call.url.searchParams.get('dataCentre');
  const near = text === null ? undefined : toId<DataCentreId>(text);
  sendJson(call.response, statusOk, await fetchEntries(near));
}
