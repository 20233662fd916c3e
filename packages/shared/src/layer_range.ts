/** The half-open range [first, end) of model layers. */
export interface LayerRange {
  readonly first: number;
  readonly end: number;
}

/** Counts the layers in a range. */
export function countLayers(range: LayerRange): number {
  return range.end - range.first;
}

/** Computes the intersection of two ranges; undefined when it is empty. */
export function computeOverlap(
  a: LayerRange,
  b: LayerRange,
): LayerRange | undefined {
  const first = Math.max(a.first, b.first);
  const end = Math.min(a.end, b.end);
  return end > first ? {first, end} : undefined;
}

/** Tells whether a range contains all layers of another; none has no layers. */
export function hasAllLayers(
  range: LayerRange | undefined,
  other: LayerRange | undefined,
): boolean {
  if (other === undefined) return true;
  if (range === undefined) return false;
  return range.first <= other.first && range.end >= other.end;
}

/**
 * Tells whether ranges, in order, cover each of the layers [0, layerCount)
 * exactly once.
 */
export function isWholeChain(
  ranges: readonly LayerRange[],
  layerCount: number,
): boolean {
  let next = 0;
  for (const range of ranges) {
    if (range.first !== next || range.end <= range.first) return false;
    next = range.end;
  }
  return next === layerCount;
}

/** Formats a range as "[first,end)". */
export function formatLayerRange(range: LayerRange): string {
  return `[${range.first},${range.end})`;
}
