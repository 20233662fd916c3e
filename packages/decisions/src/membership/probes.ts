import type {PingMessage, PingRequestMessage} from './messages.js';
import {PeerMessageKind} from './messages.js';
import {pickPeers, takeGossip, takeGossipFor} from './gossip.js';
import {applySuspicion} from './peers.js';
import {computeDeadline} from './local_health.js';
import type {Peer, Probe, Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

/** Starts due probes and handles expired ones. */
export function runProbes(turn: Turn): void {
  expireProbes(turn);
  expireRelayedProbes(turn);
  const {state, now} = turn;
  if (now >= state.nextProbeAt) {
    state.nextProbeAt = now + state.options.probePeriodMilliseconds;
    const peer = takeNextPeer(turn);
    if (peer !== undefined) startProbe(turn, peer);
  }
  if (now < state.nextUnreachableProbeAt) return;
  state.nextUnreachableProbeAt =
    now + state.options.unreachableProbePeriodMilliseconds;
  probeUnreachablePeer(turn);
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

/** Completes the probe or relayed probe that an Ack answers. */
export function handleProbeAck(turn: Turn, sequence: number): void {
  turn.state.probes.delete(sequence);
  const relay = turn.state.relayedProbes.get(sequence);
  if (relay === undefined) return;
  turn.state.relayedProbes.delete(sequence);
  sendAck(turn, relay.requesterAddress, relay.requesterSequence);
}

/** Sends an Ack to an address. */
export function sendAck(
  turn: Turn,
  to: string,
  sequence: number,
  peer?: Peer,
): void {
  const gossip =
    peer === undefined ? takeGossip(turn) : takeGossipFor(turn, peer);
  const {self, viewHash: view} = turn.state;
  const kind = PeerMessageKind.Ack;
  const message = {kind, sender: self, ...gossip, sequence, view} as const;
  turn.commands.push({kind: MembershipCommandKind.Send, to, message});
}

/** Probes a VM on behalf of another. */
export function handlePingRequest(
  turn: Turn,
  request: PingRequestMessage,
): void {
  const sequence = takeSequence(turn);
  turn.state.relayedProbes.set(sequence, {
    requesterAddress: request.sender.peerAddress,
    requesterSequence: request.sequence,
    expiresAt: turn.now + turn.state.options.indirectProbeTimeoutMilliseconds,
  });
  const message: PingMessage = {
    kind: PeerMessageKind.Ping,
    sender: turn.state.self,
    ...takeGossip(turn),
    sequence,
    view: turn.state.viewHash,
  };
  const kind = MembershipCommandKind.Send;
  turn.commands.push({kind, to: request.target, message});
}

function sendPing(turn: Turn, peer: Peer, sequence: number): void {
  const message: PingMessage = {
    kind: PeerMessageKind.Ping,
    sender: turn.state.self,
    ...takeGossipFor(turn, peer),
    sequence,
    view: turn.state.viewHash,
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
      sendIndirectProbes(turn, peer, sequence, probe);
    } else {
      turn.state.probes.delete(sequence);
      applySuspicion(turn, peer, 'no answer to probes');
    }
  }
}

function sendIndirectProbes(
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
      ...takeGossip(turn),
      sequence,
      target,
    };
    const to = helper.update.peerAddress;
    turn.commands.push({kind: MembershipCommandKind.Send, to, message});
  }
}

function expireRelayedProbes(turn: Turn): void {
  for (const [sequence, relay] of turn.state.relayedProbes) {
    if (turn.now >= relay.expiresAt) turn.state.relayedProbes.delete(sequence);
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

function probeUnreachablePeer(turn: Turn): void {
  const unreachable: Peer[] = [];
  for (const peer of turn.state.peers.values()) {
    if (!isReachable(peer.update.state)) unreachable.push(peer);
  }
  const peer = unreachable[Math.floor(turn.random() * unreachable.length)];
  if (peer !== undefined) sendPing(turn, peer, takeSequence(turn));
}

function takeSequence(turn: Turn): number {
  const sequence = turn.state.nextSequence;
  turn.state.nextSequence += 1;
  return sequence;
}
