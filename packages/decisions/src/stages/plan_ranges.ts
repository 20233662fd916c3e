import {countLayers, type LayerRange} from '@zinniaspindle/shared';
import {countFittingAll, countFittingLayers, sortBySize} from './memory.js';
import {planBridge, planRelief} from './plan_bridge.js';
import {buildChains} from './build_chains.js';
import {planLeastLoads} from './plan_least_loads.js';
import type {StageEndpoint, StageModel} from './stage_types.js';

/** How ranges are planned. */
export interface RangeOptions {
  /** Request tokens that each chain should hold room for. */
  readonly goalTokens: number;
  /** Request tokens that the neighbours of a gap may be stretched down to. */
  readonly bridgeTokens: number;
  /**
   * Request tokens that endpoints may be stretched down to where ranges move.
   * Fewer mean that fewer endpoints move, and the gap closes sooner.
   */
  readonly repairTokens: number;
  /** Request tokens below which a data centre gets no chain of its own. */
  readonly leastTokens: number;
}

/**
 * Sizes a chain for the load of two chains out of three: 43 streams a second
 * of 900 tokens for 3 s are 116,000 tokens (site files). A chain of 45,000
 * tokens still carries its own third, one of 30,000 a quarter of all.
 */
export const defaultRangeOptions: RangeOptions = {
  goalTokens: 120_000,
  bridgeTokens: 30_000,
  repairTokens: 45_000,
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
  // One chain at a time moves its ranges, so that the others can take its
  // requests; on the first start all do.
  let isMoving = groups.some(group => isRelaid(group, model));
  for (const group of groups) {
    const isFirst = group.every(({held}) => held === undefined);
    const mayMove = isFirst || isRelaid(group, model) || !isMoving;
    const isUrgent = isRepairUrgent(group, groups, leaving, model);
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

/**
 * Tells whether the streams on layers that a broken chain gives up should be
 * moved to another one rather than waited for. Those of a chain that only lacks
 * endpoints that leave still run; they are waited for while most chains are
 * whole.
 */
function isRepairUrgent(
  group: readonly PlannedEndpoint[],
  groups: readonly PlannedEndpoint[][],
  leaving: readonly StageEndpoint[],
  model: StageModel,
): boolean {
  const whole = groups.filter(
    other => other !== group && canTakeOver(other, model),
  );
  if (whole.length === 0) return false;
  const {dataCentre} = group[0]!;
  const near = leaving.filter(one => one.dataCentre === dataCentre);
  const stillRuns = findGap([...group, ...near], model.layerCount) === -1;
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

function sortHolders<Endpoint extends StageEndpoint>(
  endpoints: readonly Endpoint[],
): Endpoint[] {
  const holders = endpoints.filter(({held}) => held !== undefined);
  return holders.sort(
    (a, b) =>
      a.held!.first - b.held!.first ||
      a.held!.end - b.held!.end ||
      (a.id < b.id ? -1 : 1),
  );
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
  const ordered = isFresh ? sortMixed(group) : sortMembers(group, model);
  const members = ordered.map(endpoint => ({
    endpoint,
    held: endpoint.held,
    size: 0,
    cap: countFittingLayers(endpoint, tokens, model),
  }));
  if (!isFresh) {
    const ranges = planLeastLoads(members, model.layerCount) ?? [];
    return buildPlan(ordered, ranges, isUrgent);
  }
  addEvenly(members, model.layerCount);
  return buildPlan(ordered, buildRanges(members), isUrgent);
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

/** Sorts holders along the layers, each empty endpoint at the widest gap. */
function sortMembers(
  group: readonly PlannedEndpoint[],
  model: StageModel,
): PlannedEndpoint[] {
  const sorted = sortHolders(group);
  const empty = group.filter(({held}) => held === undefined);
  empty.sort((a, b) => (a.id < b.id ? -1 : 1));
  const filled = new Map<PlannedEndpoint | undefined, number>();
  for (const endpoint of empty) {
    const place = findWidestGap(sorted, filled, model.layerCount);
    sorted.splice(place, 0, endpoint);
    const fitting = countFittingLayers(endpoint, 0, model);
    const next = sorted[place + 1];
    filled.set(next, (filled.get(next) ?? 0) + fitting);
  }
  return sorted;
}

/** Finds where in a chain most layers are missing, beside those filled. */
function findWidestGap(
  sorted: readonly PlannedEndpoint[],
  filled: ReadonlyMap<PlannedEndpoint | undefined, number>,
  layerCount: number,
): number {
  let widest = -Infinity;
  let place = sorted.length;
  let reached = 0;
  for (let i = 0; i <= sorted.length; i += 1) {
    const next = sorted[i];
    if (next !== undefined && next.held === undefined) continue;
    const width =
      (next?.held!.first ?? layerCount) - reached - (filled.get(next) ?? 0);
    if (width > widest) {
      widest = width;
      place = i;
    }
    reached = Math.max(reached, next?.held!.end ?? reached);
  }
  return place;
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
function buildRanges(members: readonly Member[]): LayerRange[] {
  const ranges: LayerRange[] = [];
  let first = 0;
  for (const {size} of members) {
    ranges.push({first, end: first + size});
    first += size;
  }
  return ranges;
}

function buildPlan(
  endpoints: readonly PlannedEndpoint[],
  ranges: readonly LayerRange[],
  isUrgent: boolean,
): RangePlan {
  const plan = new Map<string, PlannedRange>();
  for (const [index, range] of ranges.entries()) {
    if (countLayers(range) === 0) continue;
    plan.set(endpoints[index]!.id, {range, isUrgent});
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
