import type {Deadline, Instant} from '@zinniaspindle/shared';

/** Why a path cannot take a request now. */
export enum RouteDenial {
  /** Its slots or memory are in use. */
  Full = 'full',
  /** It was silent, and is avoided for a while. */
  Avoided = 'avoided',
  /** Its first endpoint asked for a pause. */
  Pausing = 'pausing',
  /** Its first endpoint has the requests a second that it takes. */
  Limited = 'limited',
  /** The link between data centres has no room for it. */
  NoCrossing = 'noCrossing',
  /** The request has just left it. */
  Left = 'left',
}

/** A path that was considered for a request. */
export interface RouteCandidate {
  /** Key of the path. */
  readonly path: string;
  /** The lowest is picked. */
  readonly score: number;
  /** Undefined if it can take the request. */
  readonly denial: RouteDenial | undefined;
  /** When the denial ends; undefined if that is not known. */
  readonly returnAt?: Deadline | undefined;
}

/** Why a path was not picked. */
export enum RouteLoss {
  Denied = 'denied',
  /** The score of another path is lower. */
  Outscored = 'outscored',
  /** Its score is no number. */
  NoScore = 'noScore',
}

/** A path that was not picked, and why. */
export interface LosingPath {
  readonly path: string;
  readonly loss: RouteLoss;
  readonly denial: RouteDenial | undefined;
  readonly returnAt: Deadline | undefined;
  /** By how much its score exceeds that of the path picked. */
  readonly excess: number | undefined;
}

/** Why no path was picked. */
export interface RouteRefusal {
  /** Number of paths with each denial; empty if there are no paths. */
  readonly denials: ReadonlyMap<RouteDenial, number>;
  /** When the first path takes requests again; undefined if not known. */
  readonly returnAt: Deadline | undefined;
}

/** Where a request would be sent now, and why. */
export interface RouteDescription {
  /** Number of paths considered. */
  readonly paths: number;
  readonly picked: {readonly path: string; readonly score: number} | undefined;
  /** Those that can take the request first, by their scores. */
  readonly others: readonly LosingPath[];
  /** Paths left out of `others`. */
  readonly omitted: number;
  /** Undefined if a path was picked. */
  readonly refusal: RouteRefusal | undefined;
}

/** Paths listed at most; a service with more is described by its best ones. */
export const maxListedPaths = 64;

/**
 * Describes the choice among the candidate paths of a request: the one with the
 * lowest score, of those with equal scores the first.
 */
export function describeRoute(
  candidates: readonly RouteCandidate[],
  now: Instant,
): RouteDescription {
  const picked = pickBest(candidates);
  const losers = candidates.filter(candidate => candidate !== picked);
  const others = losers
    .map(candidate => describeLoser(candidate, picked, now))
    .sort(compareLosers);
  const listed = others.slice(0, maxListedPaths);
  return {
    paths: candidates.length,
    picked: picked && {path: picked.path, score: picked.score},
    others: listed,
    omitted: others.length - listed.length,
    refusal:
      picked === undefined ? describeRefusal(candidates, others) : undefined,
  };
}

function pickBest(
  candidates: readonly RouteCandidate[],
): RouteCandidate | undefined {
  let best: RouteCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.denial !== undefined || Number.isNaN(candidate.score)) {
      continue;
    }
    if (best === undefined || candidate.score < best.score) best = candidate;
  }
  return best;
}

function describeLoser(
  {path, score, denial, returnAt}: RouteCandidate,
  picked: RouteCandidate | undefined,
  now: Instant,
): LosingPath {
  const excess = picked === undefined ? NaN : score - picked.score;
  return {
    path,
    loss: findLoss(score, denial),
    denial,
    returnAt: denial === undefined ? undefined : computeReturn(returnAt, now),
    excess: Number.isNaN(excess) ? undefined : excess,
  };
}

function findLoss(score: number, denial: RouteDenial | undefined): RouteLoss {
  if (denial !== undefined) return RouteLoss.Denied;
  return Number.isNaN(score) ? RouteLoss.NoScore : RouteLoss.Outscored;
}

/** A denial whose end has passed ends as soon as it is looked at again. */
function computeReturn(
  returnAt: Deadline | undefined,
  now: Instant,
): Deadline | undefined {
  if (returnAt === undefined || !Number.isFinite(returnAt)) return undefined;
  return Math.max(returnAt, now);
}

const lossOrder = [RouteLoss.Outscored, RouteLoss.NoScore, RouteLoss.Denied];

function compareLosers(a: LosingPath, b: LosingPath): number {
  const order = lossOrder.indexOf(a.loss) - lossOrder.indexOf(b.loss);
  if (order !== 0) return order;
  const [first, second] = [a.excess ?? Infinity, b.excess ?? Infinity];
  return first === second ? 0 : first - second;
}

function describeRefusal(
  candidates: readonly RouteCandidate[],
  others: readonly LosingPath[],
): RouteRefusal {
  const denials = new Map<RouteDenial, number>();
  for (const {denial} of candidates) {
    if (denial !== undefined) {
      denials.set(denial, (denials.get(denial) ?? 0) + 1);
    }
  }
  let earliest: Deadline | undefined;
  for (const {returnAt, denial} of others) {
    // The request does not return to a path that it has left.
    if (returnAt === undefined || denial === RouteDenial.Left) continue;
    earliest = Math.min(earliest ?? Infinity, returnAt);
  }
  return {denials, returnAt: earliest};
}
