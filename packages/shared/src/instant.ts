/** A point in time: milliseconds since the Unix epoch. */
export type Instant = number;

/** The instant from which on something is no longer valid or wanted. */
export type Deadline = Instant;

/** Milliseconds in a second. */
export const millisecondsPerSecond = 1000;

/** Tells whether a deadline has been reached or passed. */
export function isPast(deadline: Deadline, now: Instant): boolean {
  return now >= deadline;
}
