import {pickRanked} from '@zinniaspindle/decisions';
import {PeerPhase} from '../peers/messages.js';
import type {Peer} from '../peers/peer_mesh.js';

/** Addresses that callers take from one answer. */
const maxAddresses = 64;
/** Below this share of heard peers, this VM itself is likely cut off. */
const cutOffShare = 0.25;

/**
 * Lists where callers may connect: the ready VMs that are heard. A VM that
 * hears hardly any peer names all it knows, since callers may reach them.
 */
export function listCallerAddresses(
  ownAddress: string,
  ownPhase: PeerPhase,
  known: readonly Pick<Peer, 'callerAddress' | 'phase' | 'isReachable'>[],
): string[] {
  const ready = known.filter(({phase}) => phase === PeerPhase.Ready);
  const heard = ready.filter(({isReachable}) => isReachable);
  const isCutOff = heard.length < ready.length * cutOffShare;
  const listed = isCutOff ? ready : heard;
  const addresses = listed.map(({callerAddress}) => callerAddress);
  if (ownPhase === PeerPhase.Ready) addresses.unshift(ownAddress);
  if (addresses.length <= maxAddresses) return addresses;
  // Each VM names others, so that callers spread over all.
  return pickRanked(ownAddress, addresses, maxAddresses);
}
