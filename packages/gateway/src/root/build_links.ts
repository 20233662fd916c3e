import type {EndpointTable} from '../fleet/endpoint_table.js';
import {EndpointLinks} from '../links/endpoint_links.js';
import {KeptConnections} from '../links/kept_connections.js';
import type {Metrics} from '../log/metrics.js';
import {PeerPhase} from '../peers/messages.js';
import type {Peer, PeerMesh} from '../peers/peer_mesh.js';
import type {GatewayContext} from './gateway_parts.js';

/** The connections of a VM to endpoints. */
export interface LinkParts {
  readonly links: EndpointLinks;
  /** The idle ones; undefined if none are kept. */
  readonly kept: KeptConnections | undefined;
}

/** What the connections to endpoints depend on. */
interface LinkSources {
  readonly endpoints: EndpointTable;
  readonly metrics: Metrics;
}

/** Builds what opens and keeps connections to endpoints. */
export function buildLinks(
  {settings, log, getNow}: Pick<GatewayContext, 'settings' | 'log' | 'getNow'>,
  {endpoints, metrics}: LinkSources,
  getMesh: () => PeerMesh,
): LinkParts {
  const links = new EndpointLinks(
    () => getMesh().listLive().filter(isRelay),
    metrics,
    log.write,
    getNow,
  );
  if (settings.keepsConnections !== true) return {links, kept: undefined};
  const kept = new KeptConnections({
    findEndpoint: id => {
      const state = endpoints.find(id);
      if (state === undefined) return undefined;
      const isWanted =
        endpoints.isUsable(state) &&
        endpoints.findPauseEnd(state) === undefined &&
        !links.isCut(id);
      return {address: state.entry.address, bornAt: state.bornAt, isWanted};
    },
    recordReached: () => links.recordAnswered(),
    metrics,
    getNow,
  });
  return {links, kept};
}

/** Tells whether a peer can pass connections on. */
function isRelay({phase}: Peer): boolean {
  return phase === PeerPhase.Ready;
}
