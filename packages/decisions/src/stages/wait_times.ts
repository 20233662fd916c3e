import type {Random} from '@zinniaspindle/shared';

/** How long requests wait, and when refused callers come back. */
export interface WaitOptions {
  /** Share of the target for which a request waits for a place on a path. */
  readonly placeShare: number;
  /** The same while there is no path at all. */
  readonly pathShare: number;
  /** A repair of a lost range takes this long at least. */
  readonly leastReturnMilliseconds: number;
  /** Callers refused together return over this time. */
  readonly returnSpreadMilliseconds: number;
  /** Share of the time left for which callers honour a time to return. */
  readonly honouredShare: number;
}

/**
 * A load takes 1 to 3 s (14 s for 80 layers, site files); a caller that comes
 * back is late for its target in any case, and one that is refused twice is
 * lost, so that later is better.
 */
export const defaultWaitOptions: WaitOptions = {
  placeShare: 0.4,
  pathShare: 0.12,
  leastReturnMilliseconds: 1500,
  returnSpreadMilliseconds: 5000,
  honouredShare: 1 / 3,
};

/** Computes how long a request may wait before it is refused. */
export function computePatience(
  targetMilliseconds: number,
  hasPath: boolean,
  options: WaitOptions = defaultWaitOptions,
): number {
  const share = hasPath ? options.placeShare : options.pathShare;
  return targetMilliseconds * share;
}

/** Computes after how long a refused caller should come back. */
export function computeReturn(
  leftMilliseconds: number,
  random: Random,
  options: WaitOptions = defaultWaitOptions,
): number {
  const wanted =
    options.leastReturnMilliseconds +
    random() * options.returnSpreadMilliseconds;
  return Math.max(
    0,
    Math.min(wanted, leftMilliseconds * options.honouredShare),
  );
}
