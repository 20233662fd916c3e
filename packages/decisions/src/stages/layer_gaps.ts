import type {LayerRange} from '@zinniaspindle/shared';
import type {StageEndpoint} from './stage_types.js';

/** Lists the layers that no range covers, as ranges. */
export function listGaps(
  ranges: readonly LayerRange[],
  layerCount: number,
): LayerRange[] {
  const sorted = [...ranges].sort((a, b) => a.first - b.first);
  const gaps: LayerRange[] = [];
  let reached = 0;
  for (const {first, end} of sorted) {
    if (first > reached) gaps.push({first: reached, end: first});
    reached = Math.max(reached, end);
  }
  if (reached < layerCount) gaps.push({first: reached, end: layerCount});
  return gaps;
}

/** Finds the first layer that no endpoint of a group holds; -1 for none. */
export function findGap(
  endpoints: readonly StageEndpoint[],
  layerCount: number,
): number {
  const ranges: LayerRange[] = [];
  for (const {held} of endpoints) if (held !== undefined) ranges.push(held);
  return listGaps(ranges, layerCount)[0]?.first ?? -1;
}
