import type {AccountId, EndpointId} from '@zinniaspindle/shared';
import {sortByWeight} from '../hashing/rendezvous.js';
import type {VmDigest} from './digest.js';
import type {HeardDigest, UseValue} from './digest_book.js';
import {chooseEntries} from './digest_entries.js';
import {
  demandKind,
  toDemandColumns,
  toUseColumns,
  useKind,
} from './digest_kinds.js';
import type {
  EntryColumns,
  PeerUpdate,
  RegionDigest,
  RegionDigestMessage,
} from './messages.js';
import {PeerMessageKind, PeerState} from './messages.js';
import {listPeersInUse} from './news.js';
import {recordHearing} from './peers.js';
import type {Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

const refreshedEntries = 4;
/** Digest periods after which a silent VM is left out of the sums. */
const silentPeriods = 4;

/** The VMs of each region, this one included. */
type Regions = Map<string, PeerUpdate[]>;

/**
 * Sends the sums of this region to the others, if this VM is the one that
 * gathers them. VMs whose views differ may both gather: the later sums hold.
 */
export function sendRegionDigest(turn: Turn): void {
  const {state, now} = turn;
  if (now < state.digests.nextRegionAt) return;
  state.digests.nextRegionAt =
    now + state.options.regionDigestPeriodMilliseconds;
  const regions = listRegions(turn);
  if (regions.size < 2) return;
  const own = state.options.getRegion(state.self.dataCentre);
  const gatherer = chooseMember(`gather/${own}`, regions.get(own) ?? []);
  if (gatherer?.vm !== state.self.vm) return;
  const digest = buildRegionDigest(turn, own);
  for (const [region, members] of regions) {
    if (region === own) continue;
    const receiver = chooseMember(`${own}>${region}`, members);
    if (receiver !== undefined) sendTo(turn, receiver, digest, true);
  }
}

/** Takes another region's sums and, as their first receiver, passes them on. */
export function handleRegionDigest(
  turn: Turn,
  message: RegionDigestMessage,
): void {
  recordHearing(turn, message.sender);
  const {digests, options, self} = turn.state;
  const {digest} = message;
  const before = digests.regions.get(digest.region);
  if (before !== undefined && before.time >= digest.time) return;
  digests.regions.set(digest.region, digest);
  turn.commands.push({
    kind: MembershipCommandKind.RegionDigestReceived,
    digest,
  });
  if (!message.passOn) return;
  const own = options.getRegion(self.dataCentre);
  for (const member of listRegions(turn).get(own) ?? []) {
    if (member.vm !== self.vm) sendTo(turn, member, digest, false);
  }
}

function sendTo(
  turn: Turn,
  to: PeerUpdate,
  digest: RegionDigest,
  passOn: boolean,
): void {
  const {vm, startedAt} = turn.state.self;
  const message: RegionDigestMessage = {
    kind: PeerMessageKind.RegionDigest,
    sender: {vm, startedAt},
    passOn,
    digest,
  };
  const kind = MembershipCommandKind.Send;
  turn.commands.push({kind, to: to.peerAddress, message});
}

function listRegions(turn: Turn): Regions {
  const {state} = turn;
  const regions: Regions = new Map();
  const updates = listPeersInUse(turn).map(peer => peer.update);
  for (const update of [state.self, ...updates]) {
    const region = state.options.getRegion(update.dataCentre);
    const members = regions.get(region);
    if (members === undefined) regions.set(region, [update]);
    else members.push(update);
  }
  return regions;
}

function chooseMember(
  key: string,
  members: readonly PeerUpdate[],
): PeerUpdate | undefined {
  return sortByWeight(key, members, member => member.vm)[0];
}

function buildRegionDigest(turn: Turn, region: string): RegionDigest {
  const {digests, options} = turn.state;
  const heard = listFreshDigests(turn, region);
  const demands = new Map<AccountId, number>();
  const uses = new Map<EndpointId, UseValue>();
  for (const digest of heard) addDigest(digest, demands, uses);
  const limits = {
    changed: options.regionDigestEntries,
    refreshed: refreshedEntries,
  };
  return {
    region,
    time: turn.now,
    vms: heard.length,
    entries: chooseEntryVms(heard, options.regionEntryVms),
    demands: toDemandColumns(
      chooseEntries(digests.sentRegionDemands, demands, demandKind, limits),
    ),
    uses: toUseColumns(
      chooseEntries(digests.sentRegionUses, uses, useKind, limits),
    ),
  };
}

/** What the sums need of a digest, its own or a heard one. */
type Summand = Pick<
  VmDigest,
  'vm' | 'ready' | 'leaving' | 'load' | 'demands' | 'uses'
>;

function listFreshDigests(turn: Turn, region: string): Summand[] {
  const {digests, options, peers} = turn.state;
  const fresh: Summand[] = digests.own === undefined ? [] : [digests.own];
  const silent = silentPeriods * options.largeDigestPeriodMilliseconds;
  for (const [vm, heard] of digests.heard) {
    const peer = peers.get(vm);
    if (peer === undefined || !isReachable(peer.update.state)) continue;
    if (options.getRegion(peer.update.dataCentre) !== region) continue;
    if (heard.heardAt + silent <= turn.now) continue;
    const leaving = peer.update.state === PeerState.Leaving;
    fresh.push(toSummand(heard, leaving));
  }
  return fresh;
}

function toSummand(heard: HeardDigest, leaving: boolean): Summand {
  const {latest} = heard;
  return {
    vm: latest.sender.vm,
    ready: latest.ready,
    leaving: latest.leaving || leaving,
    load: latest.load,
    demands: [...heard.demands].map(([account, held]) => ({
      account,
      tokensPerSecond: held.value,
    })),
    uses: [...heard.uses].map(([endpoint, held]) => ({
      endpoint,
      ...held.value,
    })),
  };
}

function addDigest(
  digest: Summand,
  demands: Map<AccountId, number>,
  uses: Map<EndpointId, UseValue>,
): void {
  for (const {account, tokensPerSecond} of digest.demands) {
    const sum = (demands.get(account) ?? 0) + Math.round(tokensPerSecond);
    demands.set(account, sum);
  }
  for (const {endpoint, running, prefillTokens} of digest.uses) {
    const before = uses.get(endpoint) ?? useKind.empty;
    uses.set(endpoint, {
      running: before.running + running,
      prefillTokens: before.prefillTokens + prefillTokens,
    });
  }
}

function chooseEntryVms(
  digests: readonly Summand[],
  count: number,
): EntryColumns {
  const usable = digests.filter(digest => digest.ready && !digest.leaving);
  usable.sort((a, b) => a.load - b.load);
  const chosen = usable.slice(0, count);
  return {
    vms: chosen.map(digest => digest.vm),
    loads: chosen.map(digest => Math.round(digest.load * 1000) / 1000),
  };
}
