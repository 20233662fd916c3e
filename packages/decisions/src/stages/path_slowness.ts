import {countLayers, type Instant} from '@zinniaspindle/shared';
import type {StagePath} from './stage_types.js';

/** Gaps between the events of a path; recent ones weigh more. */
export interface GapRecord {
  /** Weighted sum of the observed gaps. */
  observedMilliseconds: number;
  /** Weighted sum of the gaps predicted for the same events. */
  predictedMilliseconds: number;
  /** When the last event arrived. */
  at: Instant;
}

/** How many times slower than usual an endpoint says that it runs. */
export interface ReportedPace {
  readonly pace: number;
  /** When it applied: the report's arrival less its lag. */
  readonly at: Instant;
}

const maxSlowness = 32;

/** Gaps of this age weigh 1/e: a slowed path is known after some events. */
const smoothingMilliseconds = 400;

/** Age of the last event from which a path's slowness is doubted. */
const holdMilliseconds = 500;

/**
 * Time in which the doubted excess over 1 falls to 1/e: a path that was slowed 6
 * times is tried again after some 4 s without events.
 */
const decayMilliseconds = 1500;

/** Creates the record of a path without events. */
export function createGapRecord(): GapRecord {
  return {
    observedMilliseconds: 0,
    predictedMilliseconds: 0,
    at: -Infinity,
  };
}

/**
 * Records that some events of a stream took a time. The times are summed, not
 * their ratios: what a busy VM reads late in one event is missing in the next.
 */
export function recordPathGap(
  record: GapRecord,
  now: Instant,
  observedMilliseconds: number,
  predictedMilliseconds: number,
): void {
  const isSound =
    isPositive(observedMilliseconds) && isPositive(predictedMilliseconds);
  if (!isSound) return;
  const age = Math.max(0, now - record.at);
  const kept = Math.exp(-age / smoothingMilliseconds);
  record.observedMilliseconds =
    record.observedMilliseconds * kept + observedMilliseconds;
  record.predictedMilliseconds =
    record.predictedMilliseconds * kept + predictedMilliseconds;
  record.at = now;
}

/** Checks a stated pace; undefined if it is none. */
export function readPace(value: unknown): number | undefined {
  if (typeof value !== 'number' || !isPositive(value)) return undefined;
  return computeBounded(value);
}

/** When a path's slowness is computed, and whether the VM has streams on it. */
export interface SlownessQuery {
  readonly now: Instant;
  readonly isUsed: boolean;
}

/**
 * Computes how many times slower than predicted a path runs, 1 to 32. An
 * endpoint's report counts where it is newer than the last event of the path.
 * What was observed decays only while the VM has no streams there: a slow path
 * is tried with one stream, and takes others once its events tell.
 */
export function computeSlowness(
  path: StagePath,
  record: GapRecord | undefined,
  findPace: (id: string) => ReportedPace | undefined,
  {now, isUsed}: SlownessQuery,
): number {
  const seenAt = record?.at ?? -Infinity;
  const seen =
    record === undefined ? 1 : computeSeen(record, isUsed ? record.at : now);
  let usual = 0;
  let slowed = 0;
  for (const {endpoint, layers} of path.parts) {
    const weight = endpoint.pace * countLayers(layers);
    const report = findPace(endpoint.id);
    const isNewer = report !== undefined && report.at > seenAt;
    usual += weight;
    slowed +=
      weight * (isNewer ? computeDecayed(report.pace, now - report.at) : seen);
  }
  return usual > 0 ? computeBounded(slowed / usual) : 1;
}

/** Tells whether the gaps are so old that they no longer count. */
export function isForgotten({at}: GapRecord, now: Instant): boolean {
  return now - at > holdMilliseconds + 5 * decayMilliseconds;
}

function computeSeen(record: GapRecord, now: Instant): number {
  const {observedMilliseconds, predictedMilliseconds, at} = record;
  if (predictedMilliseconds <= 0) return 1;
  const ratio = observedMilliseconds / predictedMilliseconds;
  return computeDecayed(computeBounded(ratio), now - at);
}

function computeDecayed(slowness: number, age: number): number {
  const doubted = Math.max(0, age - holdMilliseconds);
  const kept = Math.exp(-doubted / decayMilliseconds);
  return 1 + (computeBounded(slowness) - 1) * kept;
}

function computeBounded(value: number): number {
  return Math.min(maxSlowness, Math.max(1, value));
}

/** Larger values are faults of a clock or of a statement. */
const maxValue = 1e9;

function isPositive(value: number): boolean {
  return value > 0 && value <= maxValue;
}
