import type {Instant, CodedError, Random} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import {makeDigestState} from './digest_state.js';
import {handleDigest, handleLocalDigest} from './digests.js';
import type {MembershipErrorCode} from './errors.js';
import {makeMalformedMessage} from './errors.js';
import {findFault} from './message_check.js';
import type {
  AckMessage,
  DigestMessage,
  PeerMessage,
  PingMessage,
  RegionDigestMessage,
  SyncMessage,
} from './messages.js';
import {PeerMessageKind, PeerState} from './messages.js';
import {hashUpdate, sendNewGossip} from './gossip.js';
import {applyLocalNotice, applyPeerNotice, expireNotices} from './notices.js';
import type {MembershipOptions} from './options.js';
import {
  applyUpdate,
  expirePeers,
  recordContact,
  setOwnUpdate,
} from './peers.js';
import {checkIsolation, checkTickDelay} from './local_health.js';
import {
  handleProbeAck,
  handlePingRequest,
  runProbes,
  sendAck,
} from './probes.js';
import {handleRegionDigest} from './regions.js';
import type {
  MembershipCommand,
  MembershipInput,
  MembershipState,
  OwnIdentity,
  Turn,
} from './state.js';
import {MembershipEventKind} from './state.js';
import {checkView, sendView} from './sync.js';
import {handleList} from './vm_list.js';

/** Any message that carries gossip. */
type GossipCarrier = Exclude<PeerMessage, DigestMessage | RegionDigestMessage>;

/** Makes the state of a VM that does not know any peer yet. */
export function makeMembershipState(
  identity: OwnIdentity,
  options: MembershipOptions,
  now: Instant,
): MembershipState {
  const self = {...identity, incarnation: 1, state: PeerState.Alive};
  return {
    options,
    self,
    peers: new Map(),
    probes: new Map(),
    relayedProbes: new Map(),
    gossipQueue: new Map(),
    notices: new Map(),
    listedLeaving: new Set(),
    nextSequence: 1,
    probeOrder: [],
    nextProbeAt: now,
    nextUnreachableProbeAt: now,
    nextSyncAt: now,
    viewChangedAt: now,
    viewHash: hashUpdate(self),
    nextTickAt: undefined,
    degradedUntil: now,
    anyContactAt: now,
    isolated: false,
    superseded: false,
    digests: makeDigestState(),
  };
}

/**
 * Runs one step of the failure detector and gossip protocol: updates the view
 * of the peers and decides which messages to send. Fails if a message is
 * malformed.
 */
export function decideMembership(
  state: MembershipState,
  event: MembershipInput,
  now: Instant,
  random: Random,
): Result<
  Step<MembershipState, MembershipCommand>,
  CodedError<MembershipErrorCode>
> {
  if (event.kind === MembershipEventKind.MessageReceived) {
    const fault = findFault(event.message);
    if (fault !== undefined) {
      return Result.err(makeMalformedMessage(event.from, fault));
    }
  }
  const turn: Turn = startTurn(state, now, random);
  handleEvent(turn, event);
  return Result.ok(toStep(turn));
}

function handleEvent(turn: Turn, event: MembershipInput): void {
  switch (event.kind) {
    case MembershipEventKind.MessageReceived:
      handleMessage(turn, event.message);
      return;
    case MembershipEventKind.Tick:
      handleTick(turn);
      return;
    case MembershipEventKind.ListRead:
      handleList(turn, event.vms);
      return;
    case MembershipEventKind.ListFailed:
      turn.logEvents.push({
        event: MembershipEvent.VmListUnavailable,
        fields: {detail: event.detail},
      });
      return;
    case MembershipEventKind.LocalDigest:
      handleLocalDigest(turn, event.digest);
      return;
    case MembershipEventKind.Leaving:
      handleLeaving(turn);
      return;
    case MembershipEventKind.EndpointLeavingSeen:
    case MembershipEventKind.EndpointStayingSeen: {
      const leaving = event.kind === MembershipEventKind.EndpointLeavingSeen;
      const {endpoint, source, time} = event;
      applyLocalNotice(turn, {endpoint, source, leaving, time});
    }
  }
}

function handleTick(turn: Turn): void {
  checkTickDelay(turn);
  checkIsolation(turn);
  expirePeers(turn);
  expireNotices(turn);
  runProbes(turn);
  sendNewGossip(turn);
}

function handleLeaving(turn: Turn): void {
  const {self} = turn.state;
  if (self.state === PeerState.Leaving) return;
  const incarnation = self.incarnation + 1;
  setOwnUpdate(turn, {...self, incarnation, state: PeerState.Leaving});
  sendNewGossip(turn);
}

function handleMessage(turn: Turn, message: PeerMessage): void {
  switch (message.kind) {
    case PeerMessageKind.Digest:
      handleDigest(turn, message);
      return;
    case PeerMessageKind.RegionDigest:
      handleRegionDigest(turn, message);
      return;
    case PeerMessageKind.Ack:
    case PeerMessageKind.Gossip:
    case PeerMessageKind.Ping:
    case PeerMessageKind.PingRequest:
    case PeerMessageKind.Sync:
      handleGossipCarrier(turn, message);
  }
}

function handleGossipCarrier(turn: Turn, message: GossipCarrier): void {
  const {sender} = message;
  if (sender.vm === turn.state.self.vm) {
    applyUpdate(turn, sender, 'own message');
    return;
  }
  applyUpdate(turn, sender, 'direct message');
  for (const update of message.updates) {
    applyUpdate(turn, update, `gossip from ${sender.vm}`);
  }
  for (const notice of message.notices) applyPeerNotice(turn, notice);
  recordContact(turn, sender);
  handleByKind(turn, message);
}

function handleByKind(turn: Turn, message: GossipCarrier): void {
  switch (message.kind) {
    case PeerMessageKind.Ack:
      handleAck(turn, message);
      return;
    case PeerMessageKind.Gossip:
      return;
    case PeerMessageKind.Ping:
      handlePing(turn, message);
      return;
    case PeerMessageKind.PingRequest:
      handlePingRequest(turn, message);
      return;
    case PeerMessageKind.Sync:
      handleSync(turn, message);
  }
}

function handlePing(turn: Turn, message: PingMessage): void {
  const {sender} = message;
  const peer = turn.state.peers.get(sender.vm);
  sendAck(turn, sender.peerAddress, message.sequence, peer);
  checkView(turn, sender, message.view);
}

function handleAck(turn: Turn, message: AckMessage): void {
  handleProbeAck(turn, message.sequence);
  checkView(turn, message.sender, message.view);
}

function handleSync(turn: Turn, message: SyncMessage): void {
  if (message.wantsReply) sendView(turn, message.sender.peerAddress, false);
}
