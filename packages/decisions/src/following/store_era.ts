import type {Instant} from '@zinniaspindle/shared';

/**
 * The era of the store: it rises each time that the store comes back from an
 * older copy. Offsets and generations of groups mean something only together
 * with their era, since the store gives them out again. Undefined if unknown.
 */
export type StoreEra = number | undefined;

/** Higher eras are malformed, since a fencing token has no room for them. */
export const maxEra = 2 ** 21 - 1;
/** Generations of an era, so that the tokens of the next one are higher. */
const generationsPerEra = 2 ** 32;

/** Reads an era from outside; undefined if it is missing or malformed. */
export function parseEra(value: unknown): StoreEra {
  if (typeof value !== 'number' || !Number.isInteger(value)) return undefined;
  return value >= 0 && value <= maxEra ? value : undefined;
}

/** What an era that was seen means to a VM. */
export enum EraNews {
  None = 'none',
  /** The first era that the VM sees. */
  First = 'first',
  /** The store came back from an older copy. */
  Risen = 'risen',
  /** The era is missing, malformed or lower: nothing follows from it. */
  Unknown = 'unknown',
}

/** Decides what an era that was seen means. */
export function decideEraNews(known: StoreEra, seen: StoreEra): EraNews {
  if (seen === undefined) {
    return known === undefined ? EraNews.None : EraNews.Unknown;
  }
  if (known === undefined) return EraNews.First;
  if (seen < known) return EraNews.Unknown;
  return seen > known ? EraNews.Risen : EraNews.None;
}

/** Tells whether an era is certainly later than that of a position. */
export function isLaterEra(era: StoreEra, than: StoreEra): boolean {
  return era !== undefined && (than === undefined || era > than);
}

/** A place in a topic. */
export interface TopicPosition {
  readonly era: StoreEra;
  /** Offset of the next record; undefined before the first records. */
  readonly next: number | undefined;
}

/** What to do with records that come from the store or a peer. */
export enum RecordsUse {
  /** They follow on the position: apply what is newer. */
  Apply = 'apply',
  /** They are of a later era: all that is known of the topic is void. */
  Replace = 'replace',
  /** The position is before them or in an older era: ask for all keys. */
  ReadAnew = 'readAnew',
  Ignore = 'ignore',
}

/**
 * Decides the era that an answer of the store belongs to, as far as the position
 * is concerned: one whose era is unknown belongs to that of the position, unless
 * this one changed since the call was sent.
 */
export function deriveAnswerEra(
  position: StoreEra,
  positionWhenSent: StoreEra,
  seen: StoreEra,
): {readonly era: StoreEra; readonly isOutdated: boolean} {
  const isKnown = seen !== undefined && !isLaterEra(position, seen);
  if (isKnown) return {era: seen, isOutdated: false};
  return {era: position, isOutdated: position !== positionWhenSent};
}

/** Decides what to do with records from an offset on. */
export function decideChangesUse(
  position: TopicPosition,
  era: StoreEra,
  from: number,
): RecordsUse {
  if (position.next === undefined) return RecordsUse.ReadAnew;
  if (era !== position.era) {
    const isLater = isLaterEra(era, position.era);
    return isLater ? RecordsUse.ReadAnew : RecordsUse.Ignore;
  }
  return from > position.next ? RecordsUse.ReadAnew : RecordsUse.Apply;
}

/** Decides what to do with the newest records of all keys. */
export function decideNewestUse(
  position: TopicPosition,
  era: StoreEra,
  next: number,
): RecordsUse {
  if (position.next === undefined) return RecordsUse.Apply;
  if (era !== position.era) {
    const isLater = isLaterEra(era, position.era);
    return isLater ? RecordsUse.Replace : RecordsUse.Ignore;
  }
  return next < position.next ? RecordsUse.Ignore : RecordsUse.Apply;
}

/** A claim of the ownership: the generation of the group, and its era. */
export interface OwnerClaim {
  readonly era: StoreEra;
  readonly generation: number;
}

/**
 * Decides whether an answer of the group replaces a claim. Where an era has been
 * seen, an answer of an unknown one could be of a later era, with a generation
 * given out before, and is not used.
 */
export function canReplaceClaim(
  claim: OwnerClaim,
  answer: OwnerClaim,
  known: StoreEra,
): boolean {
  if (answer.era !== known) return false;
  if (answer.era !== claim.era) return isLaterEra(answer.era, claim.era);
  return answer.generation >= claim.generation;
}

/**
 * Makes the fencing token of a claim, which rises with the generation within an
 * era and from each era to the next; undefined if the generation is too high.
 */
export function makeFencingToken({
  era = 0,
  generation,
}: OwnerClaim): number | undefined {
  if (generation >= generationsPerEra) return undefined;
  return era * generationsPerEra + generation;
}

/** What a VM knows of an incarnation of an endpoint. */
export interface IncarnationFacts {
  readonly bornAt: Instant;
  readonly isDraining: boolean;
}

/**
 * Decides whether the entry of an endpoint in an older copy of the store is news.
 * What is known of the same incarnation is newer, except that it drains; one that
 * was removed since comes back only when it writes again.
 */
export function canApplyCopiedEntry(
  copied: IncarnationFacts,
  known: IncarnationFacts | undefined,
  removedBornAt: Instant | undefined,
): boolean {
  if (known === undefined) {
    return removedBornAt === undefined || copied.bornAt > removedBornAt;
  }
  if (copied.bornAt !== known.bornAt) return copied.bornAt > known.bornAt;
  return copied.isDraining && !known.isDraining;
}
