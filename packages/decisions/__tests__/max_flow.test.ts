import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {computeMaxFlow, type FlowEdge} from '../src/index.js';

const vertexCount = 5;

/** Computes the minimum cut over all vertex sets that contain vertex 0. */
function computeMinCut(edges: readonly FlowEdge[]): number {
  let least = Infinity;
  for (let set = 1; set < 1 << (vertexCount - 1); set += 2) {
    let cut = 0;
    for (const {from, to, capacity} of edges) {
      if (set & (1 << from) && !(set & (1 << to))) cut += capacity;
    }
    least = Math.min(least, cut);
  }
  return least;
}

const edgeArbitrary = fc
  .tuple(fc.nat(3), fc.integer({min: 1, max: 4}), fc.nat(20))
  .map(([from, length, capacity]) => ({
    from,
    to: Math.min(vertexCount - 1, from + length),
    capacity,
  }));

test('the maximum flow equals the minimum cut', () => {
  const property = fc.property(fc.array(edgeArbitrary), edges => {
    const {total} = computeMaxFlow(vertexCount, edges);
    assert.equal(total, edges.length === 0 ? 0 : computeMinCut(edges));
  });
  fc.assert(property, {seed: 5, numRuns: 300});
});

test('flows respect capacities and are conserved', () => {
  const property = fc.property(fc.array(edgeArbitrary), edges => {
    const {total, flows} = computeMaxFlow(vertexCount, edges);
    const surplus = new Array<number>(vertexCount).fill(0);
    for (const [index, {from, to, capacity}] of edges.entries()) {
      assert.ok(flows[index]! >= 0 && flows[index]! <= capacity);
      surplus[from]! -= flows[index]!;
      surplus[to]! += flows[index]!;
    }
    assert.deepEqual(surplus.slice(1, -1), [0, 0, 0]);
    assert.equal(surplus.at(-1), total);
  });
  fc.assert(property, {seed: 6, numRuns: 300});
});
