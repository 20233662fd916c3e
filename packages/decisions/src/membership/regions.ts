import type {AccountId, EndpointId} from '@zinniaspindle/shared';
import {sortByWeight} from '../hashing/rendezvous.js';
import type {VmDigest} from './digest.js';
import type {ReceivedDigest, UseValue} from './digest_state.js';
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
import {listReachablePeers} from './gossip.js';
import {recordContact} from './peers.js';
import type {Turn} from './state.js';
import {isReachable, MembershipCommandKind} from './state.js';

const refreshedEntries = 4;
/**
 * Digest periods of a large region after which a VM without a new digest is
 * left out of the aggregate.
 */
const staleAfterPeriods = 4;

/** VMs by region, including this one. */
type Regions = Map<string, PeerUpdate[]>;

/**
 * Sends this region's aggregate to the other regions if this VM is the region's
 * aggregator. VMs whose views differ may both act as aggregator; receivers keep
 * the digest with the later time.
 */
export function sendRegionDigest(turn: Turn): void {
  const {state, now} = turn;
  if (now < state.digests.nextRegionSendAt) return;
  state.digests.nextRegionSendAt =
    now + state.options.regionDigestPeriodMilliseconds;
  const regions = listRegions(turn);
  if (regions.size < 2) return;
  const ownRegion = state.options.getRegion(state.self.dataCentre);
  const aggregator = chooseMember(
    `gather/${ownRegion}`,
    regions.get(ownRegion) ?? [],
  );
  if (aggregator?.vm !== state.self.vm) return;
  const digest = buildRegionDigest(turn, ownRegion);
  for (const [region, members] of regions) {
    if (region === ownRegion) continue;
    const receiver = chooseMember(`${ownRegion}>${region}`, members);
    if (receiver !== undefined) sendDigestTo(turn, receiver, digest, true);
  }
}

/**
 * Stores another region's digest; its first receiver forwards it in the region.
 */
export function handleRegionDigest(
  turn: Turn,
  message: RegionDigestMessage,
): void {
  recordContact(turn, message.sender);
  const {digests, options, self} = turn.state;
  const {digest} = message;
  const previous = digests.regions.get(digest.region);
  if (previous !== undefined && previous.time >= digest.time) return;
  digests.regions.set(digest.region, digest);
  turn.commands.push({
    kind: MembershipCommandKind.RegionDigestReceived,
    digest,
  });
  if (!message.passOn) return;
  const ownRegion = options.getRegion(self.dataCentre);
  for (const member of listRegions(turn).get(ownRegion) ?? []) {
    if (member.vm !== self.vm) sendDigestTo(turn, member, digest, false);
  }
}

function sendDigestTo(
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
  const updates = listReachablePeers(turn).map(peer => peer.update);
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
  const summands = listFreshDigests(turn, region);
  const demands = new Map<AccountId, number>();
  const uses = new Map<EndpointId, UseValue>();
  for (const digest of summands) addDigest(digest, demands, uses);
  const limits = {
    changed: options.regionDigestEntries,
    refreshed: refreshedEntries,
  };
  return {
    region,
    time: turn.now,
    vms: summands.length,
    entries: chooseEntryVms(summands, options.regionEntryVms),
    demands: toDemandColumns(
      chooseEntries(digests.sentRegionDemands, demands, demandKind, limits),
    ),
    uses: toUseColumns(
      chooseEntries(digests.sentRegionUses, uses, useKind, limits),
    ),
  };
}

/** The fields of this VM's or a received digest that the aggregate uses. */
type Summand = Pick<
  VmDigest,
  'vm' | 'ready' | 'leaving' | 'load' | 'demands' | 'uses'
>;

function listFreshDigests(turn: Turn, region: string): Summand[] {
  const {digests, options, peers} = turn.state;
  const fresh: Summand[] = digests.own === undefined ? [] : [digests.own];
  const maxAge = staleAfterPeriods * options.largeDigestPeriodMilliseconds;
  for (const [vm, received] of digests.received) {
    const peer = peers.get(vm);
    if (peer === undefined || !isReachable(peer.update.state)) continue;
    if (options.getRegion(peer.update.dataCentre) !== region) continue;
    if (received.receivedAt + maxAge <= turn.now) continue;
    const leaving = peer.update.state === PeerState.Leaving;
    fresh.push(toSummand(received, leaving));
  }
  return fresh;
}

function toSummand(received: ReceivedDigest, leaving: boolean): Summand {
  const {latest} = received;
  return {
    vm: latest.sender.vm,
    ready: latest.ready,
    leaving: latest.leaving || leaving,
    load: latest.load,
    demands: [...received.demands].map(([account, entry]) => ({
      account,
      tokensPerSecond: entry.value,
    })),
    uses: [...received.uses].map(([endpoint, entry]) => ({
      endpoint,
      ...entry.value,
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
    const sum = uses.get(endpoint) ?? useKind.empty;
    uses.set(endpoint, {
      running: sum.running + running,
      prefillTokens: sum.prefillTokens + prefillTokens,
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
