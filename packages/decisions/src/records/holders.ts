import type {DataCentreId, RequestId, VmId} from '@zinniaspindle/shared';
import {sortByWeight} from '../hashing/rendezvous.js';
import type {HolderPeer} from './record.js';

/**
 * Sorts the VMs that may hold a request's record, most likely first: the first
 * VM of each data centre by rendezvous weight, then the second of each, and so
 * on. The order is the same at every VM, so that a VM which doesn't know the
 * owner can find the holders.
 */
export function sortHolders(
  request: RequestId,
  peers: readonly HolderPeer[],
): HolderPeer[] {
  const counts = new Map<DataCentreId, number>();
  const ranked = sortByWeight(request, peers, peer => peer.vm).map(peer => {
    const rank = counts.get(peer.dataCentre) ?? 0;
    counts.set(peer.dataCentre, rank + 1);
    return {peer, rank};
  });
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.map(({peer}) => peer);
}

/**
 * Sorts the VMs that an owner asks to hold a record: those in other data
 * centres first, cycling through the data centres.
 */
export function sortHoldersForOwner(
  request: RequestId,
  own: HolderPeer,
  peers: readonly HolderPeer[],
): VmId[] {
  const others = peers.filter(peer => peer.vm !== own.vm);
  const sorted = sortHolders(request, others);
  const remote = sorted.filter(peer => peer.dataCentre !== own.dataCentre);
  const local = sorted.filter(peer => peer.dataCentre === own.dataCentre);
  return [...remote, ...local].map(peer => peer.vm);
}
