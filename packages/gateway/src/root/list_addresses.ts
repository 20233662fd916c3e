import {pickRanked} from '@zinniaspindle/decisions';
import {PeerPhase} from '../peers/messages.js';
import type {Peer} from '../peers/peer_mesh.js';

type KnownVm = Pick<Peer, 'callerAddress' | 'phase' | 'isReachable'>;

/** Callers use at most this many addresses of an answer. */
const maxAddresses = 64;
/**
 * A VM that can reach a smaller share of its ready peers is probably isolated
 * itself.
 */
const isolationShare = 0.25;

/** Tells whether another VM can be reached and takes requests. */
export function hasReadyPeer(known: readonly KnownVm[]): boolean {
  return known.some(
    ({phase, isReachable}) => phase === PeerPhase.Ready && isReachable,
  );
}

/**
 * Lists the addresses that callers may connect to: those of the ready VMs that
 * are reachable. A VM that is probably isolated lists all ready VMs that it
 * knows, since callers may still reach them.
 */
export function listCallerAddresses(
  ownAddress: string,
  ownPhase: PeerPhase,
  known: readonly KnownVm[],
): string[] {
  const ready = known.filter(({phase}) => phase === PeerPhase.Ready);
  const reachable = ready.filter(({isReachable}) => isReachable);
  const isIsolated = reachable.length < ready.length * isolationShare;
  const listed = isIsolated ? ready : reachable;
  const addresses = listed.map(({callerAddress}) => callerAddress);
  if (ownPhase === PeerPhase.Ready) addresses.unshift(ownAddress);
  if (addresses.length <= maxAddresses) return addresses;
  // Each VM lists a different subset, so that callers spread over all VMs.
  return pickRanked(ownAddress, addresses, maxAddresses);
}
