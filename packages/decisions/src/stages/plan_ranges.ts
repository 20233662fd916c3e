import type {LayerRange} from '@zinniaspindle/shared';
import {findGap} from './layer_gaps.js';
import {countFittingAll, countFittingLayers} from './memory.js';
import {planGapFill, planOffload} from './plan_gap_fill.js';
import {buildGroups} from './build_groups.js';
import {sortInterleaved} from './sort_interleaved.js';
import {planRepair} from './plan_repair.js';
import type {StageEndpoint, StageModel} from './stage_types.js';

/** Memory targets of the range planner. */
export interface RangeOptions {
  /** Request tokens that each chain should have memory for. */
  readonly targetTokens: number;
  /** Request tokens that the neighbours of a gap keep memory for when they fill it. */
  readonly gapFillTokens: number;
  /** Request tokens that endpoints keep memory for when a repair moves ranges. */
  readonly repairTokens: number;
  /** Request tokens that a data centre must have memory for to get its own chain. */
  readonly minTokens: number;
}

/**
 * The target of a chain lets it take over the load of two more chains: 43 streams
 * a second of 900 tokens for 3 s are 116,000 tokens (site files). With 80,000
 * tokens, a chain can carry its own third twice, and the layers of any one lost
 * endpoint load within 1.4 s, 0.7 s on average, hardly longer than with 45,000.
 */
export const defaultRangeOptions: RangeOptions = {
  targetTokens: 120_000,
  gapFillTokens: 80_000,
  repairTokens: 80_000,
  minTokens: 30_000,
};

/** Share of all chains that must be whole to carry the load of all. */
const sufficientShare = 2 / 3;

/** An endpoint as input of the range planner. */
export interface PlannedEndpoint extends StageEndpoint {
  /** Whether it is still loading what it should hold. */
  readonly isLoading: boolean;
}

/** The range that an endpoint should hold. */
export interface PlannedRange {
  readonly range: LayerRange;
  /**
   * Whether streams on layers that the endpoint drops are to move, because its
   * chain is broken and another one can take them.
   */
  readonly isUrgent: boolean;
  /**
   * Whether the endpoint cuts those streams off, because its chain does not run
   * them any more; else those that do not move finish first.
   */
  readonly cutsStreams: boolean;
}

/** The wanted ranges by endpoint id; endpoints not listed keep what they hold. */
export type RangePlan = ReadonlyMap<string, PlannedRange>;

/** Loading endpoints from which a relayout is assumed; a gap filled by its neighbours loads only two. */
const relayoutLoads = 3;

interface Member {
  readonly endpoint: PlannedEndpoint;
  size: number;
  cap: number;
}

/**
 * Plans the layer ranges of a model's endpoints so that each group that can
 * hold all layers forms a whole chain. Chains that are whole, by what their
 * endpoints hold or load, are found first and keep their endpoints, so that the
 * plan changes only for chains that lost some, and is the same for every VM that
 * has the same reports. An endpoint that loads keeps its order. A gap is filled
 * by its neighbours if they have the memory; otherwise the ranges near it are
 * moved. Spare endpoints offload the fullest ones. Draining endpoints
 * (`leaving`) get no layers but still serve their running streams.
 */
export function planRanges(
  endpoints: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions = defaultRangeOptions,
  leaving: readonly StageEndpoint[] = [],
): RangePlan {
  const plan = new Map<string, PlannedRange>();
  const {whole, broken} = buildGroups(endpoints, model, options);
  const groupCount = whole.length + broken.length;
  const loaded = whole.filter(group => canTakeOver(group, model)).length;
  for (const group of whole) {
    for (const [id, range] of planOffload(group, model, options)) {
      plan.set(id, range);
    }
  }
  // A chain that still serves its streams is repaired only while no other is relaid.
  let isMoving = whole.some(group => isRelayoutLoading(group, model));
  // Chains that are repaired together share the loads at full speed.
  const loadsAtOnce = model.loadsAtOnce / Math.max(1, broken.length);
  const sharedModel = {...model, loadsAtOnce};
  for (const group of broken) {
    const ranges = planInPlace(group, model, options);
    for (const [id, range] of ranges ?? []) plan.set(id, range);
    if (ranges !== undefined) continue;
    const stillRuns = isStillRunning(group, leaving, model);
    if (stillRuns && isMoving) continue;
    isMoving = true;
    const isUrgent = isRepairUrgent(loaded, groupCount, stillRuns);
    const tokens = findFittingTokens(group, model, options.repairTokens);
    const cutsStreams = isUrgent && !stillRuns;
    for (const [id, range] of planRepair(group, tokens, sharedModel)) {
      plan.set(id, {range, isUrgent, cutsStreams});
    }
  }
  return plan;
}

/** Tells whether a chain is complete if its draining endpoints are included. */
function isStillRunning(
  group: readonly PlannedEndpoint[],
  leaving: readonly StageEndpoint[],
  model: StageModel,
): boolean {
  const {dataCentre} = group[0]!;
  const drainingMembers = leaving.filter(one => one.dataCentre === dataCentre);
  return findGap([...group, ...drainingMembers], model.layerCount) === -1;
}

/**
 * Tells whether the streams on layers that a broken chain drops are to move to
 * another chain, so that the repair does not wait for them. Streams of a chain
 * that only has draining endpoints still run; they stay while enough other chains
 * are whole.
 */
function isRepairUrgent(
  wholeChains: number,
  chains: number,
  stillRuns: boolean,
): boolean {
  if (wholeChains === 0) return false;
  return !stillRuns || wholeChains < chains * sufficientShare;
}

/** Tells whether a chain is complete and loaded, so that it can take over streams. */
function canTakeOver(
  group: readonly PlannedEndpoint[],
  model: StageModel,
): boolean {
  const loaded = group.filter(({isLoading}) => !isLoading);
  return findGap(loaded, model.layerCount) === -1;
}

/** Tells whether a chain is still loading the ranges of a relayout. */
function isRelayoutLoading(
  group: readonly PlannedEndpoint[],
  model: StageModel,
): boolean {
  let loading = 0;
  for (const {isLoading} of group) if (isLoading) loading += 1;
  return loading >= relayoutLoads && findGap(group, model.layerCount) === -1;
}

/**
 * Plans a group without moving the layers that its endpoints hold; undefined if
 * the chain can only be repaired by moving some.
 */
function planInPlace(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan | undefined {
  const isEmpty = group.every(({held}) => held === undefined);
  if (isEmpty) return planInitialRanges(group, model, options);
  return planGapFill(group, model, options);
}

/** Plans the ranges of empty endpoints so that their passes take equal time. */
function planInitialRanges(
  group: readonly PlannedEndpoint[],
  model: StageModel,
  options: RangeOptions,
): RangePlan {
  const tokens = findFittingTokens(group, model, options.targetTokens);
  const members = sortByCentre(group).map(endpoint => ({
    endpoint,
    size: 0,
    cap: countFittingLayers(endpoint, tokens, model),
  }));
  addEvenly(members, model.layerCount);
  return buildPlan(members);
}

/** Sorts endpoints by data centre, in their given order, and within it by size. */
function sortByCentre(group: readonly PlannedEndpoint[]): PlannedEndpoint[] {
  const centres = new Set(group.map(({dataCentre}) => dataCentre));
  return [...centres].flatMap(centre =>
    sortInterleaved(group.filter(({dataCentre}) => dataCentre === centre)),
  );
}

/** Finds the most request tokens, up to a target, at which all layers still fit. */
function findFittingTokens(
  group: readonly StageEndpoint[],
  model: StageModel,
  target: number,
): number {
  const precision = 500;
  let low = 0;
  let high = target;
  if (countFittingAll(group, target, model) >= model.layerCount) return target;
  while (high - low > precision) {
    const middle = (low + high) / 2;
    if (countFittingAll(group, middle, model) >= model.layerCount) low = middle;
    else high = middle;
  }
  return low;
}

/** Assigns layers one by one to the endpoint whose pass remains the shortest. */
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

/** Turns sizes into consecutive ranges. */
function buildPlan(members: readonly Member[]): RangePlan {
  const plan = new Map<string, PlannedRange>();
  let first = 0;
  for (const {endpoint, size} of members) {
    const range = {first, end: first + size};
    if (size > 0) {
      plan.set(endpoint.id, {range, isUrgent: false, cutsStreams: false});
    }
    first += size;
  }
  return plan;
}
