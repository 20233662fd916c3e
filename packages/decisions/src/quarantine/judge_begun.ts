import {lastingMilliseconds} from './part_evidence.js';

/** Ends count as nearby up to this time before and after an end. */
export const nearbyMilliseconds = 1000;

/** An end of an endpoint that had attempts with some trait. */
export interface TraitEnd {
  /** Time for which these attempts had been there, in milliseconds. */
  readonly exposureMilliseconds: number;
  /** Number of these attempts. */
  readonly attempts: number;
  /** Ends of the service's endpoints within `nearbyMilliseconds`, with this one. */
  readonly nearbyEnds: number;
}

/** What the ends that accuse a trait are compared with. */
export interface BegunComparison {
  /** Attempts of the fleet within the time compared. */
  readonly attempts: number;
  /** Ends without the trait within the time compared. */
  readonly otherEnds: number;
  /** Endpoints of the service. */
  readonly endpoints: number;
  /** Whether it is a part that no VM remembers a lasting answer on. */
  readonly isNewPart: boolean;
}

const minEnds = 3;
/** Number of traits that may be expected to be accused by chance. */
const maxByChance = 0.0002;
/**
 * The same for parts that no VM remembers a lasting answer on; one that is sound is
 * cleared as soon as there is such an answer.
 */
const maxNewByChance = 0.02;
/** Shorter stays at an endpoint count as this one. */
const minExposureMilliseconds = 20;

/**
 * Tells whether endpoints ended too often for chance while answers to requests with
 * one trait were young. An end breaks all answers of its endpoint, so that their
 * number shows nothing. By chance, an attempt is at an endpoint that ends the less
 * likely, the shorter it is there and the fewer of them end at that time; or, if any
 * request may end its endpoint, the fewer of all attempts are followed by an end.
 * @param further ends that are assumed besides, like the last of these
 */
export function isBegunAccused(
  ends: readonly TraitEnd[],
  {attempts, otherEnds, endpoints, isNewPart}: BegunComparison,
  further: number,
): boolean {
  const last = ends.at(-1);
  if (last === undefined || ends.length + further < minEnds) return false;
  const assumed = Array<TraitEnd>(Math.max(0, further)).fill(last);
  const all = [...ends, ...assumed].slice(0, ends.length + further);
  const byAnyRequest = (otherEnds + 1) / attempts;
  let product = 1;
  let most = 1;
  for (const end of all) {
    // Endpoints that have just ended were among those that could.
    const candidates = Math.max(1, endpoints, end.nearbyEnds);
    const endsPerMillisecond =
      end.nearbyEnds / (2 * nearbyMilliseconds * candidates);
    const computeShare = (exposure: number) =>
      Math.min(1, Math.max(byAnyRequest, endsPerMillisecond * exposure));
    const exposure = Math.max(
      minExposureMilliseconds,
      end.exposureMilliseconds,
    );
    product *= computeShare(exposure);
    most *= computeShare(
      Math.max(exposure, end.attempts * lastingMilliseconds),
    );
  }
  const expected = attempts * computeTail(product, most, all.length);
  return expected <= (isNewPart ? maxNewByChance : maxByChance);
}

/**
 * Computes the probability that a product of independent shares, each of which is
 * distributed uniformly up to a bound, is not greater than the given one.
 * @param most the product of the bounds
 */
function computeTail(product: number, most: number, count: number): number {
  const logarithm = Math.log(most / product);
  let term = 1;
  let sum = 1;
  for (let k = 1; k < count; k += 1) {
    term *= logarithm / k;
    sum += term;
  }
  return Math.min(most, product * sum);
}
