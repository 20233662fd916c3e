import type {Deadline, Instant} from '@zinniaspindle/shared';

/** Why a VM finds an endpoint failing. */
export enum DoubtCause {
  /** It has not answered one question, which may be a lost packet. */
  Unanswered = 'unanswered',
  /** It does not answer. */
  Silent = 'silent',
  /** It refuses requests though it has room. */
  Refusing = 'refusing',
}

/** A VM's word against an endpoint. */
export interface Accuser {
  readonly at: Instant;
  readonly cause: DoubtCause;
}

/** What speaks against an endpoint. */
export interface EndpointDoubt {
  /** Direct questions in a row that got no answer. */
  failedProbes: number;
  /** Requests in a row that it refused though it said that it has room. */
  refusals: number;
  refusedAt: Instant;
  /** When it last answered a question. */
  answeredAt: Instant;
  /** VMs that found it failing, and what they last said. */
  readonly accusers: Map<string, Accuser>;
  /** VMs that it answered after it was accused, and when they said so. */
  readonly vouchers: Map<string, Instant>;
  /** This VM does not vouch for it before this instant. */
  vouchAt: Deadline;
}

/** When doubts become certain. */
export interface DoubtOptions {
  readonly neededProbes: number;
  readonly neededRefusals: number;
  /** Refusals further apart are not in a row. */
  readonly refusalMilliseconds: number;
  /** Accusations count for this long. */
  readonly accusationMilliseconds: number;
  /** Single unanswered questions count for this long. */
  readonly unansweredMilliseconds: number;
  /**
   * What VMs say for an endpoint counts for this long; they are asked again
   * with each failed question, every 0.7 s.
   */
  readonly vouchedMilliseconds: number;
}

/** Share of the VMs whose unanswered questions count before this VM's own. */
const mostShare = 0.7;

/** A lost packet fails one question; a full endpoint refuses one request. */
export const defaultDoubtOptions: DoubtOptions = {
  neededProbes: 2,
  neededRefusals: 2,
  refusalMilliseconds: 2000,
  accusationMilliseconds: 3000,
  unansweredMilliseconds: 300,
  vouchedMilliseconds: 1200,
};

/** Creates the doubt of an endpoint that nothing speaks against. */
export function createDoubt(): EndpointDoubt {
  return {
    failedProbes: 0,
    refusals: 0,
    refusedAt: -Infinity,
    answeredAt: -Infinity,
    accusers: new Map(),
    vouchers: new Map(),
    vouchAt: -Infinity,
  };
}

/** Records a refusal of an endpoint that has room. */
export function recordRefusal(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): void {
  const isInRow = now - doubt.refusedAt < options.refusalMilliseconds;
  doubt.refusals = isInRow ? doubt.refusals + 1 : 1;
  doubt.refusedAt = now;
}

/** Tells whether this VM itself found the endpoint failing. */
export function isFailing(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  if (doubt.failedProbes >= options.neededProbes) return true;
  if (now - doubt.refusedAt >= options.accusationMilliseconds) return false;
  return doubt.refusals >= options.neededRefusals;
}

/**
 * Tells whether an endpoint counts as lost. One VM may itself be cut off from
 * it, so that a second must agree; while this VM reaches it, silence counts
 * only from most VMs. A single question without an answer counts when half of
 * the VMs had the same just now, or before it is asked when most had. As many
 * VMs that reach it outweigh those that do not. A VM without peers has only its own word.
 */
export function isLost(
  doubt: EndpointDoubt,
  peers: number,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  const isOwn = isFailing(doubt, now, options);
  const {refused, silent, unanswered} = countAccusers(doubt, now, options);
  if (refused >= 2) return true;
  const against = refused + silent + unanswered + (isOwn ? 1 : 0);
  if (countVouchers(doubt, now, options) >= against) return false;
  if (isOwn) return refused + silent >= Math.min(1, peers);
  if (silent > peers / 2) return true;
  const needed = doubt.failedProbes > 0 ? peers / 2 : peers * mostShare;
  return peers > 1 && silent + unanswered >= needed;
}

/**
 * Tells whether an endpoint that does not answer this VM is up: most VMs that
 * speak of it reach it. Paths may pass through it, but not begin there.
 */
export function isVouchedFor(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  if (doubt.failedProbes === 0) return false;
  const {refused, silent, unanswered} = countAccusers(doubt, now, options);
  const vouchers = countVouchers(doubt, now, options);
  return vouchers >= 2 && vouchers > refused + silent + unanswered + 1;
}

function countVouchers(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions,
): number {
  for (const [vm, at] of doubt.vouchers) {
    if (now - at >= options.vouchedMilliseconds) doubt.vouchers.delete(vm);
  }
  return doubt.vouchers.size;
}

/** Counts the VMs that speak against an endpoint, and drops old accusations. */
function countAccusers(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions,
): {refused: number; silent: number; unanswered: number} {
  let refused = 0;
  let silent = 0;
  let unanswered = 0;
  for (const [vm, {at, cause}] of doubt.accusers) {
    const age = now - at;
    if (age >= options.accusationMilliseconds) doubt.accusers.delete(vm);
    else if (cause === DoubtCause.Refusing) refused += 1;
    else if (cause === DoubtCause.Silent) silent += 1;
    else if (age < options.unansweredMilliseconds) unanswered += 1;
  }
  return {refused, silent, unanswered};
}
