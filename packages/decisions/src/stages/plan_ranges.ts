import type {LayerRange} from '@zinniaspindle/shared';
import {countFittingAll, countFittingLayers, sortBySize} from './memory.js';
import {planBridge, planRelief} from './plan_bridge.js';
import {buildChains} from './build_chains.js';
import {planRepair} from './plan_repair.js';
import {sortHolders} from './sort_holders.js';
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
  // A chain whose streams still run waits until no other moves its ranges.
  let isMoving = groups.some(group => isRelaid(group, model));
  for (const group of groups) {
    const isFirst = group.every(({held}) => held === undefined);
    const stillRuns = isStillRunning(group, leaving, model);
    const mayMove =
      isFirst || isRelaid(group, model) || !isMoving || !stillRuns;
    const isUrgent = isRepairUrgent(group, groups, stillRuns, model);
    const {ranges, isMove} = planGroup(
      group,
      mayMove,
      isUrgent,
      model,
      options,
    );
    if (isMove && !isFirst) isMoving = true;
    for (const [id, range] of ranges) plan.set(id, range);
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
  group: readonly PlannedEndpoint[],
  groups: readonly PlannedEndpoint[][],
  stillRuns: boolean,
  model: StageModel,
): boolean {
  const whole = groups.filter(
    other => other !== group && canTakeOver(other, model),
  );
  if (whole.length === 0) return false;
  return !stillRuns || whole.length < groups.length * ampleShare;
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

/** Finds the first layer that no endpoint of a group holds; -1 for none. */
export function findGap(
  endpoints: readonly StageEndpoint[],
  layerCount: number,
): number {
  let reached = 0;
  for (const {held} of sortHolders(endpoints)) {
    if (held === undefined || held.first > reached) break;
    reached = Math.max(reached, held.end);
  }
  return reached >= layerCount ? -1 : reached;
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

/** What a group's endpoints should hold, and whether held layers move. */
interface GroupPlan {
  readonly ranges: RangePlan;
  readonly isMove: boolean;
}

function planGroup(
  group: readonly PlannedEndpoint[],
  mayMove: boolean,
  isUrgent: boolean,
  model: StageModel,
  options: RangeOptions,
): GroupPlan {
  if (findGap(group, model.layerCount) === -1) {
    return {ranges: planRelief(group, model, options), isMove: false};
  }
  const bridge = planBridge(group, model, options);
  if (bridge !== undefined) return {ranges: bridge, isMove: false};
  if (!mayMove) return {ranges: new Map(), isMove: false};
  const ranges = planAnew(group, isUrgent, model, options);
  return {ranges, isMove: true};
}

/** Lays all ranges out: evenly at first, later with as few loads as it takes. */
function planAnew(
  group: readonly PlannedEndpoint[],
  isUrgent: boolean,
  model: StageModel,
  options: RangeOptions,
): RangePlan {
  const isFresh = group.every(({held}) => held === undefined);
  const goal = isFresh ? options.goalTokens : options.repairTokens;
  const tokens = findTokens(group, model, goal);
  if (!isFresh) {
    const plan = new Map<string, PlannedRange>();
    for (const [id, range] of planRepair(group, tokens, model)) {
      plan.set(id, {range, isUrgent});
    }
    return plan;
  }
  const ordered = sortMixed(group);
  const members = ordered.map(endpoint => ({
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
