import type {AccountId} from '@zinniaspindle/shared';

/** The demand and the weight of one account. */
export interface RateClaim {
  readonly account: AccountId;
  readonly weight: number;
  /** Tokens per second. */
  readonly demand: number;
}

/**
 * Computes weighted max-min fair rates in tokens per second: no account gets
 * more than its demand, and what it leaves is shared by the others by weight.
 */
export function computeFairRates(
  claims: readonly RateClaim[],
  capacity: number,
): Map<AccountId, number> {
  const rates = new Map<AccountId, number>();
  const sorted = [...claims].sort(
    (a, b) => a.demand / a.weight - b.demand / b.weight,
  );
  let remaining = capacity;
  let weight = 0;
  for (const claim of sorted) weight += claim.weight;
  for (const claim of sorted) {
    const fairShare = weight > 0 ? (remaining * claim.weight) / weight : 0;
    const rate = Math.min(claim.demand, fairShare);
    rates.set(claim.account, rate);
    remaining -= rate;
    weight -= claim.weight;
  }
  return rates;
}

/**
 * Computes the rate that each account could reach by raising its demand while
 * the others keep theirs; idle capacity is shared in proportion to demand.
 */
export function computeEntitlements(
  claims: readonly RateClaim[],
  capacity: number,
): Map<AccountId, number> {
  const fair = computeFairRates(claims, capacity);
  let total = 0;
  let fairLevel = 0;
  for (const {account, weight} of claims) {
    const rate = fair.get(account)!;
    total += rate;
    fairLevel = Math.max(fairLevel, rate / weight);
  }
  const idleFactor = total > 0 ? Math.max(1, capacity / total) : 1;
  const entitlements = new Map<AccountId, number>();
  for (const {account, weight} of claims) {
    const rate = fair.get(account)!;
    entitlements.set(account, Math.max(rate * idleFactor, fairLevel * weight));
  }
  return entitlements;
}
