import {
  defaultEntryOptions,
  pickEntries,
  pickRanked,
  type EntryVm,
} from '@zinniaspindle/decisions';
import type {Random} from '@zinniaspindle/shared';
import {PeerPhase} from '../peers/messages.js';
import type {Peer} from '../peers/peer_mesh.js';

type KnownVm = Pick<Peer, 'callerAddress' | 'phase' | 'isReachable' | 'cores'>;

/**
 * A VM that can reach a smaller share of its ready peers is probably isolated
 * itself.
 */
const isolationShare = 0.25;

/**
 * Computes the share of the other VMs that take no requests or cannot be
 * reached; 1 when there are none.
 */
export function computeRefusingShare(known: readonly KnownVm[]): number {
  if (known.length === 0) return 1;
  const ready = known.filter(
    ({phase, isReachable}) => phase === PeerPhase.Ready && isReachable,
  );
  return 1 - ready.length / known.length;
}

/**
 * Lists the addresses that callers may connect to: those of the ready VMs that
 * are reachable, the faster ones more often. A VM that is probably isolated lists
 * all ready VMs that it knows, since callers may still reach them. While no VM is
 * ready, those that are leaving are listed, which still serve what they can finish.
 */
export function listCallerAddresses(
  own: EntryVm,
  ownPhase: PeerPhase,
  known: readonly KnownVm[],
  random: Random,
): string[] {
  const ready = known.filter(({phase}) => phase === PeerPhase.Ready);
  const reachable = ready.filter(({isReachable}) => isReachable);
  const isIsolated = reachable.length < ready.length * isolationShare;
  const listed = isIsolated ? ready : reachable;
  const vms = listed.map(toEntry);
  if (ownPhase === PeerPhase.Ready) vms.unshift(own);
  if (vms.length === 0) return listLeaving(own.address, ownPhase, known);
  const picked = pickEntries(vms, random);
  if (picked !== undefined) return picked;
  const addresses = vms.map(({address}) => address);
  const {maxEntries} = defaultEntryOptions;
  if (addresses.length <= maxEntries) return addresses;
  // Each VM lists a different subset, so that callers spread over all VMs.
  return pickRanked(own.address, addresses, maxEntries);
}

function toEntry({callerAddress: address, cores}: KnownVm): EntryVm {
  return {address, cores};
}

function listLeaving(
  ownAddress: string,
  ownPhase: PeerPhase,
  known: readonly KnownVm[],
): string[] {
  const leaving = known.filter(
    ({phase, isReachable}) => phase === PeerPhase.Leaving && isReachable,
  );
  const addresses = leaving.map(({callerAddress}) => callerAddress);
  if (ownPhase === PeerPhase.Leaving) addresses.unshift(ownAddress);
  return addresses;
}
