import type {Deadline, Instant} from '@zinniaspindle/shared';

/** Why a VM considers an endpoint failing. */
export enum FailureCause {
  /** A single probe was not answered; it may be a lost packet. */
  Unanswered = 'unanswered',
  /** Consecutive probes were not answered, or nothing listens at its address. */
  Silent = 'silent',
  /** It refuses requests although it has capacity. */
  Refusing = 'refusing',
  /** It stated that it leaves: certain, and true for its whole incarnation. */
  Leaving = 'leaving',
  /** It has ended under requests; the VM that reports it names them. */
  Ended = 'ended',
}

/** A VM's report that an endpoint has failed. */
export interface Suspicion {
  readonly at: Instant;
  readonly cause: FailureCause;
}

/** The failure detector's state for one endpoint: own observations and reports of peers. */
export interface EndpointHealth {
  /** Consecutive probes of this VM that were not answered. */
  failedProbes: number;
  /** Consecutive requests that it refused although it reported capacity. */
  refusals: number;
  refusedAt: Instant;
  /** When it last answered a probe of this VM. */
  answeredAt: Instant;
  /** The latest suspicion reported by each VM. */
  readonly suspicions: Map<string, Suspicion>;
  /** When each VM last refuted a suspicion because the endpoint answered it. */
  readonly refutations: Map<string, Instant>;
  /** This VM sends no further refutation before this instant. */
  nextRefutationAt: Deadline;
}

/** Thresholds of the failure detector. */
export interface FailureDetectorOptions {
  readonly failedProbeThreshold: number;
  readonly refusalThreshold: number;
  /** Refusals further apart than this are not consecutive. */
  readonly refusalWindowMilliseconds: number;
  /** How long a suspicion counts. */
  readonly suspectedMilliseconds: number;
  /** How long a suspicion after a single unanswered probe counts. */
  readonly unansweredMilliseconds: number;
  /**
   * How long a refutation counts; longer than the 0.7 s between failed probes,
   * each of which prompts the other VMs to refute again.
   */
  readonly refutedMilliseconds: number;
}

/** Share of the peers whose suspicions suffice while no probe of this VM has failed. */
const earlySuspicionShare = 0.7;

/**
 * Two failures are required: a lost packet fails a single probe, and a full
 * endpoint refuses a single request.
 */
export const defaultFailureDetectorOptions: FailureDetectorOptions = {
  failedProbeThreshold: 2,
  refusalThreshold: 2,
  refusalWindowMilliseconds: 2000,
  suspectedMilliseconds: 3000,
  unansweredMilliseconds: 300,
  refutedMilliseconds: 1200,
};

/** Creates the state of an endpoint without failures or reports. */
export function createEndpointHealth(): EndpointHealth {
  return {
    failedProbes: 0,
    refusals: 0,
    refusedAt: -Infinity,
    answeredAt: -Infinity,
    suspicions: new Map(),
    refutations: new Map(),
    nextRefutationAt: -Infinity,
  };
}

/** Records a refusal by an endpoint that has capacity. */
export function recordRefusal(
  health: EndpointHealth,
  now: Instant,
  options: FailureDetectorOptions = defaultFailureDetectorOptions,
): void {
  const isConsecutive =
    now - health.refusedAt < options.refusalWindowMilliseconds;
  health.refusals = isConsecutive ? health.refusals + 1 : 1;
  health.refusedAt = now;
}

/** Tells whether the endpoint fails by this VM's own observations. */
export function isFailing(
  health: EndpointHealth,
  now: Instant,
  options: FailureDetectorOptions = defaultFailureDetectorOptions,
): boolean {
  if (health.failedProbes >= options.failedProbeThreshold) return true;
  if (now - health.refusedAt >= options.suspectedMilliseconds) return false;
  return health.refusals >= options.refusalThreshold;
}

/**
 * Tells whether the reports of all VMs confirm that an endpoint has failed:
 *
 * - Two VMs that report unjustified refusals suffice.
 * - Otherwise as many refutations as suspicions prevent the confirmation.
 * - If this VM finds the endpoint failing, one more VM must agree, since this VM
 *   may itself be partitioned; without peers its own observation suffices.
 * - If this VM reaches the endpoint, more than half of the peers must find it
 *   silent.
 * - Recent single unanswered probes count as well if there are several peers and
 *   half of them suspect the endpoint after a failed probe of this VM, or 70%
 *   while no probe of this VM has failed.
 */
export function isConfirmedFailed(
  health: EndpointHealth,
  peers: number,
  now: Instant,
  options: FailureDetectorOptions = defaultFailureDetectorOptions,
): boolean {
  const failsLocally = isFailing(health, now, options);
  const {refused, silent, unanswered} = countSuspicions(health, now, options);
  if (refused >= 2) return true;
  const suspecting = refused + silent + unanswered + (failsLocally ? 1 : 0);
  if (countRefutations(health, now, options) >= suspecting) return false;
  if (failsLocally) return refused + silent >= Math.min(1, peers);
  if (silent > peers / 2) return true;
  const needed =
    health.failedProbes > 0 ? peers / 2 : peers * earlySuspicionShare;
  return peers > 1 && silent + unanswered >= needed;
}

/**
 * Tells whether an endpoint that does not answer this VM is alive: at least two
 * VMs refute the failure, and more than suspect it, this VM counted among the
 * latter. Paths may pass through the endpoint, but not begin there.
 */
export function isConfirmedAlive(
  health: EndpointHealth,
  now: Instant,
  options: FailureDetectorOptions = defaultFailureDetectorOptions,
): boolean {
  if (health.failedProbes === 0) return false;
  const {refused, silent, unanswered} = countSuspicions(health, now, options);
  const alive = countRefutations(health, now, options);
  return alive >= 2 && alive > refused + silent + unanswered + 1;
}

function countRefutations(
  health: EndpointHealth,
  now: Instant,
  options: FailureDetectorOptions,
): number {
  for (const [vm, at] of health.refutations) {
    if (now - at >= options.refutedMilliseconds) health.refutations.delete(vm);
  }
  return health.refutations.size;
}

/** Counts the suspicions by cause and removes the expired ones. */
function countSuspicions(
  health: EndpointHealth,
  now: Instant,
  options: FailureDetectorOptions,
): {refused: number; silent: number; unanswered: number} {
  let refused = 0;
  let silent = 0;
  let unanswered = 0;
  for (const [vm, {at, cause}] of health.suspicions) {
    const age = now - at;
    if (age >= options.suspectedMilliseconds) health.suspicions.delete(vm);
    else if (cause === FailureCause.Refusing) refused += 1;
    else if (cause === FailureCause.Silent) silent += 1;
    else if (age < options.unansweredMilliseconds) unanswered += 1;
  }
  return {refused, silent, unanswered};
}
