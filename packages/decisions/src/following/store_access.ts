import type {Deadline, Instant, Random} from '@zinniaspindle/shared';

/** Whether the store serves this VM, by its last read. */
export interface StoreAccess {
  /** When the first of the failed reads in a row failed; undefined if none. */
  failedSince: Instant | undefined;
  backoffMilliseconds: number;
  /** No read starts before this instant. */
  retryAt: Deadline;
  /** A VM that peers keep up to date reads again at this instant. */
  probeAt: Deadline;
}

const initialBackoffMilliseconds = 250;
const maxBackoffMilliseconds = 1500;
/** Rank from which on VMs retry less often; the first ones inform them. */
const patientRank = 16;
const patientInitialBackoffMilliseconds = 1000;
const patientMaxBackoffMilliseconds = 4000;
/** Interval at which a VM that peers keep up to date tries the store again. */
const probeIntervalMilliseconds = 4000;

/** Creates the state of a VM whose reads have not failed. */
export function createStoreAccess(): StoreAccess {
  return {
    failedSince: undefined,
    backoffMilliseconds: 0,
    retryAt: -Infinity,
    probeAt: Infinity,
  };
}

/**
 * Records a failed read; the rank is the VM's place among all live VMs. In a
 * large fleet only the first VMs retry often, since one that succeeds passes
 * the records on to all.
 */
export function recordReadFailure(
  access: StoreAccess,
  rank: number,
  now: Instant,
  random: Random,
): void {
  const isPatient = rank >= patientRank;
  const least = isPatient
    ? patientInitialBackoffMilliseconds
    : initialBackoffMilliseconds;
  const most = isPatient
    ? patientMaxBackoffMilliseconds
    : maxBackoffMilliseconds;
  const doubled = Math.max(least, access.backoffMilliseconds * 2);
  access.backoffMilliseconds = Math.min(doubled, most);
  access.retryAt = now + access.backoffMilliseconds * (0.75 + random() / 2);
  access.probeAt = now + probeIntervalMilliseconds * (0.75 + random() / 2);
  access.failedSince ??= now;
}

/** Records a read that the store answered. */
export function recordReadSuccess(access: StoreAccess): void {
  access.failedSince = undefined;
  access.backoffMilliseconds = 0;
  access.retryAt = -Infinity;
  access.probeAt = Infinity;
}

/**
 * Tells whether a VM reads the store now, given the age of its replica and the
 * age at which its rank reads. After a failure it keeps its backoff, and also
 * tries again now and then while peers keep its replica up to date: otherwise a
 * store that turned away each VM once would have no reader left.
 */
export function isReadDue(
  access: StoreAccess,
  ageMilliseconds: number,
  maxAgeMilliseconds: number,
  now: Instant,
): boolean {
  if (now < access.retryAt) return false;
  return ageMilliseconds >= maxAgeMilliseconds || now >= access.probeAt;
}
