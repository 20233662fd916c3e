import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';

/** What a VM knows of its own link to one endpoint. */
export interface LinkState {
  /** Whether connections go through a peer, since those of this VM fail. */
  isCut: boolean;
  cutAt: Instant;
  /** Consecutive connections that hung while a peer reached the endpoint. */
  hung: number;
  nextTrialAt: Deadline;
  /** Trials of a cut link that succeeded one after another. */
  openTrials: number;
  /** How many of them end the cut. */
  neededTrials: number;
  /** Until then no peer is asked, since none reached the endpoint either. */
  goneUntil: Deadline;
}

/** How a connection of this VM failed which a peer could make. */
export enum LinkFailure {
  /** The address refused it, or was reported as unreachable. */
  Refused = 'refused',
  /** It was not established in time; a packet may have been lost. */
  Hung = 'hung',
}

const maxHung = 2;
const trialIntervalMilliseconds = 500;
const minTrials = 2;
const maxTrials = 16;
/** A link that is cut again within this time needs twice as many trials. */
const unstableMilliseconds = 10_000;
/** An endpoint that has ended is listed for some seconds. */
const goneMilliseconds = 500;
/** Cut links without which a VM does not count as isolated. */
const minCutLinks = 2;
const isolatedMilliseconds = 1000;

/** Creates the state of a link that works as far as known. */
export function createLink(): LinkState {
  return {
    isCut: false,
    cutAt: -Infinity,
    hung: 0,
    nextTrialAt: -Infinity,
    openTrials: 0,
    neededTrials: minTrials,
    goneUntil: -Infinity,
  };
}

/** Records that a connection of this VM was established. */
export function recordReached(link: LinkState): void {
  link.hung = 0;
  link.goneUntil = -Infinity;
}

/**
 * Records that a peer reached an endpoint to which a connection of this VM
 * failed; returns whether the link counts as cut from now on.
 */
export function recordPeerReached(
  link: LinkState,
  failure: LinkFailure,
  now: Instant,
): boolean {
  link.goneUntil = -Infinity;
  if (link.isCut) return false;
  link.hung += 1;
  if (failure === LinkFailure.Hung && link.hung < maxHung) return false;
  const isUnstable = now - link.cutAt < unstableMilliseconds;
  const trials = isUnstable ? 2 * link.neededTrials : minTrials;
  link.neededTrials = Math.min(maxTrials, trials);
  link.isCut = true;
  link.cutAt = now;
  link.openTrials = 0;
  link.nextTrialAt = now + trialIntervalMilliseconds;
  return true;
}

/** Records that no peer reached the endpoint either. */
export function recordGone(link: LinkState, now: Instant): void {
  link.goneUntil = now + goneMilliseconds;
}

/** Tells whether peers may be asked for a connection to the endpoint. */
export function canAskPeers({goneUntil}: LinkState, now: Instant): boolean {
  return isPast(goneUntil, now);
}

/** Tells whether a connection of this VM is to be tried on a cut link. */
export function isLinkTrialDue(
  {isCut, nextTrialAt}: LinkState,
  now: Instant,
): boolean {
  return isCut && isPast(nextTrialAt, now);
}

/** Records the start of a trial. */
export function recordTrialStart(link: LinkState, now: Instant): void {
  link.nextTrialAt = now + trialIntervalMilliseconds;
}

/** Records the result of a trial; returns whether the link is whole again. */
export function recordTrialEnd(link: LinkState, isOpen: boolean): boolean {
  if (!link.isCut) return false;
  link.openTrials = isOpen ? link.openTrials + 1 : 0;
  if (link.openTrials < link.neededTrials) return false;
  link.isCut = false;
  link.hung = 0;
  return true;
}

/**
 * Tells whether this VM seems to be cut from all endpoints, so that connections
 * to others are better made through a peer at once.
 * @param cutLinks number of links that are cut
 * @param reachedAt when a connection of this VM was last established
 */
export function isIsolated(
  cutLinks: number,
  reachedAt: Instant,
  now: Instant,
): boolean {
  return cutLinks >= minCutLinks && !isReaching(reachedAt, now);
}

/** Tells whether connections of this VM were established lately. */
export function isReaching(reachedAt: Instant, now: Instant): boolean {
  return now - reachedAt < isolatedMilliseconds;
}
