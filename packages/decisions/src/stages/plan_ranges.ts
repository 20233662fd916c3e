import type {LayerRange} from '@zinniaspindle/shared';
import {findGap} from './layer_gaps.js';
import {countFittingAll, countFittingLayers, sortBySize} from './memory.js';
import {planBridge, planRelief} from './plan_bridge.js';
import {buildChains} from './build_chains.js';
import {planRepair} from './plan_repair.js';
import type {StageEndpoint, StageModel} from './stage_types.js';

/** How ranges are planned. */
export interface RangeOptions {
  /** Request tokens that each chain should hold room for. */
  readonly goalTokens: number;
  /** Request tokens that the neighbours of a gap must keep room for. */
  readonly bridgeTokens: number;
  /** Request tokens that endpoints keep room for where ranges move. */
  readonly repairTokens: number;
  /** Request tokens below which a data centre gets no chain of its own. */
  readonly leastTokens: number;
}

/**
 * Sizes a chain for the load of two chains out of three: 43 streams a second
 * of 900 tokens for 3 s are 116,000 tokens (site files). One of 80,000 tokens
 * carries its own third twice over; any single loss in a chain of today loads
 * in 1.4 s at most, in 0.7 s on average, hardly more than for 45,000.
 */
export const defaultRangeOptions: RangeOptions = {
  goalTokens: 120_000,
  bridgeTokens: 80_000,
  repairTokens: 80_000,
  leastTokens: 30_000,
};

/** Chains are sized for the load of all at two out of three. */
const ampleShare = 2 / 3;

/** An endpoint as the plan sees it. */
export interface PlannedEndpoint extends StageEndpoint {
  /** Whether it is still loading what it should hold. */
  readonly isLoading: boolean;
}

/** The range that an endpoint should hold. */
export interface PlannedRange {
  readonly range: LayerRange;
  /**
   * Its chain is broken and another can take the streams: those on layers that
   * it gives up are not waited for.
   */
  readonly isUrgent: boolean;
}

/** The wanted ranges by endpoint; others keep what they hold. */
export type RangePlan = ReadonlyMap<string, PlannedRange>;

/** More endpoints than a bridged gap needs are loading while ranges move. */
const movedEndpoints = 3;

interface Member {
  readonly endpoint: PlannedEndpoint;
  size: number;
  cap: number;
}

/**
 * Plans a whole chain in each group of endpoints that can hold one. Losses
 * are bridged by the neighbours of the gap where they have room; else the
 * ranges near it move. Endpoints without layers relieve the fullest ones.
 * Those that leave get no layers, but still serve the streams they have.
 */
export function planRanges(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions = defaultRangeOptions,
  leaving: readonly StageEndpoint[] = [],
): RangePlan {
  const plan = new Map<string, PlannedRange>();
  const groups = buildGroups(endpoints, model, options);
  const whole = groups.filter(group => canTakeOver(group, model)).length;
  // A chain whose streams still run waits until no other moves its ranges.
  let isMoving = groups.some(group => isRelaid(group, model));
  for (const group of groups) {
    const ranges = planInPlace(group, model, options);
    for (const [id, range] of ranges ?? []) plan.set(id, range);
    if (ranges !== undefined) continue;
    const stillRuns = isStillRunning(group, leaving, model);
    if (stillRuns && isMoving) continue;
    isMoving = true;
    const isUrgent = isRepairUrgent(whole, groups.length, stillRuns);
    const tokens = findTokens(group, model, options.repairTokens);
    for (const [id, range] of planRepair(group, tokens, model)) {
      plan.set(id, {range, isUrgent});
    }
  }
  return plan;
}

/** Tells whether a chain lacks nothing but endpoints that leave. */
function isStillRunning(
  group: readonly PlannedEndpoint[],
  leaving: readonly StageEndpoint[],
  model: StageModel,
): boolean {
  const {dataCentre} = group[0]!;
  const near = leaving.filter(one => one.dataCentre === dataCentre);
  return findGap([...group, ...near], model.layerCount) === -1;
}

/**
 * Tells whether the streams on layers that a broken chain gives up should be
 * moved to another one rather than waited for. Those of a chain that only lacks
 * endpoints that leave still run; they are waited for while most chains are
 * whole.
 */
function isRepairUrgent(
  wholeChains: number,
  chains: number,
  stillRuns: boolean,
): boolean {
  if (wholeChains === 0) return false;
  return !stillRuns || wholeChains < chains * ampleShare;
}

/** Tells whether a chain is whole and could take the streams of another. */
function canTakeOver(
  group: readonly PlannedEndpoint[],
  model: StageModel,
): boolean {
  const loaded = group.filter(({isLoading}) => !isLoading);
  return findGap(loaded, model.layerCount) === -1;
}

/** Tells whether a whole chain is still loading its ranges. */
function isRelaid(
  group: readonly PlannedEndpoint[],
  model: StageModel,
): boolean {
  let loading = 0;
  for (const {isLoading} of group) if (isLoading) loading += 1;
  return loading >= movedEndpoints && findGap(group, model.layerCount) === -1;
}

/** Joins data centres that cannot hold a chain alone into one group. */
function buildGroups(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): PlannedEndpoint[][] {
  const centres = new Map<string, PlannedEndpoint[]>();
  for (const endpoint of endpoints) {
    const members = centres.get(endpoint.dataCentre) ?? [];
    members.push(endpoint);
    centres.set(endpoint.dataCentre, members);
  }
  const groups: PlannedEndpoint[][] = [];
  const rest: PlannedEndpoint[] = [];
  for (const members of centres.values()) {
    if (canHoldChain(members, model, options)) {
      groups.push(...buildChains(members, model, options));
    } else {
      rest.push(...members);
    }
  }
  if (rest.length === 0) return groups;
  if (canHoldChain(rest, model, options) || groups.length === 0) {
    return [...groups, rest];
  }
  // Too few for a chain of their own; they stay empty as spares.
  return groups;
}

function canHoldChain(
  members: readonly StageEndpoint[],
  model: StageModel,
  options: RangeOptions,
): boolean {
  const fitting = countFittingAll(members, options.leastTokens, model);
  return fitting >= model.layerCount;
}

/**
 * Plans a group whose endpoints keep what they hold; undefined for a broken
 * chain that can only be repaired by moving layers.
 */
function planInPlace(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan | undefined {
  if (findGap(group, model.layerCount) === -1) {
    return planRelief(group, model, options);
  }
  const isEmpty = group.every(({held}) => held === undefined);
  if (isEmpty) return planFirst(group, model, options);
  return planBridge(group, model, options);
}

/** Lays the ranges of empty endpoints out, evenly by the time of a pass. */
function planFirst(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan {
  const tokens = findTokens(group, model, options.goalTokens);
  const members = sortMixed(group).map(endpoint => ({
    endpoint,
    size: 0,
    cap: countFittingLayers(endpoint, tokens, model),
  }));
  addEvenly(members, model.layerCount);
  return buildPlan(members);
}

/** Finds the most tokens, up to a goal, beside which all layers fit. */
function findTokens(
  group: readonly StageEndpoint[],
  model: StageModel,
  goal: number,
): number {
  const precision = 500;
  let low = 0;
  let high = goal;
  if (countFittingAll(group, goal, model) >= model.layerCount) return goal;
  while (high - low > precision) {
    const middle = (low + high) / 2;
    if (countFittingAll(group, middle, model) >= model.layerCount) low = middle;
    else high = middle;
  }
  return low;
}

/** Gives layers one by one to the endpoint whose pass stays the shortest. */
function addEvenly(members: readonly Member[], layerCount: number): void {
  for (let missing = layerCount; missing > 0; missing -= 1) {
    let best: Member | undefined;
    for (const member of members) {
      if (member.size >= member.cap) continue;
      if (best === undefined || computePass(member) < computePass(best)) {
        best = member;
      }
    }
    if (best === undefined) return;
    best.size += 1;
  }
}

function computePass(member: Member): number {
  return (member.size + 1) * member.endpoint.pace;
}

/** Turns sizes into ranges, one behind the other. */
function buildPlan(members: readonly Member[]): RangePlan {
  const plan = new Map<string, PlannedRange>();
  let first = 0;
  for (const {endpoint, size} of members) {
    const range = {first, end: first + size};
    if (size > 0) plan.set(endpoint.id, {range, isUrgent: false});
    first += size;
  }
  return plan;
}

/**
 * Spreads large endpoints evenly among small ones: a large neighbour can
 * bridge the loss of a small endpoint at once.
 */
function sortMixed(group: readonly PlannedEndpoint[]): PlannedEndpoint[] {
  const sorted = sortBySize(group);
  const smallest = sorted.at(-1)!.sizeMegabytes;
  const large = sorted.filter(one => one.sizeMegabytes > smallest);
  const small = sorted.filter(one => one.sizeMegabytes === smallest);
  const mixed: PlannedEndpoint[] = [];
  let placed = 0;
  for (const [index, one] of large.entries()) {
    mixed.push(one);
    const wanted = Math.floor(((index + 1) * small.length) / large.length);
    mixed.push(...small.slice(placed, wanted));
    placed = wanted;
  }
  return [...mixed, ...small.slice(placed)];
}
