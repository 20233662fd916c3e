import type {VmId} from '@zinniaspindle/shared';
import {hashText} from '../hashing/rendezvous.js';
import type {EndpointNotice, PeerUpdate} from './messages.js';
import {maxNewsPerMessage, PeerMessageKind, PeerState} from './messages.js';
import type {Peer, QueuedNews, Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

const sendsPerDoubling = 4;

/** The news that one message carries. */
interface News {
  readonly updates: PeerUpdate[];
  readonly notices: EndpointNotice[];
}

/** Compares what is said of one VM: above 0 when `a` holds over `b`. */
export function compareUpdates(a: PeerUpdate, b: PeerUpdate): number {
  if (a.startedAt !== b.startedAt) return a.startedAt - b.startedAt;
  if (a.incarnation !== b.incarnation) return a.incarnation - b.incarnation;
  return getRank(a.state) - getRank(b.state);
}

/** Queues an update for every later message; replaces an older one. */
export function addUpdateNews(turn: Turn, update: PeerUpdate): void {
  addNews(turn, formatUpdateKey(update.vm), {update});
}

/** Queues a notice for every later message; replaces an older one. */
export function addNoticeNews(turn: Turn, notice: EndpointNotice): void {
  addNews(turn, `endpoint/${notice.endpoint}/${notice.source}`, {notice});
}

/** Takes the least often sent news for one message. */
export function takeNews(turn: Turn): News {
  const queued = [...turn.state.queue.entries()];
  if (queued.length > maxNewsPerMessage) {
    queued.sort((a, b) => b[1].sendsLeft - a[1].sendsLeft);
  }
  const chosen = queued.slice(0, maxNewsPerMessage);
  for (const [key, item] of chosen) {
    item.sendsLeft -= 1;
    if (item.sendsLeft <= 0) turn.state.queue.delete(key);
  }
  return buildNews(chosen.map(([, item]) => item));
}

/** Sends news to a peer, with an accusation of it first, if there is one. */
export function sendGossip(turn: Turn, to: Peer): void {
  sendNews(turn, to, takeNewsFor(turn, to));
}

function sendNews(turn: Turn, to: Peer, news: News): void {
  const {updates, notices} = news;
  const kind = PeerMessageKind.Gossip;
  const sender = turn.state.self;
  const message = {kind, sender, updates, notices} as const;
  const address = to.update.peerAddress;
  turn.commands.push({kind: MembershipCommandKind.Send, to: address, message});
}

/** Takes news for one peer; what is held against it comes first. */
export function takeNewsFor(turn: Turn, to: Peer): News {
  const news = takeNews(turn);
  if (isReachable(to.update.state)) return news;
  const updates = news.updates.filter(update => update.vm !== to.update.vm);
  return {updates: [to.update, ...updates], notices: news.notices};
}

/**
 * Pushes news that was not pushed yet to some peers, or to all of few. Pushes
 * do not count as sends: probes carry the news on to those that missed them.
 */
export function sendFreshNews(turn: Turn): void {
  if (!turn.state.options.guards.push) return;
  const fresh: QueuedNews[] = [];
  for (const news of turn.state.queue.values()) {
    if (news.pushed) continue;
    news.pushed = true;
    fresh.push(news);
  }
  if (fresh.length === 0) return;
  const news = buildNews(fresh.slice(0, maxNewsPerMessage));
  for (const peer of pickPushTargets(turn)) sendNews(turn, peer, news);
}

/** Picks distinct random peers that are in use. */
export function pickPeers(turn: Turn, count: number, except?: Peer): Peer[] {
  const peers = listPeersInUse(turn).filter(peer => peer !== except);
  const picked = Math.min(count, peers.length);
  for (let i = 0; i < picked; i += 1) {
    const other = i + Math.floor(turn.random() * (peers.length - i));
    [peers[i], peers[other]] = [peers[other]!, peers[i]!];
  }
  return peers.slice(0, picked);
}

/** Lists the peers that are alive or leaving. */
export function listPeersInUse(turn: Turn): Peer[] {
  const peers: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (isReachable(peer.update.state)) peers.push(peer);
  }
  return peers;
}

/** Hashes what all VMs should hold of a run; dead runs count as absent. */
export function hashUpdate(update: PeerUpdate): number {
  if (update.state === PeerState.Dead || update.startedAt === 0) return 0;
  const {vm, startedAt, incarnation} = update;
  return hashText(`${vm}/${startedAt}/${incarnation}`);
}

/** Hashes a standing notice. */
export function hashNotice(notice: EndpointNotice): number {
  if (!notice.leaving) return 0;
  return hashText(`${notice.endpoint}/${notice.source}`);
}

/** Formats the key of the news on a VM. */
export function formatUpdateKey(vm: VmId): string {
  return `vm/${vm}`;
}

function addNews(
  turn: Turn,
  key: string,
  item: Pick<QueuedNews, 'update' | 'notice'>,
): void {
  const fleet = turn.state.peers.size + 1;
  const sendsLeft = sendsPerDoubling * Math.ceil(Math.log2(fleet + 1));
  turn.state.queue.set(key, {...item, sendsLeft, pushed: false});
}

function buildNews(chosen: readonly QueuedNews[]): News {
  const news: News = {updates: [], notices: []};
  for (const item of chosen) {
    if (item.update !== undefined) news.updates.push(item.update);
    if (item.notice !== undefined) news.notices.push(item.notice);
  }
  return news;
}

function pickPushTargets(turn: Turn): Peer[] {
  const {pushPeers, pushAllPeers} = turn.state.options;
  if (turn.state.peers.size > pushAllPeers) return pickPeers(turn, pushPeers);
  // A suspect peer may well be alive, and must not miss what is pushed.
  const targets: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (peer.update.state !== PeerState.Dead) targets.push(peer);
  }
  return targets;
}

function getRank(state: PeerState): number {
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
