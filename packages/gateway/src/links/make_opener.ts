import type {EndpointState} from '../fleet/endpoint_state.js';
import type {EndpointLinks} from './endpoint_links.js';
import type {OpenConnection} from './open_connection.js';

/** Makes what opens connections for calls to an endpoint; undefined without links. */
export function makeOpener(
  links: Pick<EndpointLinks, 'open'> | undefined,
  {entry: {id, address}}: EndpointState,
  purpose: string,
): OpenConnection | undefined {
  if (links === undefined) return undefined;
  return handle => links.open({id, address, purpose}, handle);
}
