import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {findPaths, pickSpreadPath, type StagePath} from '../src/index.js';
import {makeEndpoint, model} from './stage_fixtures.js';

const vms = 195;
const slots = 134;
const tokens = 900;
/** Streams at each endpoint before any falls silent: about half of its places. */
const usualStreams = 65;
const small = {...model, layerCount: 20};

function makePaths(count: number): readonly StagePath[] {
  const whole = {first: 0, end: small.layerCount};
  const endpoints = Array.from({length: count}, (_, i) =>
    makeEndpoint(`e${i}`, 'a100s', `dc${i % 5}`, whole),
  );
  return findPaths(endpoints, small);
}

/**
 * Moves the streams of the first endpoints, each by its own VM, which knows the
 * loads from before the silence and its own moves. Gives the streams that each
 * endpoint gets as well.
 */
function simulateMoves(silent: number, seed: number): number[] {
  const generator = xoroshiro128plus(seed);
  const sample = () => (generator.next() >>> 0) / 2 ** 32;
  const paths = makePaths(40);
  const getId = (path: StagePath) => path.parts[0]!.endpoint.id;
  const loads = new Map(
    paths.map(path => [getId(path), usualStreams + 20 * (sample() - 0.5)]),
  );
  const added = new Map(paths.map(path => [getId(path), 0]));
  const left = new Set(paths.slice(0, silent).map(getId));
  const usable = paths.filter(path => !left.has(getId(path)));
  const streams = Math.round(silent * usualStreams);
  const own = Array.from({length: vms}, () => new Map<string, number>());
  for (let stream = 0; stream < streams; stream += 1) {
    const vm = Math.floor(sample() * vms);
    const mine = own[vm]!;
    const getLoad = (id: string) => ({
      streams: loads.get(id)! + (mine.get(id) ?? 0),
      layerTokens: 0,
    });
    const view = {getLoad, dataCentre: `dc${vm % 5}`, random: sample};
    const path = pickSpreadPath(usable, {tokens}, view);
    if (path === undefined) continue;
    const id = getId(path);
    mine.set(id, (mine.get(id) ?? 0) + 1);
    added.set(id, added.get(id)! + 1);
  }
  for (const [id, count] of added) {
    assert.ok(
      loads.get(id)! + count <= slots,
      `${id} has no place for ${count}`,
    );
  }
  return usable.map(path => added.get(getId(path))!);
}

for (const silent of [1, 3, 8]) {
  test(`streams of ${silent} silent endpoints find places at the others, by 195 VMs that do not agree`, () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const counts = simulateMoves(silent, seed);
      const moved = counts.reduce((sum, count) => sum + count, 0);
      assert.equal(moved, silent * usualStreams);
    }
  });
}
