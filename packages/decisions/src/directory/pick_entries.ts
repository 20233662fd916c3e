import type {Random} from '@zinniaspindle/shared';

/** An entry VM that callers may be sent to. */
export interface EntryVm {
  /** Where callers connect, as host:port. */
  readonly address: string;
  /** Processor time that it gets a second, in cores; undefined if unknown. */
  readonly cores: number | undefined;
}

/** How the VMs of an answer of the directory are picked. */
export interface EntryOptions {
  /** Callers use at most this many addresses of an answer. */
  readonly maxEntries: number;
  /**
   * Fewest addresses of an answer, so that a caller still finds a VM when most of
   * those that it was given end together.
   */
  readonly minEntries: number;
  /**
   * Processor time that a VM spends without any caller, in cores: 195 VMs spend 3%
   * of a core each on heartbeats.
   */
  readonly idleCores: number;
  /** VMs whose capacities differ by less than this factor count as equal. */
  readonly minRatio: number;
}

/** The settings used where a deployment gives none. */
export const defaultEntryOptions: EntryOptions = {
  maxEntries: 64,
  minEntries: 8,
  idleCores: 0.03,
  minRatio: 1.25,
};

/** A VM with the weight by which callers are sent to it. */
interface WeightedVm {
  readonly address: string;
  readonly weight: number;
}

/**
 * Picks the VMs that one caller is told, where their processors differ: callers
 * connect to a random address of the answer, so each VM is part of an answer with a
 * chance that is proportional to the processor time that it has for requests. An
 * answer that named all VMs would give the slowest as many callers as the fastest.
 * Undefined if the VMs are equal or the capacity of one is unknown.
 */
export function pickEntries(
  vms: readonly EntryVm[],
  random: Random,
  options: EntryOptions = defaultEntryOptions,
): string[] | undefined {
  const weighted = listWeights(vms, options);
  if (weighted === undefined) return undefined;
  const count = computeEntryCount(weighted, options);
  const {certain, rest} = takeCertain(weighted, count);
  const picked = certain.map(({address}) => address);
  picked.push(...sampleByWeight(rest, count - certain.length, random));
  return picked;
}

/** Lists the VMs by weight; undefined if there is nothing to weigh. */
function listWeights(
  vms: readonly EntryVm[],
  {idleCores, minRatio}: EntryOptions,
): WeightedVm[] | undefined {
  const weighted: WeightedVm[] = [];
  let least = Infinity;
  let most = 0;
  for (const {address, cores} of vms) {
    if (cores === undefined || cores <= 0) return undefined;
    least = Math.min(least, cores);
    most = Math.max(most, cores);
    // Half of its processor at least is left for requests.
    const weight = Math.max(cores - idleCores, cores / 2);
    weighted.push({address, weight});
  }
  return most >= least * minRatio ? weighted : undefined;
}

/** Computes the longest answer in which the fastest VM still gets its whole share. */
function computeEntryCount(
  weighted: readonly WeightedVm[],
  {minEntries, maxEntries}: EntryOptions,
): number {
  const total = computeTotal(weighted);
  const most = Math.max(...weighted.map(({weight}) => weight));
  const count = Math.max(minEntries, Math.floor(total / most));
  return Math.min(count, maxEntries, weighted.length);
}

/** Takes the VMs that are part of every answer of a length. */
function takeCertain(
  weighted: readonly WeightedVm[],
  count: number,
): {certain: WeightedVm[]; rest: WeightedVm[]} {
  const rest = [...weighted].sort((a, b) => a.weight - b.weight);
  const certain: WeightedVm[] = [];
  let total = computeTotal(rest);
  while (certain.length < count) {
    const {weight} = rest.at(-1)!;
    if (weight * (count - certain.length) < total) break;
    total -= weight;
    certain.push(rest.pop()!);
  }
  return {certain, rest};
}

/** Samples distinct VMs, each with a chance proportional to its weight. */
function sampleByWeight(
  vms: readonly WeightedVm[],
  count: number,
  random: Random,
): string[] {
  if (count <= 0) return [];
  const shuffled = vms
    .map(vm => ({vm, at: random()}))
    .sort((a, b) => a.at - b.at);
  const step = computeTotal(vms) / count;
  const picked: string[] = [];
  // Systematic sampling: no weight is above a step, so that no VM is met twice.
  let next = random() * step;
  let end = 0;
  for (const {vm} of shuffled) {
    end += vm.weight;
    if (next >= end || picked.length >= count) continue;
    picked.push(vm.address);
    next += step;
  }
  return picked;
}

function computeTotal(vms: readonly WeightedVm[]): number {
  let sum = 0;
  for (const {weight} of vms) sum += weight;
  return sum;
}
