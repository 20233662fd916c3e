import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDelayWindow, recordDelay} from '@zinniaspindle/decisions';
import {
  FollowingFleet,
  type FleetFaults,
  type FleetOptions,
} from './following_fleet.js';

const baseOptions: FleetOptions = {
  vms: 28,
  boundMilliseconds: 3000,
  linkMegabits: 14,
  isFirstStart: false,
  passesAgesOn: false,
  faults: {},
};

async function runFleet(options: Partial<FleetOptions>) {
  const fleet = new FollowingFleet({...baseOptions, ...options});
  fleet.publish(1, 60_000);
  await fleet.runUntil(2500);
  return fleet;
}

/** Publishes a version and returns how long the last VM takes to apply it. */
async function measureSpread(
  fleet: FollowingFleet,
  at: number,
  bytes: number,
): Promise<number> {
  await fleet.runUntil(at);
  fleet.publish(2, bytes);
  await fleet.runUntil(at + 6000);
  return Math.max(...fleet.listDelays(2, at));
}

// The store turns away a third of the VMs, the reader among them.
const refusesThird: Partial<FleetFaults> = {
  isRefused: (vm, now) =>
    (vm === 1 || vm % 3 === 0) && now > 2500 && now < 11_500,
};

test('a version reaches all VMs while the store turns the reader away', async () => {
  const fleet = await runFleet({faults: refusesThird});
  const spread = await measureSpread(fleet, 7200, 60_000);
  assert.ok(spread < 3000, `${spread} ms`);
});

test('ages that are passed on hide that nobody reads the store', async () => {
  const options = {faults: refusesThird, passesAgesOn: true};
  const fleet = await runFleet(options);
  const spread = await measureSpread(fleet, 7200, 60_000);
  assert.ok(spread > 3000, `${spread} ms`);
});

test('the VM that takes over waits for records at the store', async () => {
  const fleet = await runFleet({faults: refusesThird});
  await fleet.runUntil(6000);
  const spread = await measureSpread(fleet, 7200, 60_000);
  assert.ok(spread < 500, `${spread} ms`);
});

test('a large version reaches a large fleet after its history was dropped', async () => {
  const fleet = await runFleet({vms: 128});
  await fleet.runUntil(7000);
  fleet.dropHistory();
  const spread = await measureSpread(fleet, 7170, 380_000);
  assert.ok(spread < 3000, `${spread} ms`);
});

test('a frozen reader is replaced, and believes nothing that it hears late', async () => {
  const isFrozen = (vm: number, now: number) =>
    vm === 1 && now > 4000 && now < 8000;
  const fleet = await runFleet({faults: {isFrozen}});
  const spread = await measureSpread(fleet, 4500, 60_000);
  const delays = fleet.listDelays(2, 4500);
  assert.ok(Math.max(...delays.toSpliced(1, 1)) < 3000, `${spread} ms`);
  assert.ok(delays[1]! < 6000, `${delays[1]} ms`);
});

test('VMs that the reader does not reach read for themselves', async () => {
  const isCut = (from: number, to: number, now: number) =>
    now > 4000 && (from === 1) !== (to === 1);
  const fleet = await runFleet({faults: {isCut}});
  const spread = await measureSpread(fleet, 6000, 60_000);
  assert.ok(spread < 3000, `${spread} ms`);
});

test('a fleet that starts together reads the store once', async () => {
  const fleet = new FollowingFleet({
    ...baseOptions,
    vms: 195,
    isFirstStart: true,
  });
  fleet.publish(1, 60_000);
  await fleet.runUntil(2400);
  assert.ok(Math.max(...fleet.listDelays(1, 0)) < 2400);
  assert.ok(fleet.storeCalls <= 4, `${fleet.storeCalls} calls`);
});

test('the calls of a calm fleet do not grow with its size', async () => {
  const counts: number[] = [];
  for (const vms of [13, 60, 195]) {
    const fleet = await runFleet({vms, isFirstStart: true});
    const before = fleet.storeCalls;
    await fleet.runUntil(12_500);
    counts.push(fleet.storeCalls - before);
  }
  const [first] = counts;
  assert.ok(
    counts.every(count => count <= first! * 1.2),
    counts.join(', '),
  );
});

// A VM that joins reads the newest records itself. When it sent them on, 60 VMs
// that restarted together sent 60 times 59 snapshots.
test('VMs that restart do not send each other all records', async () => {
  const fleet = await runFleet({vms: 60});
  const perSecond = fleet.sentBytes / 60 / 2.5;
  assert.ok(perSecond < 19_000, `${perSecond} bytes a second and VM`);
});

test('after an outage the first VMs try again first', async () => {
  const isRefused = (_vm: number, now: number) => now > 3000 && now < 8000;
  const fleet = await runFleet({vms: 195, faults: {isRefused}});
  await fleet.runUntil(3000);
  const before = fleet.storeCalls;
  await fleet.runUntil(8000);
  const calls = fleet.storeCalls - before;
  assert.ok(calls < 195 * 3, `${calls} calls`);
  const spread = await measureSpread(fleet, 8000, 60_000);
  assert.ok(spread < 3000, `${spread} ms`);
});

test('a message is as old as it waited beyond the fastest one', () => {
  const window = createDelayWindow();
  assert.equal(recordDelay(window, 1000, 5003), 0);
  assert.equal(recordDelay(window, 2000, 6503), 500);
  assert.equal(recordDelay(window, 3000, 7001), 0);
  assert.equal(recordDelay(window, 4000, 8003), 2);
});
