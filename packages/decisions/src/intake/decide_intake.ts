import {IntakeKind, IntakeSource, kindLimits} from './intake_kinds.js';

const bytesPerMegabyte = 1024 * 1024;

/** Memory of a VM where its settings do not name it, in MB. */
export const defaultMemoryMegabytes = 272;

/** Parts of the memory of a VM that bytes of each source may take, 0 to 1. */
const memoryShares: Readonly<Record<IntakeSource, number>> = {
  [IntakeSource.Endpoints]: 1 / 8,
  [IntakeSource.EndpointCalls]: 1 / 64,
  [IntakeSource.Store]: 1 / 32,
  [IntakeSource.Peers]: 1 / 16,
  [IntakeSource.Callers]: 1 / 16,
};

/** Part of a source's bytes that whoever comes first may take. */
const openShare = 1 / 2;

/** The bytes that a VM may hold of each source at once. */
export type IntakeLimits = Readonly<Record<IntakeSource, number>>;

/** An item that grows, and what the VM holds of its source. */
export interface IntakeRequest {
  readonly kind: IntakeKind;
  /** Bytes of the item, with those that have just come. */
  readonly itemBytes: number;
  /** Bytes that the VM holds of all other items of the source. */
  readonly otherBytes: number;
  /** The most items of the source that may be under way at once. */
  readonly countPlaces: () => number;
}

/** What is bounded: one item, or all that a VM holds. */
export enum IntakeScope {
  Item = 'item',
  Vm = 'vm',
}

/** A bound that was reached. */
export interface IntakeExcess {
  readonly kind: IntakeKind;
  readonly scope: IntakeScope;
  /** In bytes; informational heads are counted one by one. */
  readonly amount: number;
  readonly limit: number;
}

/** Derives how many bytes a VM holds of each source from its memory, in MB. */
export function deriveIntakeLimits(memoryMegabytes: number): IntakeLimits {
  const memoryBytes = memoryMegabytes * bytesPerMegabyte;
  const compute = (source: IntakeSource) =>
    Math.floor(memoryBytes * memoryShares[source]);
  return {
    [IntakeSource.Endpoints]: compute(IntakeSource.Endpoints),
    [IntakeSource.EndpointCalls]: compute(IntakeSource.EndpointCalls),
    [IntakeSource.Store]: compute(IntakeSource.Store),
    [IntakeSource.Peers]: compute(IntakeSource.Peers),
    [IntakeSource.Callers]: compute(IntakeSource.Callers),
  };
}

/**
 * Decides whether an item may grow; undefined if it may. Half of what a VM holds
 * of a source goes to whoever comes first. The other half is split evenly
 * between the places of the source, so that items that send without end leave
 * room for all others.
 */
export function decideIntake(
  limits: IntakeLimits,
  request: IntakeRequest,
): IntakeExcess | undefined {
  const {kind, itemBytes, otherBytes} = request;
  const excess = checkItem(kind, itemBytes);
  if (excess !== undefined) return excess;
  const limit = findExceeded({
    maxBytes: limits[kindLimits[kind].source],
    itemBytes,
    otherBytes,
    countPlaces: request.countPlaces,
  });
  if (limit === undefined) return undefined;
  const amount = itemBytes + otherBytes;
  return {kind, scope: IntakeScope.Vm, amount, limit};
}

/** An item that grows, and the memory that it shares with others. */
export interface SharedMemory {
  readonly maxBytes: number;
  readonly itemBytes: number;
  /** Bytes of all other items. */
  readonly otherBytes: number;
  /** The most items that there may be at once. */
  readonly countPlaces: () => number;
}

/** Finds the limit that an item with a share of some memory exceeds, if any. */
export function findExceeded({
  maxBytes,
  itemBytes,
  otherBytes,
  countPlaces,
}: SharedMemory): number | undefined {
  const amount = itemBytes + otherBytes;
  const openLimit = Math.floor(maxBytes * openShare);
  if (amount <= openLimit) return undefined;
  if (amount > maxBytes) return maxBytes;
  const places = Math.max(1, countPlaces());
  const placeBytes = Math.floor((maxBytes - openLimit) / places);
  return itemBytes <= placeBytes ? undefined : openLimit;
}

/** Decides whether one item alone is within the limit of its kind. */
export function checkItem(
  kind: IntakeKind,
  amount: number,
): IntakeExcess | undefined {
  const limit = kindLimits[kind].maxItem;
  if (amount <= limit) return undefined;
  return {kind, scope: IntakeScope.Item, amount, limit};
}

/** Describes a bound that was reached, with its amounts. */
export function describeExcess(excess: IntakeExcess): string {
  const {kind, scope, amount, limit} = excess;
  if (scope === IntakeScope.Vm) {
    return `${kind}: this VM would hold ${amount} bytes, limit is ${limit}`;
  }
  const unit = kind === IntakeKind.InterimHeads ? 'heads' : 'bytes';
  return `${kind} of ${amount} ${unit}, limit is ${limit}`;
}
