import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeAnswerTime} from '@zinniaspindle/decisions';
import {FollowingFleet, type FleetFaults} from './following_fleet.js';

const boundMilliseconds = 2000;
/** The VM whose link is fast and whose rank is the lowest. */
const reader = 1;
/** Within the time of two reads that wait, in steps. */
const goneAts = [6000, 6200, 6400, 6600, 6800, 7000, 7200, 7400, 7600, 7800];
const publishedBefore = [50, 250, 450, 650, 850, 1050, 1250, 1450];

/**
 * Publishes a version before the reader is gone for good; returns how long the
 * slowest calm VM takes to apply it.
 */
async function measureSlowest(
  publishedAt: number,
  goneAt: number,
  faults: Partial<FleetFaults>,
): Promise<number> {
  const isGone = (vm: number, now: number) => vm === reader && now >= goneAt;
  const fleet = new FollowingFleet({
    ...{vms: 15, boundMilliseconds, linkMegabits: 490},
    ...{isFirstStart: false, passesAgesOn: false},
    faults: {
      ...faults,
      isFrozen: (vm, now) =>
        isGone(vm, now) || (faults.isFrozen?.(vm, now) ?? false),
      isCut: (from, to, now) => isGone(from, now) || isGone(to, now),
    },
  });
  fleet.publish(1, 60_000);
  await fleet.runUntil(publishedAt);
  fleet.publish(2, 60_000);
  await fleet.runUntil(publishedAt + 4000);
  const delays = fleet.listDelays(2, publishedAt);
  return Math.max(...delays.toSpliced(reader, 1));
}

/** The same, over the moments of both; the faults may depend on the second. */
async function measureWorst(
  makeFaults: (goneAt: number) => Partial<FleetFaults>,
): Promise<number> {
  let worst = 0;
  for (const goneAt of goneAts) {
    for (const before of publishedBefore) {
      const faults = makeFaults(goneAt);
      const slowest = await measureSlowest(goneAt - before, goneAt, faults);
      worst = Math.max(worst, slowest);
    }
  }
  return worst;
}

test('a version is in force in time after a calm reader is gone', async () => {
  const worst = await measureWorst(() => ({}));
  assert.ok(worst < boundMilliseconds, `${worst} ms`);
});

test('a version is in force in time after a reader with late answers is gone', async () => {
  const worst = await measureWorst(() => ({
    computeAnswerDelay: vm => (vm === reader ? 1100 : 0),
  }));
  assert.ok(worst < boundMilliseconds, `${worst} ms`);
});

test('a version is in force in time after a reader that froze is gone', async () => {
  const worst = await measureWorst(goneAt => ({
    isFrozen: (vm, now) =>
      vm === reader && now >= goneAt - 1300 && now < goneAt - 20,
  }));
  assert.ok(worst < boundMilliseconds, `${worst} ms`);
});

test('an answer is no newer than the end of its wait, and one with records no newer than the read', () => {
  const read = {sentAt: 100, waitMilliseconds: 1000, arrivedAt: 1900};
  assert.equal(computeAnswerTime({...read, isEmpty: true}), 1100);
  assert.equal(computeAnswerTime({...read, isEmpty: false}), 100);
  const early = {...read, arrivedAt: 700, isEmpty: true};
  assert.equal(computeAnswerTime(early), 700);
  assert.equal(computeAnswerTime({...early, waitMilliseconds: 0}), 100);
});
