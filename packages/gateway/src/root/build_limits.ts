import type {Instant} from '@zinniaspindle/shared';
import {LimitTable} from '../fleet/limit_table.js';
import type {EventLog} from '../log/event_log.js';
import {makeLimitedMessage} from '../peers/messages.js';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** Builds the limits that endpoints state, which all VMs share. */
export function buildLimits(
  log: EventLog,
  getNow: () => Instant,
  getMesh: () => PeerMesh,
): LimitTable {
  return new LimitTable(log.write, getNow, Math.random, {
    countVms: () => getMesh().listStaying().length + 1,
    sendLimit: ({id, bornAt}, limit) => {
      const perSecond = limit ?? null;
      const sentAt = Date.now();
      const message = makeLimitedMessage({id, bornAt, perSecond, sentAt});
      getMesh().sendAll(message);
    },
  });
}
