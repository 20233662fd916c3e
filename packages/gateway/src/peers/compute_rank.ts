import {sortByWeight} from '@zinniaspindle/decisions';
import type {Peer} from './peer_mesh.js';

/** What the rank of a VM depends on. */
export type RankedVm = Pick<Peer, 'vm' | 'linkMegabits'>;

/**
 * Computes the place of a VM among those that live, in an order that all VMs
 * compute alike. VMs with the fastest links come first: what the first of them
 * reads is sent on to all others.
 */
export function computeRank(
  own: RankedVm,
  others: readonly RankedVm[],
): number {
  const vms = sortByWeight('reader', [own, ...others], ({vm}) => vm);
  // The sort is stable: VMs with equal links keep the order of their weights.
  vms.sort((a, b) => b.linkMegabits - a.linkMegabits);
  return vms.indexOf(own);
}
