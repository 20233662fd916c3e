import type {VmId} from '@zinniaspindle/shared';
import {hashText} from '../hashing/rendezvous.js';
import type {EndpointNotice, PeerUpdate} from './messages.js';
import {
  maxGossipItemsPerMessage,
  PeerMessageKind,
  PeerState,
} from './messages.js';
import type {Peer, QueuedGossip, Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

const sendsPerDoubling = 4;

/** Updates and notices for one message. */
interface GossipItems {
  readonly updates: PeerUpdate[];
  readonly notices: EndpointNotice[];
}

/** Orders two updates of one VM; above 0 if `a` overrides `b`. */
export function compareUpdates(a: PeerUpdate, b: PeerUpdate): number {
  if (a.startedAt !== b.startedAt) return a.startedAt - b.startedAt;
  if (a.incarnation !== b.incarnation) return a.incarnation - b.incarnation;
  return getPrecedence(a.state) - getPrecedence(b.state);
}

/**
 * Queues an update for the next messages; replaces an older update of the VM.
 */
export function addUpdateGossip(turn: Turn, update: PeerUpdate): void {
  addGossip(turn, formatUpdateKey(update.vm), {update});
}

/**
 * Queues a notice for the next messages; replaces an older one of the source.
 */
export function addNoticeGossip(turn: Turn, notice: EndpointNotice): void {
  addGossip(turn, `endpoint/${notice.endpoint}/${notice.source}`, {notice});
}

/** Takes the least often sent items from the queue for one message. */
export function takeGossip(turn: Turn): GossipItems {
  const queued = [...turn.state.gossipQueue.entries()];
  if (queued.length > maxGossipItemsPerMessage) {
    queued.sort((a, b) => b[1].sendsLeft - a[1].sendsLeft);
  }
  const chosen = queued.slice(0, maxGossipItemsPerMessage);
  for (const [key, item] of chosen) {
    item.sendsLeft -= 1;
    if (item.sendsLeft <= 0) turn.state.gossipQueue.delete(key);
  }
  return buildGossipItems(chosen.map(([, item]) => item));
}

/**
 * Sends gossip to a peer. If the peer is suspect or dead in this view, the
 * update that says so comes first, so that the peer can refute it.
 */
export function sendGossip(turn: Turn, to: Peer): void {
  sendGossipItems(turn, to, takeGossipFor(turn, to));
}

function sendGossipItems(turn: Turn, to: Peer, gossip: GossipItems): void {
  const {updates, notices} = gossip;
  const kind = PeerMessageKind.Gossip;
  const sender = turn.state.self;
  const message = {kind, sender, updates, notices} as const;
  const address = to.update.peerAddress;
  turn.commands.push({kind: MembershipCommandKind.Send, to: address, message});
}

/** Takes gossip for one peer; a suspicion of that peer comes first. */
export function takeGossipFor(turn: Turn, to: Peer): GossipItems {
  const gossip = takeGossip(turn);
  if (isReachable(to.update.state)) return gossip;
  const updates = gossip.updates.filter(update => update.vm !== to.update.vm);
  return {updates: [to.update, ...updates], notices: gossip.notices};
}

/**
 * Pushes items that were not pushed yet to random peers, or to all peers of a
 * small fleet. A push does not count as a transmission, so probes still carry
 * the items to peers that missed it.
 */
export function sendNewGossip(turn: Turn): void {
  if (!turn.state.options.guards.push) return;
  const unpushed: QueuedGossip[] = [];
  for (const item of turn.state.gossipQueue.values()) {
    if (item.pushed) continue;
    item.pushed = true;
    unpushed.push(item);
  }
  if (unpushed.length === 0) return;
  const gossip = buildGossipItems(unpushed.slice(0, maxGossipItemsPerMessage));
  for (const peer of pickPushTargets(turn)) sendGossipItems(turn, peer, gossip);
}

/** Picks distinct random peers that are reachable. */
export function pickPeers(turn: Turn, count: number, except?: Peer): Peer[] {
  const peers = listReachablePeers(turn).filter(peer => peer !== except);
  const picked = Math.min(count, peers.length);
  for (let i = 0; i < picked; i += 1) {
    const other = i + Math.floor(turn.random() * (peers.length - i));
    [peers[i], peers[other]] = [peers[other]!, peers[i]!];
  }
  return peers.slice(0, picked);
}

/** Lists the peers that are alive or leaving. */
export function listReachablePeers(turn: Turn): Peer[] {
  const peers: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (isReachable(peer.update.state)) peers.push(peer);
  }
  return peers;
}

/** Hashes the fields that all views should agree on; 0 for a dead run. */
export function hashUpdate(update: PeerUpdate): number {
  if (update.state === PeerState.Dead || update.startedAt === 0) return 0;
  const {vm, startedAt, incarnation} = update;
  return hashText(`${vm}/${startedAt}/${incarnation}`);
}

/** Hashes a notice; 0 for one that says the endpoint stays. */
export function hashNotice(notice: EndpointNotice): number {
  if (!notice.leaving) return 0;
  return hashText(`${notice.endpoint}/${notice.source}`);
}

/** Formats the queue key for updates of a VM. */
export function formatUpdateKey(vm: VmId): string {
  return `vm/${vm}`;
}

function addGossip(
  turn: Turn,
  key: string,
  item: Pick<QueuedGossip, 'update' | 'notice'>,
): void {
  const fleetSize = turn.state.peers.size + 1;
  const sendsLeft = sendsPerDoubling * Math.ceil(Math.log2(fleetSize + 1));
  turn.state.gossipQueue.set(key, {
    ...item,
    sendsLeft,
    pushed: false,
  });
}

function buildGossipItems(chosen: readonly QueuedGossip[]): GossipItems {
  const gossip: GossipItems = {updates: [], notices: []};
  for (const item of chosen) {
    if (item.update !== undefined) gossip.updates.push(item.update);
    if (item.notice !== undefined) gossip.notices.push(item.notice);
  }
  return gossip;
}

function pickPushTargets(turn: Turn): Peer[] {
  const {pushPeers, pushAllPeers} = turn.state.options;
  if (turn.state.peers.size > pushAllPeers) return pickPeers(turn, pushPeers);
  // A suspect peer may be alive and must not miss the push.
  const targets: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (peer.update.state !== PeerState.Dead) targets.push(peer);
  }
  return targets;
}

function getPrecedence(state: PeerState): number {
  switch (state) {
    case PeerState.Alive:
      return 0;
    case PeerState.Leaving:
      return 1;
    case PeerState.Suspect:
      return 2;
    case PeerState.Dead:
      return 3;
  }
}
