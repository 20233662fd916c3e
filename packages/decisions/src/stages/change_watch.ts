import type {Instant} from '@zinniaspindle/shared';

/** When the endpoints that a plan may use last changed. */
export interface ChangeWatch {
  /** The endpoints at the last look. */
  members: string;
  /** First and last change that no plan has taken into account. */
  firstChangeAt: Instant | undefined;
  lastChangeAt: Instant;
}

/**
 * Endpoints that are lost together, such as a rack, are found lost within this
 * time of each other. A plan made in between would be changed while the
 * endpoints load what it ordered.
 */
const quietMilliseconds = 120;
/** Changes that never stop do not hold back a plan for longer. */
const maxWaitMilliseconds = 400;

/** Creates a watch that has seen nothing. */
export function createChangeWatch(): ChangeWatch {
  return {members: '', firstChangeAt: undefined, lastChangeAt: -Infinity};
}

/**
 * Records the present endpoints; tells whether a plan may take them up now, as
 * it may the first ones.
 */
export function recordMembers(
  watch: ChangeWatch,
  members: string,
  now: Instant,
): boolean {
  if (watch.members === '') {
    watch.members = members;
    return true;
  }
  if (members !== watch.members) {
    watch.members = members;
    watch.firstChangeAt ??= now;
    watch.lastChangeAt = now;
  }
  const {firstChangeAt, lastChangeAt} = watch;
  if (firstChangeAt === undefined) return true;
  const isQuiet = now - lastChangeAt >= quietMilliseconds;
  if (!isQuiet && now - firstChangeAt < maxWaitMilliseconds) return false;
  watch.firstChangeAt = undefined;
  return true;
}
