import type {EndpointId, ListedVm, VmId} from '@zinniaspindle/shared';
import {ListedPurpose, ListedState, toId} from '@zinniaspindle/shared';
import {LeavingSource, PeerState} from './messages.js';
import {applyLocalNotice} from './notices.js';
import {addPeer, removePeer, reportPeer, setPeer} from './peers.js';
import {computeDeadline} from './local_health.js';
import {startProbe} from './probes.js';
import type {Peer, Turn} from './state.js';

const maxSeedProbes = 3;
const unlistedPeerRetentionMilliseconds = 60_000;

/** Applies a read of the VM list, which may be out of date. */
export function handleList(turn: Turn, vms: readonly ListedVm[]): void {
  const listed = new Set<VmId>();
  const seeds: Peer[] = [];
  for (const vm of vms) {
    if (vm.purpose !== ListedPurpose.Entry) continue;
    if (vm.id === turn.state.self.vm) continue;
    listed.add(vm.id);
    const seed = applyListed(turn, vm);
    if (seed !== undefined) seeds.push(seed);
  }
  for (const peer of turn.state.peers.values()) {
    if (!listed.has(peer.update.vm)) applyUnlisted(turn, peer);
  }
  for (const seed of seeds.slice(0, maxSeedProbes)) startProbe(turn, seed);
  handleListedEndpoints(turn, vms);
}

function applyListed(turn: Turn, vm: ListedVm): Peer | undefined {
  let peer = turn.state.peers.get(vm.id);
  let seed: Peer | undefined;
  if (peer === undefined && vm.peerAddress !== undefined) {
    addPeer(turn, makeSeed(vm, vm.peerAddress), 'on the VM list');
    peer = turn.state.peers.get(vm.id);
    seed = peer;
  }
  if (peer === undefined) return undefined;
  peer.listed = true;
  const leaving = vm.state === ListedState.Leaving;
  if (leaving === (peer.listedLeavingSince !== undefined)) return seed;
  peer.listedLeavingSince = leaving ? turn.now : undefined;
  reportPeer(turn, peer);
  return seed;
}

function makeSeed(vm: ListedVm, peerAddress: string) {
  return {
    vm: vm.id,
    startedAt: 0,
    incarnation: 0,
    state: PeerState.Alive,
    peerAddress,
    address: vm.address,
    dataCentre: vm.dataCentre,
  };
}

function applyUnlisted(turn: Turn, peer: Peer): void {
  const {options} = turn.state;
  peer.listed = false;
  peer.listedLeavingSince = undefined;
  if (peer.update.startedAt === 0) {
    removePeer(turn, peer, 'no contact and no longer on the VM list');
  } else if (!options.guards.directContactOverridesList) {
    const update = {...peer.update, state: PeerState.Dead};
    if (peer.update.state !== update.state) {
      setPeer(turn, peer, update, 'not on the VM list');
    }
  } else if (peer.suspectUntil !== undefined) {
    const confirmedUntil = computeDeadline(
      turn,
      options.confirmedSuspicionMilliseconds,
    );
    peer.suspectUntil = Math.min(peer.suspectUntil, confirmedUntil);
  } else if (peer.removeAt !== undefined) {
    const removeAt = turn.now + unlistedPeerRetentionMilliseconds;
    peer.removeAt = Math.min(peer.removeAt, removeAt);
  }
}

/**
 * Applies the endpoints on the VM list. A live endpoint counts as staying only
 * if this VM's previous read listed it as leaving, since the list may lag
 * behind the engine.
 */
function handleListedEndpoints(turn: Turn, vms: readonly ListedVm[]): void {
  const previouslyLeaving = turn.state.listedLeaving;
  const leaving = new Set<EndpointId>();
  const source = LeavingSource.List;
  const time = turn.now;
  for (const vm of vms) {
    if (vm.purpose !== ListedPurpose.Endpoint) continue;
    const endpoint = toId<EndpointId>(vm.id);
    if (vm.state === ListedState.Leaving) {
      leaving.add(endpoint);
      applyLocalNotice(turn, {endpoint, source, leaving: true, time});
    } else if (previouslyLeaving.has(endpoint)) {
      applyLocalNotice(turn, {endpoint, source, leaving: false, time});
    }
  }
  turn.state.listedLeaving = leaving;
}
