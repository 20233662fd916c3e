import type {ProbeListeners} from '../fleet/endpoint_prober.js';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {EndWatch} from '../fleet/end_watch.js';
import type {PathTable} from '../fleet/path_table.js';
import {makeReplacedHandler} from '../fleet/report_end.js';
import type {WriteEvent} from '../log/event_log.js';
import {PeerMessageKind} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** What learns of the results of probes. */
interface ListenerParts {
  readonly endpoints: EndpointTable;
  readonly paths: PathTable;
  readonly ends: EndWatch;
  readonly writeEvent: WriteEvent;
}

/** Builds what tells the parts of this VM and the peers of the results of probes. */
export function buildListeners(
  {endpoints, paths, ends, writeEvent}: ListenerParts,
  getMesh: () => PeerMesh,
): ProbeListeners {
  const handlers: Pick<ProbeListeners, 'handleDown' | 'handleEnded'> = {
    handleDown: id => paths.dropStreamsThrough(id),
    handleEnded: (ended, reason) => {
      const service = endpoints.find(ended.id)?.entry.service;
      if (service === undefined) return;
      ends.recordEnd(ended, service, reason);
    },
  };
  return {
    ...handlers,
    handleReplaced: makeReplacedHandler(endpoints, {...handlers, writeEvent}),
    sendFacts: facts => {
      getMesh().sendAll({kind: PeerMessageKind.Facts, facts});
    },
    sendSuspicion: (id, bornAt, cause) => {
      const kind = PeerMessageKind.Suspicion;
      getMesh().sendAll({kind, id, bornAt, cause});
    },
  };
}
