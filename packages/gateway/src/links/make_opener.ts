import type {CallTarget} from '../ports/index.js';
import type {EndpointLinks} from './endpoint_links.js';
import type {OpenConnection} from './open_connection.js';

/** Opens the connections of one call. */
export interface CallOpener {
  /** Undefined without links, to connect to the address. */
  readonly open: OpenConnection | undefined;
  /** Tells whether the last connection that it opened goes through a peer. */
  readonly isRelayed: () => boolean;
}

/** Makes what opens the connections of a call to an endpoint. */
export function makeOpener(
  links: Pick<EndpointLinks, 'open'> | undefined,
  {id, address}: CallTarget,
  purpose: string,
): CallOpener {
  let isRelayed = false;
  const open: OpenConnection = handle =>
    links!.open({id, address, purpose}, opened => {
      isRelayed = opened.isOk && opened.value.relay !== undefined;
      handle(opened);
    });
  return {
    open: links === undefined ? undefined : open,
    isRelayed: () => isRelayed,
  };
}
