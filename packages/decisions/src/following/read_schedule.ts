import type {Instant} from '@zinniaspindle/shared';

/** When the VMs of a fleet read the store, by their rank among its readers. */
export interface ReadSchedule {
  /**
   * How long the store waits for a record before it answers a read of the VM of
   * rank 0; it answers other reads at once.
   */
  readonly waitMilliseconds: number;
  /** Age of its replica at which another VM reads the store; grows with rank. */
  readonly baseMaxAgeMilliseconds: number;
  /** Added for each rank, so that VMs take over one after the other. */
  readonly rankStepMilliseconds: number;
  /** Upper limit of the age for all VMs, readers or not. */
  readonly maxAgeMilliseconds: number;
}

/**
 * A version must be in force this long after the age at which the last VM
 * reads: a read of a slow store takes up to 0.25 s, and the rest is for sending
 * and applying the records.
 */
const applyMarginMilliseconds = 450;
/** Share of the bound for which a read of the first VM waits for a record. */
const waitShare = 0.5;
/** Time after the wait by which the records of the first VM have arrived. */
const arrivalShare = 0.125;
/** VMs that take over one after the other; all others read at the same age. */
const steppedRanks = 16;
/** Within this time, the records that one VM read reach all others. */
const minStepMilliseconds = 60;

/**
 * Derives the schedule from the time within which a change must be in force at
 * every VM.
 */
export function deriveReadSchedule(boundMilliseconds: number): ReadSchedule {
  const waitMilliseconds = boundMilliseconds * waitShare;
  const base = waitMilliseconds + boundMilliseconds * arrivalShare;
  const max = Math.max(base, boundMilliseconds - applyMarginMilliseconds);
  const step = Math.max(minStepMilliseconds, (max - base) / steppedRanks);
  return {
    waitMilliseconds,
    baseMaxAgeMilliseconds: base,
    rankStepMilliseconds: step,
    maxAgeMilliseconds: max,
  };
}

/** Time for the first reader's snapshot to reach a fleet that starts together. */
const firstReadMilliseconds = 900;

/**
 * Computes how long a VM without any records waits for a snapshot from a peer
 * when all VMs start together, counted from when it knows its peers.
 */
export function computeFirstReadDelay(
  rank: number,
  schedule: ReadSchedule,
): number {
  if (rank === 0) return 0;
  const delay = firstReadMilliseconds + rank * schedule.rankStepMilliseconds;
  return Math.min(delay, firstReadMilliseconds + schedule.maxAgeMilliseconds);
}

/**
 * Computes the age of its replica at which a VM reads the store itself. The
 * rank is the VM's place among the VMs whose last read succeeded; undefined if
 * its own last read failed.
 */
export function computeMaxAge(
  rank: number | undefined,
  schedule: ReadSchedule,
): number {
  if (rank === 0) return 0;
  if (rank === undefined) return schedule.maxAgeMilliseconds;
  const age =
    schedule.baseMaxAgeMilliseconds + rank * schedule.rankStepMilliseconds;
  return Math.min(age, schedule.maxAgeMilliseconds);
}

/** An answer to a read of the records after a position. */
export interface ReadAnswer {
  readonly sentAt: Instant;
  /** How long the store waits for a record before it answers without one. */
  readonly waitMilliseconds: number;
  readonly isEmpty: boolean;
  readonly arrivedAt: Instant;
}

/**
 * Computes up to when a replica knows all records after an answer. The arrival
 * does not tell, since an answer waits for a busy link, a lost packet or a VM that
 * was paused: an answer without records was made at the end of the wait, one with
 * records at any time since the read was sent.
 */
export function computeAnswerTime({
  sentAt,
  waitMilliseconds,
  isEmpty,
  arrivedAt,
}: ReadAnswer): Instant {
  if (!isEmpty) return sentAt;
  return Math.min(sentAt + waitMilliseconds, arrivedAt);
}
