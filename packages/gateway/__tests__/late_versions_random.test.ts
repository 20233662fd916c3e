import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FollowingFleet} from './following_fleet.js';

const vms = 8;
const boundMilliseconds = 2000;
/** A VM without a fault for this time is calm, and bound. */
const stabilityWindowMilliseconds = 3000;
const warmUpMilliseconds = 3000;
const endMilliseconds = 16_000;
/** Time that the store is away before it comes back from an older copy. */
const awayMilliseconds = 400;

interface Span {
  readonly vm: number;
  readonly from: number;
  readonly milliseconds: number;
}

const span = fc.record({
  vm: fc.integer({min: 0, max: vms - 1}),
  from: fc.integer({min: warmUpMilliseconds, max: endMilliseconds}),
  milliseconds: fc.integer({min: 50, max: 5000}),
});
const play = fc.record({
  /** VMs that get no processor time. */
  freezes: fc.array(span, {maxLength: 4}),
  /** VMs that the store turns away. */
  refusals: fc.array(span, {maxLength: 3}),
  /** VMs whose answers of the store are late. */
  delays: fc.array(fc.tuple(span, fc.integer({min: 50, max: 1500})), {
    maxLength: 3,
  }),
  /** VMs that exchange nothing with some others. */
  cuts: fc.array(fc.tuple(span, fc.integer({min: 0, max: 2 ** vms - 1})), {
    maxLength: 3,
  }),
  /** The whole store is away. */
  outages: fc.array(span, {maxLength: 1}),
  /** The store comes back without the last versions; the newest is written again. */
  setbacks: fc.array(
    fc.record({
      at: fc.integer({min: warmUpMilliseconds, max: endMilliseconds}),
      lost: fc.integer({min: 1, max: 3}),
      rewrittenAfter: fc.integer({min: 10, max: 1500}),
    }),
    {maxLength: 2},
  ),
  published: fc.array(
    fc.integer({min: warmUpMilliseconds, max: endMilliseconds - 1}),
    {minLength: 1, maxLength: 12},
  ),
});
type Play = typeof play extends fc.Arbitrary<infer Value> ? Value : never;

function isIn({from, milliseconds}: Span, now: number): boolean {
  return now >= from && now < from + milliseconds;
}

/** Lists what excuses a VM: its own faults and those of the whole store. */
function listExcuses(faults: Play, vm: number): Span[] {
  const {freezes, refusals, delays, outages, setbacks} = faults;
  const own = [...freezes, ...refusals, ...delays.map(([one]) => one)];
  const away = setbacks.map(({at, rewrittenAfter}) => ({
    ...{vm, from: at - awayMilliseconds},
    milliseconds: awayMilliseconds + rewrittenAfter,
  }));
  return [...own.filter(one => one.vm === vm), ...outages, ...away];
}

/** Finds the first instant at which a VM is bound to have a version. */
function findBoundAt(
  publishedAt: number,
  excuses: readonly Span[],
): number | undefined {
  let at = publishedAt + boundMilliseconds;
  const byBegin = [...excuses].sort((one, other) => one.from - other.from);
  for (const {from, milliseconds} of byBegin) {
    if (from > at) break;
    at = Math.max(at, from + milliseconds + stabilityWindowMilliseconds);
  }
  return at > endMilliseconds ? undefined : at;
}

async function findLate(faults: Play): Promise<string[]> {
  const {freezes, refusals, delays, cuts, outages, setbacks} = faults;
  const isSide = (mask: number, vm: number) => ((mask >> vm) & 1) === 1;
  const fleet = new FollowingFleet({
    ...{vms, boundMilliseconds, linkMegabits: 490},
    ...{isFirstStart: false, passesAgesOn: false, firstEra: 1},
    faults: {
      isFrozen: (vm, now) =>
        freezes.some(one => one.vm === vm && isIn(one, now)),
      isRefused: (vm, now) =>
        outages.some(one => isIn(one, now)) ||
        setbacks.some(({at}) => now >= at - awayMilliseconds && now < at) ||
        refusals.some(one => one.vm === vm && isIn(one, now)),
      isCut: (from, to, now) =>
        cuts.some(
          ([one, mask]) =>
            isIn(one, now) && isSide(mask, from) !== isSide(mask, to),
        ),
      computeAnswerDelay: (vm, now) =>
        Math.max(
          0,
          ...delays
            .filter(([one]) => one.vm === vm && isIn(one, now))
            .map(([, milliseconds]) => milliseconds),
        ),
    },
  });
  fleet.publish(1, 20_000);
  const publishedAt = [...faults.published].sort((one, other) => one - other);
  let newest = 1;
  const steps = publishedAt.map((at, index) => ({
    at,
    run: () => {
      newest = index + 2;
      fleet.publish(newest, 20_000);
    },
  }));
  for (const {at, lost, rewrittenAfter} of setbacks) {
    steps.push({at, run: () => fleet.resumeWithout(lost)});
    const run = () => fleet.publish(newest, 20_000);
    steps.push({at: at + rewrittenAfter, run});
  }
  steps.sort((one, other) => one.at - other.at);
  for (const {at, run} of steps.filter(one => one.at < endMilliseconds)) {
    await fleet.runUntil(at);
    run();
  }
  await fleet.runUntil(endMilliseconds);
  const late: string[] = [];
  for (let vm = 0; vm < vms; vm += 1) {
    const excuses = listExcuses(faults, vm);
    // A later version stands for an earlier one.
    let appliedAt = Infinity;
    for (let index = publishedAt.length - 1; index >= 0; index -= 1) {
      const version = index + 2;
      appliedAt = Math.min(appliedAt, fleet.listDelays(version, 0)[vm]!);
      const boundAt = findBoundAt(publishedAt[index]!, excuses);
      if (boundAt === undefined || appliedAt <= boundAt) continue;
      late.push(`VM ${vm}: version ${version} at ${appliedAt}, not ${boundAt}`);
    }
  }
  return late;
}

test('a calm VM has each version in time, whatever befalls the others', async () => {
  await fc.assert(
    fc.asyncProperty(play, async faults => {
      assert.deepEqual(await findLate(faults), []);
    }),
    {numRuns: 250, seed: 50},
  );
});
