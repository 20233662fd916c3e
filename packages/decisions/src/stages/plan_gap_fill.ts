import {countLayers, type LayerRange} from '@zinniaspindle/shared';
import {listGaps} from './layer_gaps.js';
import {computeTokenCapacity, countFittingLayers} from './memory.js';
import type {
  PlannedEndpoint,
  PlannedRange,
  RangeOptions,
  RangePlan,
} from './plan_ranges.js';
import type {StageModel} from './stage_types.js';

/** Share of the target's tokens below which an endpoint is offloaded. */
const offloadShare = 0.75;

type MutablePlan = Map<string, PlannedRange>;

/**
 * Fills gaps without taking layers from any endpoint: both neighbours extend
 * into the gap and a spare endpoint takes the middle, so that each loads few
 * layers. Undefined if they lack the memory.
 */
export function planGapFill(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan | undefined {
  const plan: MutablePlan = new Map();
  for (const {id, held} of group) {
    if (held !== undefined) {
      plan.set(id, {range: held, isUrgent: false, cutsStreams: false});
    }
  }
  const isSpare = ({held, isLoading}: PlannedEndpoint) =>
    held === undefined && !isLoading;
  const empty = group.filter(isSpare);
  const held = [...plan.values()].map(({range}) => range);
  for (const gap of listGaps(held, model.layerCount)) {
    const [spare] = empty.splice(0, 1);
    const left =
      spare === undefined
        ? gap
        : addSpare(plan, group, spare, gap, model, options);
    if (countLayers(left) === 0) continue;
    if (!addExtension(plan, group, left, model, options)) return undefined;
  }
  return plan;
}

/**
 * Offloads the endpoint of a whole chain that has the least memory for
 * requests: a spare endpoint or a neighbour loads some of its layers. Layers
 * that other endpoints hold as well are dropped.
 */
export function planOffload(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan {
  const plan: MutablePlan = new Map();
  let fullest: PlannedEndpoint | undefined;
  let least = options.targetTokens * offloadShare;
  for (const endpoint of group) {
    const {id, held, isLoading} = endpoint;
    if (held === undefined) continue;
    const range = isLoading
      ? held
      : computeTrimmedRange(endpoint, group, model, options);
    plan.set(id, {range, isUrgent: false, cutsStreams: false});
    const size = countLayers(range);
    const tokens = computeTokenCapacity(endpoint, size, size, model);
    if (tokens >= least) continue;
    least = tokens;
    fullest = endpoint;
  }
  if (fullest === undefined) return plan;
  const spare = group.find(
    ({held, isLoading}) => held === undefined && !isLoading,
  );
  if (spare === undefined) {
    addNeighbourOffload(plan, group, fullest, model, options);
  } else addSpareOffload(plan, spare, fullest, model, options);
  return plan;
}

function addSpareOffload(
  plan: MutablePlan,
  spare: PlannedEndpoint,
  fullest: PlannedEndpoint,
  model: StageModel,
  options: RangeOptions,
): void {
  const {range} = plan.get(fullest.id)!;
  const fitting = countFittingLayers(spare, options.targetTokens, model);
  const taken = Math.min(fitting, Math.ceil(countLayers(range) / 2));
  if (taken <= 0) return;
  const first = range.end - taken;
  plan.set(spare.id, {
    range: {first, end: range.end},
    isUrgent: false,
    cutsStreams: false,
  });
}

/** Extends the neighbour with more free memory into the fullest endpoint's range. */
function addNeighbourOffload(
  plan: MutablePlan,
  group: readonly PlannedEndpoint[],
  fullest: PlannedEndpoint,
  model: StageModel,
  options: RangeOptions,
): void {
  const {range} = plan.get(fullest.id)!;
  const targetOptions = {...options, gapFillTokens: options.targetTokens};
  const fitting = countFittingLayers(fullest, options.targetTokens, model);
  const excess = countLayers(range) - fitting;
  const {before, after} = findNeighbours(plan, group, range);
  const left = countFreeLayers(before, plan, 0, model, targetOptions);
  const right = countFreeLayers(after, plan, 0, model, targetOptions);
  const taken = Math.min(excess, Math.max(left, right));
  const isLoading = before?.isLoading === true || after?.isLoading === true;
  if (taken <= 0 || isLoading) return;
  const taker = left >= right ? before! : after!;
  const held = plan.get(taker.id)!.range;
  const extended =
    taker === before
      ? {first: held.first, end: held.end + taken}
      : {first: held.first - taken, end: held.end};
  plan.set(taker.id, {range: extended, isUrgent: false, cutsStreams: false});
}

/**
 * Divides a gap among a spare endpoint and both neighbours: each neighbour takes
 * up to a third, as its memory allows, and the spare as much of the rest as fits.
 * Returns what is still missing.
 */
function addSpare(
  plan: MutablePlan,
  group: readonly PlannedEndpoint[],
  spare: PlannedEndpoint,
  gap: LayerRange,
  model: StageModel,
  options: RangeOptions,
): LayerRange {
  const {before, after} = findNeighbours(plan, group, gap);
  const third = Math.floor(countLayers(gap) / 3);
  const left = Math.min(
    third,
    countFreeLayers(before, plan, 0, model, options),
  );
  const right = Math.min(
    third,
    countFreeLayers(after, plan, 0, model, options),
  );
  const first = gap.first + Math.max(0, left);
  const last = gap.end - Math.max(0, right);
  const fitting = countFittingLayers(spare, options.gapFillTokens, model);
  const end = Math.min(first + fitting, last);
  if (before !== undefined) setEnd(plan, before, first);
  plan.set(spare.id, {range: {first, end}, isUrgent: true, cutsStreams: false});
  if (end < last) return {first: end, end: gap.end};
  if (after !== undefined) setFirst(plan, after, last);
  return {first: gap.end, end: gap.end};
}

function setEnd(plan: MutablePlan, {id}: PlannedEndpoint, end: number): void {
  const {range} = plan.get(id)!;
  if (end === range.end) return;
  plan.set(id, {
    range: {first: range.first, end},
    isUrgent: true,
    cutsStreams: false,
  });
}

function setFirst(
  plan: MutablePlan,
  {id}: PlannedEndpoint,
  first: number,
): void {
  const {range} = plan.get(id)!;
  if (first === range.first) return;
  plan.set(id, {
    range: {first, end: range.end},
    isUrgent: true,
    cutsStreams: false,
  });
}

function findNeighbours(
  plan: MutablePlan,
  group: readonly PlannedEndpoint[],
  gap: LayerRange,
): {
  before: PlannedEndpoint | undefined;
  after: PlannedEndpoint | undefined;
} {
  const holders = group.filter(({id}) => plan.has(id));
  const find = (matches: (range: LayerRange) => boolean) =>
    holders.find(({id}) => matches(plan.get(id)!.range));
  return {
    before: find(({end}) => end === gap.first),
    after: find(({first}) => first === gap.end),
  };
}

/** Extends both neighbours into a gap, the one with more free memory further. */
function addExtension(
  plan: MutablePlan,
  group: readonly PlannedEndpoint[],
  gap: LayerRange,
  model: StageModel,
  options: RangeOptions,
): boolean {
  const {before, after} = findNeighbours(plan, group, gap);
  let {first, end} = gap;
  while (first < end) {
    const left = countFreeLayers(
      before,
      plan,
      first - gap.first,
      model,
      options,
    );
    const right = countFreeLayers(after, plan, gap.end - end, model, options);
    if (left <= 0 && right <= 0) return false;
    if (left >= right) first += 1;
    else end -= 1;
  }
  if (before !== undefined) setEnd(plan, before, first);
  if (after !== undefined) setFirst(plan, after, end);
  return true;
}

/** Counts the layers that an endpoint can still take in addition to those added. */
function countFreeLayers(
  endpoint: PlannedEndpoint | undefined,
  plan: MutablePlan,
  added: number,
  model: StageModel,
  options: RangeOptions,
): number {
  if (endpoint === undefined || endpoint.isLoading) return 0;
  const held = countLayers(plan.get(endpoint.id)!.range);
  const fitting = countFittingLayers(endpoint, options.gapFillTokens, model);
  return fitting - held - added;
}

/** Computes the range an endpoint keeps after dropping outer layers that others hold. */
function computeTrimmedRange(
  endpoint: PlannedEndpoint,
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): LayerRange {
  const held = endpoint.held!;
  const fitting = countFittingLayers(endpoint, options.targetTokens, model);
  let {first, end} = held;
  for (const other of group) {
    if (other === endpoint || other.held === undefined) continue;
    // Of two endpoints that share layers, the one beyond its target drops them.
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
