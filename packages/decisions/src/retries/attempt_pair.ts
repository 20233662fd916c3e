/**
 * The running attempts of a request, two at most. A further one is sent beside
 * an attempt without progress, which may be alive: only the progress of one
 * shows which of the two is to be given up.
 */
export interface AttemptPair<Attempt> {
  /** The attempt that the answer comes from, as far as it has begun. */
  current: Attempt | undefined;
  /** The further one, until either of them makes progress or ends. */
  next: Attempt | undefined;
}

/** Creates a pair without attempts. */
export function createAttemptPair<Attempt>(): AttemptPair<Attempt> {
  return {current: undefined, next: undefined};
}

/** Adds an attempt that is sent; it is the further one if another is running. */
export function addAttempt<Attempt>(
  pair: AttemptPair<Attempt>,
  attempt: Attempt,
): void {
  if (pair.current === undefined) pair.current = attempt;
  else pair.next = attempt;
}

/** Tells whether a further attempt may run beside the current one. */
export function hasRoom(pair: AttemptPair<unknown>): boolean {
  return pair.next === undefined;
}

/** Applies the progress of an attempt; returns the one to be given up, if any. */
export function applyProgress<Attempt>(
  pair: AttemptPair<Attempt>,
  attempt: Attempt,
): Attempt | undefined {
  const other = pair.current === attempt ? pair.next : pair.current;
  pair.current = attempt;
  pair.next = undefined;
  return other;
}

/** Removes an attempt that has ended; returns the one that goes on, if any. */
export function removeAttempt<Attempt>(
  pair: AttemptPair<Attempt>,
  attempt: Attempt,
): Attempt | undefined {
  if (pair.next === attempt) pair.next = undefined;
  if (pair.current !== attempt) return pair.current;
  pair.current = pair.next;
  pair.next = undefined;
  return pair.current;
}

/** Lists the attempts that are running. */
export function listAttempts<Attempt>({
  current,
  next,
}: AttemptPair<Attempt>): Attempt[] {
  return [current, next].filter(one => one !== undefined);
}
