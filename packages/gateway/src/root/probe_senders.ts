import type {ProbeListeners} from '../fleet/endpoint_prober.js';
import {PeerMessageKind} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** Builds what tells the peers of the results of probes. */
export function buildSenders(
  getMesh: () => PeerMesh,
): Pick<ProbeListeners, 'sendFacts' | 'sendSuspicion'> {
  return {
    sendFacts: facts => {
      getMesh().sendAll({kind: PeerMessageKind.Facts, facts});
    },
    sendSuspicion: (id, bornAt, cause) => {
      const kind = PeerMessageKind.Suspicion;
      getMesh().sendAll({kind, id, bornAt, cause});
    },
  };
}
