import {MembershipEvent} from '@zinniaspindle/shared';
import type {PeerUpdate, VmRun} from './messages.js';
import {PeerState} from './messages.js';
import {
  addUpdateGossip,
  compareUpdates,
  hashUpdate,
  sendNewGossip,
  sendGossip,
} from './gossip.js';
import {isIsolated, computeDeadline} from './local_health.js';
import type {Peer, Turn} from './state.js';
import {
  getEffectiveState,
  isReachable,
  MembershipCommandKind,
} from './state.js';

const suspicionGossipMilliseconds = 500;
const stateEvents = {
  [PeerState.Alive]: MembershipEvent.PeerAlive,
  [PeerState.Dead]: MembershipEvent.PeerDead,
  [PeerState.Leaving]: MembershipEvent.PeerLeaving,
  [PeerState.Suspect]: MembershipEvent.PeerSuspect,
} as const;

/** Applies an update about a VM from a message. */
export function applyUpdate(
  turn: Turn,
  update: PeerUpdate,
  reason: string,
): void {
  if (update.vm === turn.state.self.vm) {
    handleOwnUpdate(turn, update);
    return;
  }
  const peer = turn.state.peers.get(update.vm);
  if (peer === undefined) {
    addPeer(turn, update, reason);
    return;
  }
  if (update.startedAt !== peer.update.startedAt) {
    swapRun(turn, peer, update);
    return;
  }
  if (compareUpdates(update, peer.update) <= 0) return;
  applyNewerUpdate(turn, peer, update, reason);
}

/** Records contact with a run; returns false if the run is old or unknown. */
export function recordContact(turn: Turn, run: VmRun): boolean {
  const {state, now} = turn;
  const peer = state.peers.get(run.vm);
  if (peer === undefined || peer.update.startedAt !== run.startedAt) {
    return false;
  }
  peer.lastContactAt = now;
  state.anyContactAt = now;
  if (state.isolated) handleContactRegained(turn, peer);
  if (isReachable(peer.update.state)) return true;
  if (now >= peer.nextSuspicionGossipAt) {
    peer.nextSuspicionGossipAt = now + suspicionGossipMilliseconds;
    sendGossip(turn, peer);
  }
  return true;
}

/** Marks a reachable peer as suspect. */
export function applySuspicion(turn: Turn, peer: Peer, reason: string): void {
  if (!isReachable(peer.update.state)) return;
  const state = turn.state.options.guards.suspicion
    ? PeerState.Suspect
    : PeerState.Dead;
  setPeer(turn, peer, {...peer.update, state}, reason);
}

/**
 * Applies expired suspicions and removes peers that have been dead for long.
 */
export function expirePeers(turn: Turn): void {
  for (const peer of turn.state.peers.values()) {
    if (peer.suspectUntil !== undefined && turn.now >= peer.suspectUntil) {
      expireSuspicion(turn, peer);
    }
    if (peer.removeAt !== undefined && turn.now >= peer.removeAt) {
      removePeer(turn, peer, 'retention of the dead peer expired');
    }
  }
}

/** Removes a peer from the view. */
export function removePeer(turn: Turn, peer: Peer, reason: string): void {
  const {vm} = peer.update;
  turn.state.peers.delete(vm);
  turn.state.viewHash ^= hashUpdate(peer.update);
  turn.commands.push({kind: MembershipCommandKind.PeerRemoved, vm});
  const fields = {peer: vm, reason};
  turn.logEvents.push({event: MembershipEvent.PeerRemoved, fields});
}

/** Adds a peer to the view. */
export function addPeer(turn: Turn, update: PeerUpdate, reason: string): void {
  if (update.state === PeerState.Dead) return;
  const peer: Peer = {
    update: {...update, state: PeerState.Dead},
    lastContactAt: undefined,
    suspectedAt: undefined,
    suspectUntil: undefined,
    removeAt: undefined,
    listed: false,
    listedLeavingSince: undefined,
    lastReachableState: PeerState.Alive,
    withheld: false,
    nextSuspicionGossipAt: turn.now,
  };
  turn.state.peers.set(update.vm, peer);
  const fields = {peer: update.vm, address: update.peerAddress, reason};
  turn.logEvents.push({event: MembershipEvent.PeerJoined, fields});
  setPeer(turn, peer, update, reason);
}

/**
 * Sets a peer's state, reports it to the host, and gossips it unless isolated.
 */
export function setPeer(
  turn: Turn,
  peer: Peer,
  update: PeerUpdate,
  reason: string,
): void {
  const {state, now} = turn;
  state.viewHash ^= hashUpdate(peer.update) ^ hashUpdate(update);
  if (hashUpdate(peer.update) !== hashUpdate(update)) state.viewChangedAt = now;
  peer.update = update;
  if (isReachable(update.state)) peer.lastReachableState = update.state;
  setDeadlines(turn, peer);
  peer.withheld = !isReachable(update.state) && isIsolated(turn);
  if (!peer.withheld && update.startedAt > 0) addUpdateGossip(turn, update);
  reportPeer(turn, peer);
  const fields = {peer: update.vm, reason};
  turn.logEvents.push({event: stateEvents[update.state], fields});
}

/** Reports a peer's state to the host. */
export function reportPeer(turn: Turn, peer: Peer): void {
  turn.commands.push({
    kind: MembershipCommandKind.PeerChanged,
    peer: peer.update,
    state: getEffectiveState(peer),
  });
}

function setDeadlines(turn: Turn, peer: Peer): void {
  const {now, state} = turn;
  const {options} = state;
  peer.suspectedAt = undefined;
  peer.suspectUntil = undefined;
  peer.removeAt = undefined;
  if (peer.update.state === PeerState.Suspect) {
    const growth = Math.max(1, Math.log10(state.peers.size + 1));
    const length = options.suspicionMilliseconds * growth;
    peer.suspectedAt = now;
    peer.suspectUntil = computeDeadline(turn, length);
  }
  if (peer.update.state === PeerState.Dead) {
    peer.removeAt = now + options.deadPeerRetentionMilliseconds;
  }
}

function swapRun(turn: Turn, peer: Peer, update: PeerUpdate): void {
  const previousStart = peer.update.startedAt;
  const supersedes = update.startedAt > previousStart;
  if (!supersedes && turn.state.options.guards.runSupersession) return;
  if (update.state === PeerState.Dead) return;
  peer.lastContactAt = undefined;
  // A peer known only from the VM list has no start time, so it is not
  // replaced.
  if (previousStart > 0) {
    const fields = {
      peer: update.vm,
      startedAt: update.startedAt,
      before: previousStart,
    };
    turn.logEvents.push({event: MembershipEvent.PeerReplaced, fields});
  }
  setPeer(turn, peer, update, 'later run');
}

function applyNewerUpdate(
  turn: Turn,
  peer: Peer,
  update: PeerUpdate,
  reason: string,
): void {
  if (update.state !== PeerState.Dead) {
    setPeer(turn, peer, update, reason);
    return;
  }
  // A peer's report of a death only makes the VM suspect here, so that it can
  // still answer in time, and so that deaths declared during a partition do not
  // spread after it heals.
  const {confirmedSuspicionMilliseconds} = turn.state.options;
  const incarnation = update.incarnation;
  const raised = incarnation > peer.update.incarnation;
  if (isReachable(peer.update.state) || raised) {
    setPeer(turn, peer, {...update, state: PeerState.Suspect}, reason);
  }
  if (peer.suspectUntil === undefined) return;
  const confirmedUntil = computeDeadline(turn, confirmedSuspicionMilliseconds);
  peer.suspectUntil = Math.min(peer.suspectUntil, confirmedUntil);
}

function expireSuspicion(turn: Turn, peer: Peer): void {
  const since = peer.suspectedAt ?? turn.now;
  const contacted =
    peer.lastContactAt !== undefined && peer.lastContactAt > since;
  if (!contacted) {
    const update = {...peer.update, state: PeerState.Dead};
    setPeer(turn, peer, update, 'suspicion not refuted');
    return;
  }
  const extension = turn.state.options.confirmedSuspicionMilliseconds;
  peer.suspectedAt = turn.now;
  peer.suspectUntil = computeDeadline(turn, extension);
  sendGossip(turn, peer);
}

function handleOwnUpdate(turn: Turn, update: PeerUpdate): void {
  const {state} = turn;
  if (update.startedAt > state.self.startedAt) {
    reportOwnRunSuperseded(turn, update);
    return;
  }
  const suspected = !isReachable(update.state);
  const current =
    update.startedAt === state.self.startedAt &&
    update.incarnation >= state.self.incarnation;
  if (!suspected || !current || !state.options.guards.refutation) return;
  const incarnation = update.incarnation + 1;
  setOwnUpdate(turn, {...state.self, incarnation});
  const fields = {state: update.state, incarnation};
  turn.logEvents.push({event: MembershipEvent.SuspicionRefuted, fields});
  sendNewGossip(turn);
}

/** Replaces this VM's own update and queues it for gossip. */
export function setOwnUpdate(turn: Turn, update: PeerUpdate): void {
  const {state} = turn;
  state.viewHash ^= hashUpdate(state.self) ^ hashUpdate(update);
  state.viewChangedAt = turn.now;
  state.self = update;
  addUpdateGossip(turn, update);
}

function reportOwnRunSuperseded(turn: Turn, update: PeerUpdate): void {
  if (turn.state.superseded) return;
  turn.state.superseded = true;
  turn.commands.push({kind: MembershipCommandKind.OwnRunSuperseded});
  const fields = {startedAt: update.startedAt};
  turn.logEvents.push({event: MembershipEvent.OwnRunSuperseded, fields});
}

function handleContactRegained(turn: Turn, contact: Peer): void {
  turn.state.isolated = false;
  const fields = {peer: contact.update.vm};
  turn.logEvents.push({event: MembershipEvent.IsolationEnded, fields});
  for (const peer of turn.state.peers.values()) {
    if (!peer.withheld) continue;
    const state = peer.lastReachableState;
    setPeer(
      turn,
      peer,
      {...peer.update, state},
      'suspicion during isolation withdrawn',
    );
  }
}
