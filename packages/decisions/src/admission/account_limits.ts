import {
  millisecondsPerSecond,
  type AccountId,
  type AccountObject,
  type Instant,
  type VmId,
} from '@zinniaspindle/shared';
import type {AccountDemand, VmDigest} from '../membership/digest.js';
import {computeEntitlements} from './fair_rates.js';
import {
  addToRate,
  createMovingRate,
  readRate,
  type MovingRate,
} from './moving_rate.js';

/** This VM's share of one account's fleet-wide rate, with its token buckets. */
export interface AccountShare {
  object: AccountObject;
  /** Demand of this VM's callers, in tokens per second. */
  readonly demand: MovingRate;
  /** This VM's part of the account's hard limit, in tokens per second. */
  limitRate: number;
  /** Whether the account's fleet-wide demand is within its entitlement. */
  isWithinEntitlement: boolean;
  /** This VM's part of the account's fair rate, in tokens per second. */
  fairRate: number;
  /** Tokens left in the bucket of the hard limit; may be negative. */
  limitTokens: number;
  /** Tokens left in the bucket of the fair rate; may be negative. */
  fairTokens: number;
  refilledAt: Instant;
}

interface PeerDemands {
  readonly receivedAt: Instant;
  readonly demands: readonly AccountDemand[];
}

/** Every account's share at this VM, and the demands reported by peers. */
export interface AccountLimits {
  readonly shares: Map<AccountId, AccountShare>;
  readonly peers: Map<VmId, PeerDemands>;
  sharesUpdatedAt: Instant;
  /** Whether the total demand of all accounts exceeds the capacity. */
  isContended: boolean;
  /** Tokens that accounts above their fair rate may start now. */
  spareTokens: number;
}

/** Settings of demand tracking and of the token buckets. */
export interface LimitOptions {
  /** Time constant of the exponential decay of measured demand. */
  readonly demandDecayMilliseconds: number;
  /** Interval after which the weight of a silent peer's report is halved. */
  readonly peerHalfLifeMilliseconds: number;
  /** Bucket size as a time: a bucket holds what its rate adds in this time. */
  readonly burstMilliseconds: number;
  /** Smallest bucket size, in tokens. */
  readonly burstTokens: number;
}

/** Settings that apply unless a deployment overrides them. */
export const defaultLimitOptions: LimitOptions = {
  demandDecayMilliseconds: 4000,
  peerHalfLifeMilliseconds: 3000,
  burstMilliseconds: 2000,
  burstTokens: 1200,
};

/** Creates limits without accounts or peers. */
export function createAccountLimits(): AccountLimits {
  return {
    shares: new Map(),
    peers: new Map(),
    sharesUpdatedAt: -Infinity,
    isContended: false,
    spareTokens: 0,
  };
}

/** Replaces the configured accounts; shares of known accounts are kept. */
export function setAccounts(
  limits: AccountLimits,
  accounts: readonly AccountObject[],
  now: Instant,
): void {
  const known = new Map(limits.shares);
  limits.shares.clear();
  for (const object of accounts) {
    const share = known.get(object.name) ?? createShare(object, now);
    share.object = object;
    limits.shares.set(object.name, share);
  }
}

/** Records the demands that a peer reports in its digest. */
export function recordPeerDemands(
  limits: AccountLimits,
  digest: VmDigest,
  now: Instant,
): void {
  limits.peers.set(digest.vm, {receivedAt: now, demands: digest.demands});
}

/** Adds the tokens of a caller's request to the account's measured demand. */
export function recordDemand(
  share: AccountShare,
  tokens: number,
  now: Instant,
  options: LimitOptions,
): void {
  addToRate(share.demand, tokens, now, options.demandDecayMilliseconds);
}

/** Lists the demand per account at this VM, for its digest. */
export function listDemands(
  limits: AccountLimits,
  now: Instant,
  options: LimitOptions = defaultLimitOptions,
): AccountDemand[] {
  const demands: AccountDemand[] = [];
  for (const [account, share] of limits.shares) {
    const decay = options.demandDecayMilliseconds;
    const tokensPerSecond = Math.round(readRate(share.demand, now, decay));
    if (tokensPerSecond > 0) demands.push({account, tokensPerSecond});
  }
  return demands;
}

/**
 * Splits every account's limit and fair rate over the VMs in proportion to
 * demand; capacities are in tokens per second. The demand of a silent peer is
 * gradually replaced by this VM's own, so that the split becomes even when no
 * peer reports.
 */
export function updateShares(
  limits: AccountLimits,
  capacity: number,
  spareCapacity: number,
  now: Instant,
  options: LimitOptions,
): void {
  updateSpareTokens(limits, spareCapacity, now, options);
  const claims = [];
  let totalDemand = 0;
  const fractions = new Map<AccountId, number>();
  for (const [account, share] of limits.shares) {
    const decay = options.demandDecayMilliseconds;
    const own = readRate(share.demand, now, decay);
    const total = own + computePeerDemand(limits, account, own, now, options);
    fractions.set(
      account,
      total > 0 ? own / total : computeEvenFraction(limits),
    );
    const demand = Math.min(total, share.object.tokensPerSecond);
    totalDemand += demand;
    claims.push({account, weight: share.object.weight, demand});
  }
  limits.isContended = totalDemand > capacity;
  const entitlements = computeEntitlements(claims, capacity);
  for (const {account, demand} of claims) {
    const share = limits.shares.get(account)!;
    share.isWithinEntitlement = demand <= entitlements.get(account)!;
  }
  for (const [account, share] of limits.shares) {
    const fraction = Math.max(
      fractions.get(account)!,
      computeEvenFraction(limits) / 10,
    );
    updateShare(share, now, options);
    share.limitRate = share.object.tokensPerSecond * fraction;
    share.fairRate = entitlements.get(account)! * fraction;
  }
}

function updateSpareTokens(
  limits: AccountLimits,
  spareCapacity: number,
  now: Instant,
  options: LimitOptions,
): void {
  const rate = spareCapacity * computeEvenFraction(limits);
  const elapsed =
    Math.max(0, now - limits.sharesUpdatedAt) / millisecondsPerSecond;
  const burst = computeBurst(rate, options);
  const filled = limits.spareTokens + rate * elapsed;
  limits.spareTokens = Math.min(filled, burst);
  limits.sharesUpdatedAt = now;
}

/** Refills the token buckets of a share for the time since the last refill. */
export function updateShare(
  share: AccountShare,
  now: Instant,
  options: LimitOptions,
): void {
  const elapsed = Math.max(0, now - share.refilledAt) / millisecondsPerSecond;
  share.limitTokens = Math.min(
    share.limitTokens + share.limitRate * elapsed,
    computeBurst(share.limitRate, options),
  );
  share.fairTokens = Math.min(
    share.fairTokens + share.fairRate * elapsed,
    computeBurst(share.fairRate, options),
  );
  share.refilledAt = now;
}

function computeBurst(rate: number, options: LimitOptions): number {
  const seconds = options.burstMilliseconds / millisecondsPerSecond;
  return Math.max(rate * seconds, options.burstTokens);
}

/** Takes the tokens of a started request; the buckets may become negative. */
export function takeTokens(share: AccountShare, tokens: number): void {
  share.limitTokens -= tokens;
  share.fairTokens -= tokens;
}

function createShare(object: AccountObject, now: Instant): AccountShare {
  return {
    object,
    demand: createMovingRate(now),
    limitRate: object.tokensPerSecond,
    isWithinEntitlement: true,
    fairRate: 0,
    limitTokens: 0,
    fairTokens: 0,
    refilledAt: now,
  };
}

function computeEvenFraction(limits: AccountLimits): number {
  return 1 / (limits.peers.size + 1);
}

function computePeerDemand(
  limits: AccountLimits,
  account: AccountId,
  own: number,
  now: Instant,
  options: LimitOptions,
): number {
  let total = 0;
  for (const peer of limits.peers.values()) {
    const age = Math.max(0, now - peer.receivedAt);
    const confidence =
      0.5 ** Math.floor(age / options.peerHalfLifeMilliseconds);
    const reported = findDemand(peer.demands, account);
    total += confidence * reported + (1 - confidence) * own;
  }
  return total;
}

function findDemand(
  demands: readonly AccountDemand[],
  account: AccountId,
): number {
  for (const demand of demands) {
    if (demand.account === account) return demand.tokensPerSecond;
  }
  return 0;
}
