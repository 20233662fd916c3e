import type {Instant, CodedError, Random} from '@zinniaspindle/shared';
import {MembershipEvent} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {Step} from '../step.js';
import {startTurn, toStep} from '../turn.js';
import {makeDigestBook} from './digest_book.js';
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
import {hashUpdate, sendFreshNews} from './news.js';
import {applyEndpointWord, applyNotice, expireNotices} from './notices.js';
import type {MembershipOptions} from './options.js';
import {applyUpdate, expirePeers, recordHearing, setOwn} from './peers.js';
import {checkIsolation, checkLateness} from './patience.js';
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

/** Any message that carries news. */
type NewsMessage = Exclude<PeerMessage, DigestMessage | RegionDigestMessage>;

/** Makes the state of a VM that knows nobody yet. */
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
    relays: new Map(),
    queue: new Map(),
    notices: new Map(),
    listedLeaving: new Set(),
    nextSequence: 1,
    probeOrder: [],
    nextProbeAt: now,
    nextLostProbeAt: now,
    nextSyncAt: now,
    changedAt: now,
    view: hashUpdate(self),
    nextTickAt: undefined,
    patientUntil: now,
    lastHeardAt: now,
    isolated: false,
    superseded: false,
    digests: makeDigestBook(),
  };
}

/** Decides what this VM holds of its peers, and what it tells them. */
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
      applyEndpointWord(turn, {endpoint, source, leaving, time});
    }
  }
}

function handleTick(turn: Turn): void {
  checkLateness(turn);
  checkIsolation(turn);
  expirePeers(turn);
  expireNotices(turn);
  runProbes(turn);
  sendFreshNews(turn);
}

function handleLeaving(turn: Turn): void {
  const {self} = turn.state;
  if (self.state === PeerState.Leaving) return;
  const incarnation = self.incarnation + 1;
  setOwn(turn, {...self, incarnation, state: PeerState.Leaving});
  sendFreshNews(turn);
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
      handleNews(turn, message);
  }
}

function handleNews(turn: Turn, message: NewsMessage): void {
  const {sender} = message;
  if (sender.vm === turn.state.self.vm) {
    applyUpdate(turn, sender, 'own message');
    return;
  }
  applyUpdate(turn, sender, 'heard');
  for (const update of message.updates) {
    applyUpdate(turn, update, `told by ${sender.vm}`);
  }
  for (const notice of message.notices) applyNotice(turn, notice);
  recordHearing(turn, sender);
  handleKind(turn, message);
}

function handleKind(turn: Turn, message: NewsMessage): void {
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
