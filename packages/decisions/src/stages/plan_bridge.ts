import {countLayers, type LayerRange} from '@zinniaspindle/shared';
import {computeTokenCapacity, countFittingLayers} from './memory.js';
import type {
  PlannedEndpoint,
  PlannedRange,
  RangeOptions,
  RangePlan,
} from './plan_ranges.js';
import type {StageModel} from './stage_types.js';

/** A chain below this share of the goal's tokens is worth relieving. */
const relievedShare = 0.75;

type MutablePlan = Map<string, PlannedRange>;

/**
 * Closes gaps without taking layers from anyone: an empty endpoint takes a
 * gap, or both neighbours stretch over it. Undefined when they lack the room.
 */
export function planBridge(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan | undefined {
  const plan: MutablePlan = new Map();
  for (const {id, held} of group) {
    if (held !== undefined) plan.set(id, {range: held, isUrgent: false});
  }
  if (plan.size === 0) return undefined;
  const empty = group.filter(({held}) => held === undefined);
  for (const gap of listGaps(plan, model.layerCount)) {
    const countFitting = (one: PlannedEndpoint) =>
      countFittingLayers(one, options.bridgeTokens, model);
    const index = empty.findIndex(one => countFitting(one) >= countLayers(gap));
    if (index !== -1) {
      const [spare] = empty.splice(index, 1);
      plan.set(spare!.id, {range: gap, isUrgent: true});
    } else if (!addStretch(plan, group, gap, model, options)) {
      return undefined;
    }
  }
  return plan;
}

/**
 * Lets an empty endpoint share the layers of the fullest one of a whole
 * chain, and takes back layers that others hold as well.
 */
export function planRelief(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan {
  const plan: MutablePlan = new Map();
  let fullest: PlannedEndpoint | undefined;
  let least = options.goalTokens * relievedShare;
  for (const endpoint of group) {
    const {id, held, isLoading} = endpoint;
    if (held === undefined) continue;
    const range = isLoading
      ? held
      : computeOwnRange(endpoint, group, model, options);
    plan.set(id, {range, isUrgent: false});
    const size = countLayers(range);
    const tokens = computeTokenCapacity(endpoint, size, size, model);
    if (tokens >= least) continue;
    least = tokens;
    fullest = endpoint;
  }
  const spare = group.find(({held}) => held === undefined);
  if (spare === undefined || fullest === undefined) return plan;
  const {range} = plan.get(fullest.id)!;
  const fitting = countFittingLayers(spare, options.goalTokens, model);
  const taken = Math.min(fitting, Math.ceil(countLayers(range) / 2));
  if (taken > 0) {
    const first = range.end - taken;
    plan.set(spare.id, {range: {first, end: range.end}, isUrgent: false});
  }
  return plan;
}

/** Finds the layers that nobody holds, as ranges. */
function listGaps(plan: MutablePlan, layerCount: number): LayerRange[] {
  const ranges = [...plan.values()].map(({range}) => range);
  ranges.sort((a, b) => a.first - b.first);
  const gaps: LayerRange[] = [];
  let reached = 0;
  for (const {first, end} of ranges) {
    if (first > reached) gaps.push({first: reached, end: first});
    reached = Math.max(reached, end);
  }
  if (reached < layerCount) gaps.push({first: reached, end: layerCount});
  return gaps;
}

/** Stretches the endpoints beside a gap over it, the roomier one further. */
function addStretch(
  plan: MutablePlan,
  group: readonly PlannedEndpoint[],
  gap: LayerRange,
  model: StageModel,
  options: RangeOptions,
): boolean {
  const holders = group.filter(({id}) => plan.has(id));
  const find = (matches: (range: LayerRange) => boolean) =>
    holders.find(({id}) => matches(plan.get(id)!.range));
  const before = find(({end}) => end === gap.first);
  const after = find(({first}) => first === gap.end);
  let {first, end} = gap;
  while (first < end) {
    const left = countRoom(before, plan, first - gap.first, model, options);
    const right = countRoom(after, plan, gap.end - end, model, options);
    if (left <= 0 && right <= 0) return false;
    if (left >= right) first += 1;
    else end -= 1;
  }
  if (before !== undefined && first > gap.first) {
    const {range} = plan.get(before.id)!;
    const stretched = {first: range.first, end: first};
    plan.set(before.id, {range: stretched, isUrgent: true});
  }
  if (after !== undefined && end < gap.end) {
    const {range} = plan.get(after.id)!;
    plan.set(after.id, {range: {first: end, end: range.end}, isUrgent: true});
  }
  return true;
}

/** Counts the layers that an endpoint can still take beside those added. */
function countRoom(
  endpoint: PlannedEndpoint | undefined,
  plan: MutablePlan,
  added: number,
  model: StageModel,
  options: RangeOptions,
): number {
  if (endpoint === undefined) return 0;
  const held = countLayers(plan.get(endpoint.id)!.range);
  const fitting = countFittingLayers(endpoint, options.bridgeTokens, model);
  return fitting - held - added;
}

/** Computes what an endpoint keeps when others hold its outer layers too. */
function computeOwnRange(
  endpoint: PlannedEndpoint,
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): LayerRange {
  const held = endpoint.held!;
  const fitting = countFittingLayers(endpoint, options.goalTokens, model);
  let {first, end} = held;
  for (const other of group) {
    if (other === endpoint || other.held === undefined) continue;
    // Of two that share layers, the one that is stretched gives them up.
    if (other.isLoading || end - first <= fitting) continue;
    const isBehind = other.held.first > first && other.held.first < end;
    if (isBehind && other.held.end >= end) {
      end = Math.max(other.held.first, first + fitting);
    }
    const isAhead = other.held.end < end && other.held.end > first;
    if (isAhead && other.held.first <= first) {
      first = Math.min(other.held.end, end - fitting);
    }
  }
  return {first, end};
}
