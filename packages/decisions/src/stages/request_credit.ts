import type {Deadline, Instant, Random} from '@zinniaspindle/shared';

/**
 * One VM's share of the requests that an endpoint takes from all VMs: slots at a
 * constant rate, each for one request. The slots of the VMs lie at random to one
 * another, so that together they are spread evenly however few there are.
 */
export interface RequestCredit {
  readonly perSecond: number;
  /** Slot n begins n periods later. */
  readonly originAt: Instant;
  /** The last slot that is used or given up. */
  usedSlot: number;
}

/**
 * A slot that is not used within this time is given up: unused ones would else
 * add up to a burst of all VMs.
 */
const slotLifetimeMilliseconds = 1000;
const millisecondsPerSecond = 1000;

/** Creates the credit of a VM, whose first slot is yet to begin. */
export function createRequestCredit(
  perSecond: number,
  now: Instant,
  random: Random,
): RequestCredit {
  const period = millisecondsPerSecond / perSecond;
  return {perSecond, originAt: now - random() * period, usedSlot: 0};
}

/** Tells whether a request may be sent. */
export function hasCredit(credit: RequestCredit, now: Instant): boolean {
  return findSlot(credit, now) !== undefined;
}

/** Uses a slot for a request that is sent, if there is one. */
export function takeCredit(credit: RequestCredit, now: Instant): void {
  credit.usedSlot = findSlot(credit, now) ?? credit.usedSlot;
}

/** Finds when the next request may be sent. */
export function findNextCredit(credit: RequestCredit, now: Instant): Deadline {
  if (hasCredit(credit, now)) return now;
  const {perSecond, originAt, usedSlot} = credit;
  const period = millisecondsPerSecond / perSecond;
  const current = Math.floor((now - originAt) / period);
  return originAt + (Math.max(usedSlot, current) + 1) * period;
}

/** Finds the oldest slot that can be used. */
function findSlot(
  {perSecond, originAt, usedSlot}: RequestCredit,
  now: Instant,
): number | undefined {
  const period = millisecondsPerSecond / perSecond;
  const current = Math.floor((now - originAt) / period);
  const oldest = Math.ceil(
    (now - slotLifetimeMilliseconds - originAt) / period,
  );
  const slot = Math.max(usedSlot + 1, oldest);
  return slot <= current ? slot : undefined;
}
