import {sortBySize} from './memory.js';
import type {StageEndpoint} from './stage_types.js';

/**
 * Interleaves large endpoints evenly with small ones, so that a large neighbour
 * can fill the gap of a lost small one.
 */
export function sortInterleaved<Endpoint extends StageEndpoint>(
  group: readonly Endpoint[],
): Endpoint[] {
  const sorted = sortBySize(group);
  const smallest = sorted.at(-1)!.sizeMegabytes;
  const large = sorted.filter(one => one.sizeMegabytes > smallest);
  const small = sorted.filter(one => one.sizeMegabytes === smallest);
  const interleaved: Endpoint[] = [];
  let placed = 0;
  for (const [index, one] of large.entries()) {
    interleaved.push(one);
    const placedEnd = Math.floor(((index + 1) * small.length) / large.length);
    interleaved.push(...small.slice(placed, placedEnd));
    placed = placedEnd;
  }
  return [...interleaved, ...small.slice(placed)];
}
