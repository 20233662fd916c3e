import type {PingMessage, PingRequestMessage} from './messages.js';
import {PeerMessageKind} from './messages.js';
import {pickPeers, takeNews, takeNewsFor} from './news.js';
import {applySuspicion} from './peers.js';
import {computeDeadline} from './patience.js';
import type {Peer, Probe, Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

/** Starts the probes that are due and judges those that expired. */
export function runProbes(turn: Turn): void {
  expireProbes(turn);
  expireRelays(turn);
  const {state, now} = turn;
  if (now >= state.nextProbeAt) {
    state.nextProbeAt = now + state.options.probePeriodMilliseconds;
    const peer = takeNextPeer(turn);
    if (peer !== undefined) startProbe(turn, peer);
  }
  if (now < state.nextLostProbeAt) return;
  state.nextLostProbeAt =
    now + state.options.unreachableProbePeriodMilliseconds;
  probeLostPeer(turn);
}

/** Starts a probe of a peer. */
export function startProbe(turn: Turn, peer: Peer): void {
  const sequence = takeSequence(turn);
  turn.state.probes.set(sequence, {
    vm: peer.update.vm,
    startedAt: peer.update.startedAt,
    indirect: false,
    expiresAt: computeDeadline(
      turn,
      turn.state.options.directProbeTimeoutMilliseconds,
    ),
  });
  sendPing(turn, peer, sequence);
}

/** Ends the probe, or the relayed probe, that an Ack answers. */
export function handleProbeAck(turn: Turn, sequence: number): void {
  turn.state.probes.delete(sequence);
  const relay = turn.state.relays.get(sequence);
  if (relay === undefined) return;
  turn.state.relays.delete(sequence);
  sendAck(turn, relay.askerAddress, relay.askerSequence);
}

/** Sends an Ack to an address. */
export function sendAck(
  turn: Turn,
  to: string,
  sequence: number,
  peer?: Peer,
): void {
  const news = peer === undefined ? takeNews(turn) : takeNewsFor(turn, peer);
  const {self, view} = turn.state;
  const kind = PeerMessageKind.Ack;
  const message = {kind, sender: self, ...news, sequence, view} as const;
  turn.commands.push({kind: MembershipCommandKind.Send, to, message});
}

/** Probes a peer in the place of another VM. */
export function handlePingRequest(
  turn: Turn,
  request: PingRequestMessage,
): void {
  const sequence = takeSequence(turn);
  turn.state.relays.set(sequence, {
    askerAddress: request.sender.peerAddress,
    askerSequence: request.sequence,
    expiresAt: turn.now + turn.state.options.indirectProbeTimeoutMilliseconds,
  });
  const message: PingMessage = {
    kind: PeerMessageKind.Ping,
    sender: turn.state.self,
    ...takeNews(turn),
    sequence,
    view: turn.state.view,
  };
  const kind = MembershipCommandKind.Send;
  turn.commands.push({kind, to: request.target, message});
}

function sendPing(turn: Turn, peer: Peer, sequence: number): void {
  const message: PingMessage = {
    kind: PeerMessageKind.Ping,
    sender: turn.state.self,
    ...takeNewsFor(turn, peer),
    sequence,
    view: turn.state.view,
  };
  const to = peer.update.peerAddress;
  turn.commands.push({kind: MembershipCommandKind.Send, to, message});
}

function expireProbes(turn: Turn): void {
  for (const [sequence, probe] of turn.state.probes) {
    if (turn.now < probe.expiresAt) continue;
    const peer = turn.state.peers.get(probe.vm);
    const current = peer?.update.startedAt === probe.startedAt;
    if (peer === undefined || !current || !isReachable(peer.update.state)) {
      turn.state.probes.delete(sequence);
    } else if (!probe.indirect && turn.state.options.guards.indirectProbes) {
      sendIndirect(turn, peer, sequence, probe);
    } else {
      turn.state.probes.delete(sequence);
      applySuspicion(turn, peer, 'no answer to probes');
    }
  }
}

function sendIndirect(
  turn: Turn,
  peer: Peer,
  sequence: number,
  probe: Probe,
): void {
  const {options, self} = turn.state;
  probe.indirect = true;
  probe.expiresAt = computeDeadline(
    turn,
    options.indirectProbeTimeoutMilliseconds,
  );
  sendPing(turn, peer, sequence);
  const target = peer.update.peerAddress;
  for (const helper of pickPeers(turn, options.indirectProbePeers, peer)) {
    const message: PingRequestMessage = {
      kind: PeerMessageKind.PingRequest,
      sender: self,
      ...takeNews(turn),
      sequence,
      target,
    };
    const to = helper.update.peerAddress;
    turn.commands.push({kind: MembershipCommandKind.Send, to, message});
  }
}

function expireRelays(turn: Turn): void {
  for (const [sequence, relay] of turn.state.relays) {
    if (turn.now >= relay.expiresAt) turn.state.relays.delete(sequence);
  }
}

function takeNextPeer(turn: Turn): Peer | undefined {
  const {state} = turn;
  if (state.probeOrder.length === 0) {
    const all = pickPeers(turn, state.peers.size);
    state.probeOrder = all.map(peer => peer.update.vm);
  }
  for (;;) {
    const vm = state.probeOrder.pop();
    if (vm === undefined) return undefined;
    const peer = state.peers.get(vm);
    if (peer !== undefined && isReachable(peer.update.state)) return peer;
  }
}

function probeLostPeer(turn: Turn): void {
  const lost: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (!isReachable(peer.update.state)) lost.push(peer);
  }
  const peer = lost[Math.floor(turn.random() * lost.length)];
  if (peer !== undefined) sendPing(turn, peer, takeSequence(turn));
}

function takeSequence(turn: Turn): number {
  const sequence = turn.state.nextSequence;
  turn.state.nextSequence += 1;
  return sequence;
}
