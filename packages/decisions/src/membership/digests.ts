import type {EndpointId, LoadReport} from '@zinniaspindle/shared';
import type {VmDigest} from './digest.js';
import type {UseValue} from './digest_state.js';
import {buildDigest, mergeDigest} from './digest_state.js';
import type {EntryLimits} from './digest_entries.js';
import {chooseEntries} from './digest_entries.js';
import {
  demandKind,
  reportKind,
  toDemandColumns,
  toUseColumns,
  useKind,
} from './digest_kinds.js';
import type {
  DemandColumns,
  DigestMessage,
  ReportColumns,
  UseColumns,
} from './messages.js';
import {maxDigestEntries, PeerMessageKind} from './messages.js';
import {listReachablePeers} from './gossip.js';
import {recordContact} from './peers.js';
import {sendRegionDigest} from './regions.js';
import type {Peer, Turn} from './state.js';
import {MembershipCommandKind} from './state.js';

const sendToleranceMilliseconds = 50;
const largeRegionRefreshedEntries = 1;

/** Stores this VM's own digest and sends it if a send is due. */
export function handleLocalDigest(turn: Turn, digest: VmDigest): void {
  const {digests, options} = turn.state;
  digests.own = digest;
  if (turn.now + sendToleranceMilliseconds < digests.nextSendAt) return;
  const peers = listRegionPeers(turn);
  const large = peers.length >= options.largeRegionVms;
  digests.nextSendAt =
    turn.now +
    (large
      ? options.largeDigestPeriodMilliseconds
      : options.digestPeriodMilliseconds);
  const message = buildMessage(turn, digest, large);
  for (const peer of peers) {
    const to = peer.update.peerAddress;
    turn.commands.push({kind: MembershipCommandKind.Send, to, message});
  }
  sendRegionDigest(turn);
}

/** Merges a peer's digest and passes the result to the host. */
export function handleDigest(turn: Turn, message: DigestMessage): void {
  if (!recordContact(turn, message.sender)) return;
  const {digests, options} = turn.state;
  const {entryTtlMilliseconds} = options;
  const received = mergeDigest(
    digests,
    message,
    turn.now,
    entryTtlMilliseconds,
  );
  if (received === undefined) return;
  const digest = buildDigest(received, turn.now);
  turn.commands.push({kind: MembershipCommandKind.DigestReceived, digest});
}

function listRegionPeers(turn: Turn): Peer[] {
  const {getRegion} = turn.state.options;
  const ownRegion = getRegion(turn.state.self.dataCentre);
  return listReachablePeers(turn).filter(
    peer => getRegion(peer.update.dataCentre) === ownRegion,
  );
}

function buildMessage(
  turn: Turn,
  digest: VmDigest,
  large: boolean,
): DigestMessage {
  const {digests, options, self} = turn.state;
  const limits: EntryLimits = {
    changed: large ? options.largeDigestEntries : maxDigestEntries / 2,
    refreshed: large ? largeRegionRefreshedEntries : options.refreshedEntries,
  };
  const sequence = digests.nextSequence;
  digests.nextSequence += 1;
  return {
    kind: PeerMessageKind.Digest,
    sender: {vm: self.vm, startedAt: self.startedAt},
    sequence,
    time: digest.time,
    ready: digest.ready,
    leaving: digest.leaving,
    load: Math.round(digest.load * 1000) / 1000,
    nextOffset: digest.nextOffset,
    demands: chooseDemands(turn, digest, limits),
    uses: chooseUses(turn, digest, limits),
    reports: chooseReports(turn, digest, limits),
    leavingEndpoints: digest.leavingEndpoints.slice(0, maxDigestEntries),
    failingEndpoints: digest.failingEndpoints.slice(0, maxDigestEntries),
  };
}

function chooseDemands(
  turn: Turn,
  digest: VmDigest,
  limits: EntryLimits,
): DemandColumns {
  const current = new Map(
    digest.demands.map(
      demand => [demand.account, Math.round(demand.tokensPerSecond)] as const,
    ),
  );
  const sent = turn.state.digests.sentDemands;
  return toDemandColumns(chooseEntries(sent, current, demandKind, limits));
}

function chooseUses(
  turn: Turn,
  digest: VmDigest,
  limits: EntryLimits,
): UseColumns {
  const current = new Map<EndpointId, UseValue>();
  for (const use of digest.uses) {
    const {running, prefillTokens} = use;
    current.set(use.endpoint, {running, prefillTokens});
  }
  const sent = turn.state.digests.sentUses;
  return toUseColumns(chooseEntries(sent, current, useKind, limits));
}

function chooseReports(
  turn: Turn,
  digest: VmDigest,
  limits: EntryLimits,
): ReportColumns {
  const current = new Map<EndpointId, LoadReport>();
  for (const report of digest.reports ?? []) {
    current.set(report.endpoint, report);
  }
  const sent = turn.state.digests.sentReports;
  const chosen = chooseEntries(sent, current, reportKind, limits);
  return {
    endpoints: chosen.map(([endpoint]) => endpoint),
    times: chosen.map(([, report]) => report.time),
    running: chosen.map(([, report]) => report.running),
    queued: chosen.map(([, report]) => report.queued),
    queuedPrefillTokens: chosen.map(([, report]) => report.queuedPrefillTokens),
    leaving: chosen.map(([, report]) => report.leaving),
  };
}
