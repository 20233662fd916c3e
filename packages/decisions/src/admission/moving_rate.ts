import {millisecondsPerSecond, type Instant} from '@zinniaspindle/shared';

/** A rate per second, averaged with exponential decay. */
export interface MovingRate {
  perSecond: number;
  updatedAt: Instant;
}

/** Creates a rate of zero. */
export function createMovingRate(now: Instant): MovingRate {
  return {perSecond: 0, updatedAt: now};
}

/** Adds an amount observed now; decayMilliseconds is the time constant. */
export function addToRate(
  rate: MovingRate,
  amount: number,
  now: Instant,
  decayMilliseconds: number,
): void {
  expireRate(rate, now, decayMilliseconds);
  rate.perSecond += (amount * millisecondsPerSecond) / decayMilliseconds;
}

/** Reads the rate, decayed to the given instant. */
export function readRate(
  rate: MovingRate,
  now: Instant,
  decayMilliseconds: number,
): number {
  expireRate(rate, now, decayMilliseconds);
  return rate.perSecond;
}

function expireRate(
  rate: MovingRate,
  now: Instant,
  decayMilliseconds: number,
): void {
  const age = Math.max(0, now - rate.updatedAt);
  rate.perSecond *= Math.exp(-age / decayMilliseconds);
  rate.updatedAt = now;
}
