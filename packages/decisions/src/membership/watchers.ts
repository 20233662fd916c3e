import type {EndpointId, VmId} from '@zinniaspindle/shared';
import {sortByWeight} from '../hashing/rendezvous.js';

/**
 * Chooses the VMs that poll an endpoint's load report. Every VM with the same
 * list of peers chooses the same ones.
 */
export function chooseWatchers(
  endpoint: EndpointId,
  peers: readonly VmId[],
  count: number,
): VmId[] {
  return sortByWeight(endpoint, peers, vm => vm).slice(0, count);
}
