import {sortByWeight} from '@zinniaspindle/decisions';
import type {Peer} from './peer_mesh.js';

/** The properties of a VM that determine its rank. */
export type RankedVm = Pick<Peer, 'vm' | 'linkMegabits'>;

/**
 * Computes the rank of a VM among the live VMs, 0 for the first; all VMs
 * compute the same order. VMs with the fastest links come first, because the
 * first VM reads from the store and forwards the records to all others.
 */
export function computeRank(
  own: RankedVm,
  others: readonly RankedVm[],
): number {
  const vms = sortByWeight('reader', [own, ...others], ({vm}) => vm);
  // The sort is stable, so VMs with equal links stay ordered by weight.
  vms.sort((a, b) => b.linkMegabits - a.linkMegabits);
  return vms.indexOf(own);
}
