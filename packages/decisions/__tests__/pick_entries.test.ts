import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  defaultEntryOptions,
  pickEntries,
  type EntryVm,
} from '@zinniaspindle/decisions';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Makes a reproducible source of numbers in [0, 1). */
function makeRandom(): () => number {
  const generator = xoroshiro128plus(7);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

const largeCores = 1.35;
const smallCores = 0.227;

function makeVms(large: number, small: number): EntryVm[] {
  const vms: EntryVm[] = [];
  for (let i = 0; i < large + small; i += 1) {
    const cores = i < large ? largeCores : smallCores;
    vms.push({address: `10.0.0.${i}:80`, cores});
  }
  return vms;
}

/** Counts the callers of each VM; each takes a random address of its answer. */
function countCallers(
  vms: readonly EntryVm[],
  callers: number,
): Map<string, number> {
  const random = makeRandom();
  const counts = new Map<string, number>();
  for (let i = 0; i < callers; i += 1) {
    const answer = pickEntries(vms, random)!;
    const address = answer[Math.floor(random() * answer.length)]!;
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  return counts;
}

// Guards against slow VMs that get as many callers as those six times as fast.
test('callers are sent to VMs by their processor time', () => {
  const vms = makeVms(6, 126);
  const {idleCores} = defaultEntryOptions;
  const callers = 20_000;
  const counts = countCallers(vms, callers);
  const total = 6 * (largeCores - idleCores) + 126 * (smallCores - idleCores);
  let large = 0;
  for (const {address} of vms.slice(0, 6)) large += counts.get(address) ?? 0;
  const expected = (6 * (largeCores - idleCores)) / total;
  assert.ok(Math.abs(large / callers - expected) < 0.02, `${large}`);
});

// Guards against a ready VM that no caller is ever sent to.
test('each VM is named to some callers', () => {
  const vms = makeVms(6, 126);
  const counts = countCallers(vms, 20_000);
  for (const {address} of vms) assert.ok((counts.get(address) ?? 0) > 30);
});

test('an answer names no VM twice and enough to survive losses', () => {
  const random = makeRandom();
  for (const vms of [makeVms(6, 126), makeVms(1, 20), makeVms(3, 2)]) {
    const least = Math.min(defaultEntryOptions.minEntries, vms.length);
    for (let i = 0; i < 200; i += 1) {
      const answer = pickEntries(vms, random)!;
      assert.equal(new Set(answer).size, answer.length);
      assert.ok(answer.length >= least, `${answer.length}`);
      assert.ok(answer.length <= defaultEntryOptions.maxEntries);
    }
  }
});

// Guards against a change for deployments whose VMs are all alike.
test('equal VMs are not weighed', () => {
  assert.equal(pickEntries(makeVms(0, 20), Math.random), undefined);
  assert.equal(pickEntries([], Math.random), undefined);
});

// Guards against a VM of an older build, which sends no capacity, without callers.
test('a VM of unknown capacity leaves all VMs unweighed', () => {
  const vms = [...makeVms(2, 4), {address: 'old:80', cores: undefined}];
  assert.equal(pickEntries(vms, Math.random), undefined);
  const odd = [...makeVms(2, 4), {address: 'odd:80', cores: 0}];
  assert.equal(pickEntries(odd, Math.random), undefined);
});

// Guards against a VM that states an absurd capacity and gets all callers.
test('no VM gets more than its part of the shortest answer', () => {
  const vms = [...makeVms(2, 20), {address: 'odd:80', cores: 1e12}];
  const callers = 5000;
  const counts = countCallers(vms, callers);
  const most = (callers / defaultEntryOptions.minEntries) * 1.2;
  assert.ok((counts.get('odd:80') ?? 0) < most, `${counts.get('odd:80')}`);
  assert.ok(counts.size > 15, `${counts.size} VMs have callers`);
});
