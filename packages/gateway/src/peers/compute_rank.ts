import {computeWeight} from '@zinniaspindle/decisions';

/** The properties of a VM that determine its rank. */
export interface RankedVm {
  readonly vm: string;
  /** Bandwidth of its link, in Mbit/s. */
  readonly linkMegabits: number;
  /** Pseudorandom, by the VM's name; the same on all VMs. */
  readonly rankWeight: number;
}

/** Computes a VM's weight among VMs with equally fast links. */
export function computeRankWeight(vm: string): number {
  return computeWeight('reader', vm);
}

/**
 * Computes the rank of a VM among others, 0 for the first; all VMs compute the
 * same order. VMs with the fastest links come first, because the first VM reads
 * from the store and forwards the records to all others.
 */
export function computeRank(
  own: RankedVm,
  others: readonly RankedVm[],
): number {
  let rank = 0;
  for (const other of others) if (compareRank(other, own) < 0) rank += 1;
  return rank;
}

function compareRank(a: RankedVm, b: RankedVm): number {
  if (a.linkMegabits !== b.linkMegabits) return b.linkMegabits - a.linkMegabits;
  if (a.rankWeight !== b.rankWeight) return b.rankWeight - a.rankWeight;
  return a.vm < b.vm ? -1 : 1;
}
