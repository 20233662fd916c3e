import type {Random} from '@zinniaspindle/shared';

const minFreeShare = 0.02;

/** An item with the share of its capacity in use, 0 to 1. */
interface Loaded {
  readonly load: number;
}

/**
 * Sorts in a weighted random order: the chance to come first is proportional to
 * the square of the free capacity. Callers that ask at the same time thus
 * spread over the idle VMs.
 */
export function sortRandomlyByLoad<Item extends Loaded>(
  items: readonly Item[],
  random: Random,
): Item[] {
  const keyed = items.map(item => {
    const free = Math.max(minFreeShare, 1 - item.load);
    // Of exponential variates, that of item i is least with chance w_i / Σ w.
    return {item, key: -Math.log(1 - random()) / (free * free)};
  });
  keyed.sort((a, b) => a.key - b.key);
  return keyed.map(({item}) => item);
}
