import {MembershipEvent} from '@zinniaspindle/shared';
import type {PeerUpdate, VmRun} from './messages.js';
import {PeerState} from './messages.js';
import {
  addUpdateNews,
  compareUpdates,
  hashUpdate,
  sendFreshNews,
  sendGossip,
} from './news.js';
import {isIsolated, computeDeadline} from './patience.js';
import type {Peer, Turn} from './state.js';
import {
  getEffectiveState,
  isReachable,
  MembershipCommandKind,
} from './state.js';

const accusationMilliseconds = 500;
const stateEvents = {
  [PeerState.Alive]: MembershipEvent.PeerAlive,
  [PeerState.Dead]: MembershipEvent.PeerDead,
  [PeerState.Leaving]: MembershipEvent.PeerLeaving,
  [PeerState.Suspect]: MembershipEvent.PeerSuspect,
} as const;

/** Takes in what a message says of a VM. */
export function applyUpdate(
  turn: Turn,
  update: PeerUpdate,
  reason: string,
): void {
  if (update.vm === turn.state.self.vm) {
    answerOwnUpdate(turn, update);
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
  applyNewer(turn, peer, update, reason);
}

/** Notes that a run was heard; false when the run is old or unknown. */
export function recordHearing(turn: Turn, run: VmRun): boolean {
  const {state, now} = turn;
  const peer = state.peers.get(run.vm);
  if (peer === undefined || peer.update.startedAt !== run.startedAt) {
    return false;
  }
  peer.heardAt = now;
  state.lastHeardAt = now;
  if (state.isolated) handleContact(turn, peer);
  if (isReachable(peer.update.state)) return true;
  if (now >= peer.nextAccusationAt) {
    peer.nextAccusationAt = now + accusationMilliseconds;
    sendGossip(turn, peer);
  }
  return true;
}

/** Turns a peer suspect, unless it already is or is dead. */
export function applySuspicion(turn: Turn, peer: Peer, reason: string): void {
  if (!isReachable(peer.update.state)) return;
  const state = turn.state.options.guards.suspicion
    ? PeerState.Suspect
    : PeerState.Dead;
  setPeer(turn, peer, {...peer.update, state}, reason);
}

/** Ends suspicions and memories whose time has come. */
export function expirePeers(turn: Turn): void {
  for (const peer of turn.state.peers.values()) {
    if (peer.suspectUntil !== undefined && turn.now >= peer.suspectUntil) {
      expireSuspicion(turn, peer);
    }
    if (peer.forgetAt !== undefined && turn.now >= peer.forgetAt) {
      dropPeer(turn, peer, 'dead for long');
    }
  }
}

/** Removes a peer from the view. */
export function dropPeer(turn: Turn, peer: Peer, reason: string): void {
  const {vm} = peer.update;
  turn.state.peers.delete(vm);
  turn.state.view ^= hashUpdate(peer.update);
  turn.commands.push({kind: MembershipCommandKind.PeerForgotten, vm});
  const fields = {peer: vm, reason};
  turn.logEvents.push({event: MembershipEvent.PeerRemoved, fields});
}

/** Adds a peer to the view. */
export function addPeer(turn: Turn, update: PeerUpdate, reason: string): void {
  if (update.state === PeerState.Dead) return;
  const peer: Peer = {
    update: {...update, state: PeerState.Dead},
    heardAt: undefined,
    suspectedAt: undefined,
    suspectUntil: undefined,
    forgetAt: undefined,
    listed: false,
    listedLeavingSince: undefined,
    inUseState: PeerState.Alive,
    unshared: false,
    nextAccusationAt: turn.now,
  };
  turn.state.peers.set(update.vm, peer);
  const fields = {peer: update.vm, address: update.peerAddress, reason};
  turn.logEvents.push({event: MembershipEvent.PeerJoined, fields});
  setPeer(turn, peer, update, reason);
}

/** Gives a peer a new state: tells the host, and peers unless cut off. */
export function setPeer(
  turn: Turn,
  peer: Peer,
  update: PeerUpdate,
  reason: string,
): void {
  const {state, now} = turn;
  state.view ^= hashUpdate(peer.update) ^ hashUpdate(update);
  if (hashUpdate(peer.update) !== hashUpdate(update)) state.changedAt = now;
  peer.update = update;
  if (isReachable(update.state)) peer.inUseState = update.state;
  setDeadlines(turn, peer);
  peer.unshared = !isReachable(update.state) && isIsolated(turn);
  if (!peer.unshared && update.startedAt > 0) addUpdateNews(turn, update);
  reportPeer(turn, peer);
  const fields = {peer: update.vm, reason};
  turn.logEvents.push({event: stateEvents[update.state], fields});
}

/** Tells the host of a peer's state. */
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
  peer.forgetAt = undefined;
  if (peer.update.state === PeerState.Suspect) {
    const growth = Math.max(1, Math.log10(state.peers.size + 1));
    const length = options.suspicionMilliseconds * growth;
    peer.suspectedAt = now;
    peer.suspectUntil = computeDeadline(turn, length);
  }
  if (peer.update.state === PeerState.Dead) {
    peer.forgetAt = now + options.deadPeerRetentionMilliseconds;
  }
}

function swapRun(turn: Turn, peer: Peer, update: PeerUpdate): void {
  const before = peer.update.startedAt;
  const supersedes = update.startedAt > before;
  if (!supersedes && turn.state.options.guards.runSupersession) return;
  if (update.state === PeerState.Dead) return;
  peer.heardAt = undefined;
  // A VM that only the list named was no run yet.
  if (before > 0) {
    const fields = {peer: update.vm, startedAt: update.startedAt, before};
    turn.logEvents.push({event: MembershipEvent.PeerReplaced, fields});
  }
  setPeer(turn, peer, update, 'later run');
}

function applyNewer(
  turn: Turn,
  peer: Peer,
  update: PeerUpdate,
  reason: string,
): void {
  if (update.state !== PeerState.Dead) {
    setPeer(turn, peer, update, reason);
    return;
  }
  // A verdict of others is only a suspicion here, so that an answer in time
  // still counts, and so that a healed partition does not spread deaths.
  const {confirmedSuspicionMilliseconds} = turn.state.options;
  const incarnation = update.incarnation;
  const raised = incarnation > peer.update.incarnation;
  if (isReachable(peer.update.state) || raised) {
    setPeer(turn, peer, {...update, state: PeerState.Suspect}, reason);
  }
  if (peer.suspectUntil === undefined) return;
  const confirmed = computeDeadline(turn, confirmedSuspicionMilliseconds);
  peer.suspectUntil = Math.min(peer.suspectUntil, confirmed);
}

function expireSuspicion(turn: Turn, peer: Peer): void {
  const since = peer.suspectedAt ?? turn.now;
  const heard = peer.heardAt !== undefined && peer.heardAt > since;
  if (!heard) {
    const update = {...peer.update, state: PeerState.Dead};
    setPeer(turn, peer, update, 'suspicion not refuted');
    return;
  }
  const extension = turn.state.options.confirmedSuspicionMilliseconds;
  peer.suspectedAt = turn.now;
  peer.suspectUntil = computeDeadline(turn, extension);
  sendGossip(turn, peer);
}

function answerOwnUpdate(turn: Turn, update: PeerUpdate): void {
  const {state} = turn;
  if (update.startedAt > state.self.startedAt) {
    answerSuperseded(turn, update);
    return;
  }
  const accused = !isReachable(update.state);
  const current =
    update.startedAt === state.self.startedAt &&
    update.incarnation >= state.self.incarnation;
  if (!accused || !current || !state.options.guards.refutation) return;
  const incarnation = update.incarnation + 1;
  setOwn(turn, {...state.self, incarnation});
  const fields = {state: update.state, incarnation};
  turn.logEvents.push({event: MembershipEvent.SuspicionRefuted, fields});
  sendFreshNews(turn);
}

/** Changes what this VM says of itself and queues it for the peers. */
export function setOwn(turn: Turn, update: PeerUpdate): void {
  const {state} = turn;
  state.view ^= hashUpdate(state.self) ^ hashUpdate(update);
  state.changedAt = turn.now;
  state.self = update;
  addUpdateNews(turn, update);
}

function answerSuperseded(turn: Turn, update: PeerUpdate): void {
  if (turn.state.superseded) return;
  turn.state.superseded = true;
  turn.commands.push({kind: MembershipCommandKind.OwnRunSuperseded});
  const fields = {startedAt: update.startedAt};
  turn.logEvents.push({event: MembershipEvent.OwnRunSuperseded, fields});
}

function handleContact(turn: Turn, heard: Peer): void {
  turn.state.isolated = false;
  const fields = {peer: heard.update.vm};
  turn.logEvents.push({event: MembershipEvent.IsolationEnded, fields});
  for (const peer of turn.state.peers.values()) {
    if (!peer.unshared) continue;
    const state = peer.inUseState;
    setPeer(turn, peer, {...peer.update, state}, 'judged while cut off');
  }
}
