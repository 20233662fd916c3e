import type {Deadline, Instant} from '@zinniaspindle/shared';

/** Why a VM considers an endpoint failing. */
export enum DoubtCause {
  /** A single probe was not answered; it may be a lost packet. */
  Unanswered = 'unanswered',
  /** Several probes in a row were not answered, or it is unreachable. */
  Silent = 'silent',
  /** It refuses requests although it has capacity. */
  Refusing = 'refusing',
}

/** A VM's vote that an endpoint has failed. */
export interface Accuser {
  readonly at: Instant;
  readonly cause: DoubtCause;
}

/** The failure detector's state for one endpoint: own observations and votes of peers. */
export interface EndpointDoubt {
  /** Consecutive probes of this VM that were not answered. */
  failedProbes: number;
  /** Consecutive requests that it refused although it reported capacity. */
  refusals: number;
  refusedAt: Instant;
  /** When it last answered a probe of this VM. */
  answeredAt: Instant;
  /** The latest failure vote of each VM. */
  readonly accusers: Map<string, Accuser>;
  /** When each VM last voted that the endpoint is alive, in answer to a failure vote. */
  readonly vouchers: Map<string, Instant>;
  /** This VM sends no further alive vote before this instant. */
  vouchAt: Deadline;
}

/** Thresholds of the failure detector. */
export interface DoubtOptions {
  readonly failedProbeThreshold: number;
  readonly refusalThreshold: number;
  /** Refusals further apart than this are not consecutive. */
  readonly refusalWindowMilliseconds: number;
  /** How long a failure vote counts. */
  readonly failureVoteTtlMilliseconds: number;
  /** How long a vote for a single unanswered probe counts. */
  readonly unansweredVoteTtlMilliseconds: number;
  /**
   * How long an alive vote counts; longer than the 0.7 s between failed probes,
   * each of which prompts the other VMs to vote again.
   */
  readonly aliveVoteTtlMilliseconds: number;
}

/** Share of the peers whose failure votes suffice before this VM's own probe. */
const earlyVoteShare = 0.7;

/**
 * Two failures are required: a lost packet fails a single probe, and a full
 * endpoint refuses a single request.
 */
export const defaultDoubtOptions: DoubtOptions = {
  failedProbeThreshold: 2,
  refusalThreshold: 2,
  refusalWindowMilliseconds: 2000,
  failureVoteTtlMilliseconds: 3000,
  unansweredVoteTtlMilliseconds: 300,
  aliveVoteTtlMilliseconds: 1200,
};

/** Creates the state of an endpoint without failures or votes. */
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

/** Records a refusal by an endpoint that has capacity. */
export function recordRefusal(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): void {
  const isInRow = now - doubt.refusedAt < options.refusalWindowMilliseconds;
  doubt.refusals = isInRow ? doubt.refusals + 1 : 1;
  doubt.refusedAt = now;
}

/** Tells whether the endpoint fails by this VM's own observations. */
export function isFailing(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  if (doubt.failedProbes >= options.failedProbeThreshold) return true;
  if (now - doubt.refusedAt >= options.failureVoteTtlMilliseconds) return false;
  return doubt.refusals >= options.refusalThreshold;
}

/**
 * Tells whether the votes confirm that an endpoint has failed:
 *
 * - Two VMs that report unjustified refusals suffice.
 * - Otherwise as many alive votes as failure votes prevent the confirmation.
 * - If this VM finds the endpoint failing, one more VM must agree, since this VM
 *   may itself be partitioned; without peers its own observation suffices.
 * - If this VM reaches the endpoint, more than half of the peers must find it
 *   silent.
 * - Votes for single unanswered probes count as well if half of the peers cast
 *   one and this VM's own probe failed, or if 70% did before this VM probed.
 */
export function isLost(
  doubt: EndpointDoubt,
  peers: number,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  const failsLocally = isFailing(doubt, now, options);
  const {refused, silent, unanswered} = countFailureVotes(doubt, now, options);
  if (refused >= 2) return true;
  const against = refused + silent + unanswered + (failsLocally ? 1 : 0);
  if (countAliveVotes(doubt, now, options) >= against) return false;
  if (failsLocally) return refused + silent >= Math.min(1, peers);
  if (silent > peers / 2) return true;
  const needed = doubt.failedProbes > 0 ? peers / 2 : peers * earlyVoteShare;
  return peers > 1 && silent + unanswered >= needed;
}

/**
 * Tells whether an endpoint that does not answer this VM is alive by the
 * majority of the votes. Paths may pass through it, but not begin there.
 */
export function isVouchedFor(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions = defaultDoubtOptions,
): boolean {
  if (doubt.failedProbes === 0) return false;
  const {refused, silent, unanswered} = countFailureVotes(doubt, now, options);
  const vouchers = countAliveVotes(doubt, now, options);
  return vouchers >= 2 && vouchers > refused + silent + unanswered + 1;
}

function countAliveVotes(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions,
): number {
  for (const [vm, at] of doubt.vouchers) {
    if (now - at >= options.aliveVoteTtlMilliseconds) doubt.vouchers.delete(vm);
  }
  return doubt.vouchers.size;
}

/** Counts the failure votes by cause and removes the expired ones. */
function countFailureVotes(
  doubt: EndpointDoubt,
  now: Instant,
  options: DoubtOptions,
): {refused: number; silent: number; unanswered: number} {
  let refused = 0;
  let silent = 0;
  let unanswered = 0;
  for (const [vm, {at, cause}] of doubt.accusers) {
    const age = now - at;
    if (age >= options.failureVoteTtlMilliseconds) doubt.accusers.delete(vm);
    else if (cause === DoubtCause.Refusing) refused += 1;
    else if (cause === DoubtCause.Silent) silent += 1;
    else if (age < options.unansweredVoteTtlMilliseconds) unanswered += 1;
  }
  return {refused, silent, unanswered};
}
