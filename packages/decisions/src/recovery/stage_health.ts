import type {EndpointId, Instant, Random} from '@zinniaspindle/shared';
import {
  canSend,
  createBreaker,
  recordFailure,
  recordSend,
  recordSuccess,
  type Breaker,
  type FailureCertainty,
} from '../retries/breaker.js';
import {setFailing, type FleetView} from '../routing/fleet_view.js';
import {
  computeSilentAt,
  createGapEstimator,
  recordGap,
  type GapEstimator,
} from './gap_estimator.js';

/** One VM's observations of each stage: circuit breakers, token gaps, last tokens. */
export interface StageHealth {
  readonly breakers: Map<EndpointId, Breaker>;
  readonly gapEstimators: Map<EndpointId, GapEstimator>;
  readonly lastTokenAt: Map<EndpointId, Instant>;
}

/** Timeout for the first token after its predicted time. */
const firstTokenTimeoutMilliseconds = 1800;

/** Creates the state without observations. */
export function createStageHealth(): StageHealth {
  return {
    breakers: new Map(),
    gapEstimators: new Map(),
    lastTokenAt: new Map(),
  };
}

/** Records that a request was sent to a stage; it may be a circuit breaker's probe. */
export function recordStageSent(
  health: StageHealth,
  view: FleetView,
  endpoint: EndpointId,
  now: Instant,
): void {
  const breaker = health.breakers.get(endpoint);
  if (breaker === undefined || !canSend(breaker, now)) return;
  recordSend(breaker, now);
  setFailing(view, endpoint, breaker.nextProbeAt);
}

/** Records that a stage delivered a first token. */
export function recordStageWorking(
  health: StageHealth,
  view: FleetView,
  endpoint: EndpointId,
): void {
  const breaker = health.breakers.get(endpoint);
  if (breaker === undefined) return;
  recordSuccess(breaker);
  setFailing(view, endpoint, breaker.nextProbeAt);
}

/** Records that a stage broke off a stream or became silent. */
export function recordStageLost(
  health: StageHealth,
  view: FleetView,
  endpoint: EndpointId,
  certainty: FailureCertainty,
  now: Instant,
  random: Random,
): void {
  const breaker = health.breakers.get(endpoint) ?? createBreaker();
  health.breakers.set(endpoint, breaker);
  recordFailure(breaker, certainty, now, random);
  setFailing(view, endpoint, breaker.nextProbeAt);
}

/** Records that all stages of a chain delivered a token. */
export function recordChainToken(
  health: StageHealth,
  chain: readonly EndpointId[],
  now: Instant,
): void {
  for (const endpoint of chain) health.lastTokenAt.set(endpoint, now);
}

/** Records the milliseconds between two tokens of a chain. */
export function recordChainGap(
  health: StageHealth,
  chain: readonly EndpointId[],
  gap: number,
): void {
  for (const endpoint of chain) {
    const estimator =
      health.gapEstimators.get(endpoint) ?? createGapEstimator();
    health.gapEstimators.set(endpoint, estimator);
    recordGap(estimator, gap);
  }
}

/**
 * Computes when a chain counts as silent. Before the first token of the attempt,
 * `lastTokenAt` is the time at which that token is predicted.
 */
export function computeChainSilentAt(
  health: StageHealth,
  chain: readonly EndpointId[],
  lastTokenAt: Instant,
  hasToken: boolean,
  lateness = 0,
): Instant {
  if (!hasToken) return lastTokenAt + firstTokenTimeoutMilliseconds + lateness;
  let latest = 0;
  for (const endpoint of chain) {
    const estimator =
      health.gapEstimators.get(endpoint) ?? createGapEstimator();
    const silentAt = computeSilentAt(estimator, lastTokenAt, lateness);
    latest = Math.max(latest, silentAt);
  }
  return latest;
}

/**
 * Finds the stages of a silent chain that have delivered no token to other streams
 * since; all stages if each has delivered one.
 */
export function findSilentStages(
  health: StageHealth,
  chain: readonly EndpointId[],
  lastTokenAt: Instant,
): EndpointId[] {
  const silent: EndpointId[] = [];
  for (const endpoint of chain) {
    const last = health.lastTokenAt.get(endpoint) ?? 0;
    if (last <= lastTokenAt) silent.push(endpoint);
  }
  return silent.length > 0 ? silent : [...chain];
}

/** Lists the stages whose circuit breaker is open, for the digest. */
export function listFailingStages(
  health: StageHealth,
  now: Instant,
): EndpointId[] {
  const failing: EndpointId[] = [];
  for (const [endpoint, breaker] of health.breakers) {
    if (!canSend(breaker, now)) failing.push(endpoint);
  }
  return failing;
}
