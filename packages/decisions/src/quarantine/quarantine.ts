import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import {hasAll} from './accusations.js';

/**
 * Traits, digests of a request or parts of prompts, whose requests are refused, or
 * were: those of one service
 * that have all of the parts. Instants are in Unix milliseconds, since VMs and
 * the store exchange them.
 */
export interface Quarantine {
  readonly service: string;
  /** Sorted ids. */
  readonly parts: readonly string[];
  /** Rises with each change. */
  readonly revision: number;
  readonly isLifted: boolean;
  /** When the first endpoint ended under the parts. */
  readonly since: Instant;
  /** Requests that were sent, one by one, to see whether it still holds. */
  readonly trials: number;
  /** When the next of them may be sent. */
  readonly nextTrialAt: Deadline;
}

/**
 * Time to each trial. A quarantine that withstands them stays: each costs an
 * endpoint if the parts end endpoints, and sound parts are answered at the first.
 */
const trialDelays: readonly number[] = [60_000, 600_000];
/** Quarantines that are kept. */
export const maxQuarantines = 64;

/** Creates a quarantine. */
export function createQuarantine(
  service: string,
  parts: readonly string[],
  since: Instant,
  now: Instant,
): Quarantine {
  return {
    service,
    parts: [...parts].sort(),
    revision: 1,
    isLifted: false,
    since,
    trials: 0,
    nextTrialAt: now + trialDelays[0]!,
  };
}

/** Identifies a quarantine among all revisions of it. */
export function getQuarantineKey({
  service,
  parts,
}: Pick<Quarantine, 'service' | 'parts'>): string {
  return `${service} ${parts.join(' ')}`;
}

/** Makes the revision of a quarantine that is lifted. */
export function closeQuarantine(quarantine: Quarantine): Quarantine {
  return {...quarantine, revision: quarantine.revision + 1, isLifted: true};
}

/** Makes the revision of a quarantine that is set again. */
export function resumeQuarantine(
  quarantine: Quarantine,
  since: Instant,
  now: Instant,
): Quarantine {
  const {trials} = quarantine;
  return {
    ...quarantine,
    revision: quarantine.revision + 1,
    isLifted: false,
    since,
    nextTrialAt: computeNextTrial(trials, now),
  };
}

/** Tells whether a trial of a quarantine may begin. */
export function isTrialDue(quarantine: Quarantine, now: Instant): boolean {
  return !quarantine.isLifted && isPast(quarantine.nextTrialAt, now);
}

/** Makes the revision of a quarantine whose next trial begins. */
export function startTrial(quarantine: Quarantine, now: Instant): Quarantine {
  const trials = quarantine.trials + 1;
  const revision = quarantine.revision + 1;
  const nextTrialAt = computeNextTrial(trials, now);
  return {...quarantine, revision, trials, nextTrialAt};
}

function computeNextTrial(trials: number, now: Instant): Deadline {
  const delay = trialDelays[trials];
  return delay === undefined ? Infinity : now + delay;
}

/** Tells whether one revision of a quarantine replaces another, or none. */
export function isNewerQuarantine(
  quarantine: Quarantine,
  known: Quarantine | undefined,
): boolean {
  if (known === undefined) return true;
  const {revision, isLifted} = quarantine;
  if (revision !== known.revision) return revision > known.revision;
  return isLifted && !known.isLifted;
}

/** Tells whether a quarantine holds for a request with some traits. */
export function matchQuarantine(
  {isLifted, parts}: Quarantine,
  traits: readonly string[],
): boolean {
  return !isLifted && hasAll(traits, parts);
}

/**
 * Reads a quarantine that a peer or the store holds; undefined if it is
 * malformed.
 */
export function parseQuarantine(row: unknown): Quarantine | undefined {
  if (!Array.isArray(row)) return undefined;
  const [service, parts, revision, isLifted, since, trials, nextTrialAt] =
    row as unknown[];
  if (typeof service !== 'string' || !Array.isArray(parts)) return undefined;
  if (parts.length === 0) return undefined;
  if (!parts.every(part => typeof part === 'string')) return undefined;
  const numbers = [revision, since, trials];
  if (!numbers.every(one => Number.isFinite(one))) return undefined;
  const isDeadline = nextTrialAt === null || Number.isFinite(nextTrialAt);
  if (typeof isLifted !== 'boolean' || !isDeadline) return undefined;
  return {
    service,
    parts: [...(parts as string[])].sort(),
    revision: revision as number,
    isLifted,
    since: since as number,
    trials: trials as number,
    nextTrialAt: (nextTrialAt as number | null) ?? Infinity,
  };
}

/** A quarantine as a row of fields. */
export type QuarantineRow = readonly [
  service: string,
  parts: readonly string[],
  revision: number,
  isLifted: boolean,
  since: Instant,
  trials: number,
  /** Null if there is no further trial. */
  nextTrialAt: Deadline | null,
];

/** Formats a quarantine as a row for a peer or the store. */
export function formatQuarantine(quarantine: Quarantine): QuarantineRow {
  const {service, parts, revision, isLifted, since, trials} = quarantine;
  const {nextTrialAt} = quarantine;
  const next = Number.isFinite(nextTrialAt) ? nextTrialAt : null;
  return [service, parts, revision, isLifted, since, trials, next];
}
