import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RecordOptions} from '@zinniaspindle/decisions';
import {defaultRecordOptions} from '@zinniaspindle/decisions';
import type {RequestId, VmId} from '@zinniaspindle/shared';
import {toId} from '@zinniaspindle/shared';
import fc from 'fast-check';
import {getVmName, RecordFleet} from '../src/index.js';

const runs = Number(process.env['RECORD_RUNS'] ?? 300);
const seed = Number(process.env['RECORD_SEED'] ?? 20261);
const vms = 9;
const request = toId<RequestId>('r1');
const waitMilliseconds = 2000;

function makeFleet(fleetSeed: number, records: Partial<RecordOptions> = {}) {
  return new RecordFleet({
    seed: fleetSeed,
    vms,
    dataCentres: 3,
    lossShare: 0.05,
    detectionMilliseconds: 3000,
    records: {...defaultRecordOptions, ...records},
  });
}

function runFor(fleet: RecordFleet, milliseconds: number): void {
  fleet.clock.runUntil(fleet.clock.now + milliseconds);
}

/** Kills the owner and one holder, reconnects at some VMs, counts owners. */
function runLoss(
  fleetSeed: number,
  askers: readonly number[],
  ownerDies: boolean,
  records: Partial<RecordOptions> = {},
): number {
  const fleet = makeFleet(fleetSeed, records);
  const owner = getVmName(fleetSeed % vms);
  fleet.startRequest(owner, request);
  runFor(fleet, 1000);
  const dead: VmId[] = fleet.listHolders(request).slice(0, 1);
  if (ownerDies) dead.push(owner);
  for (const vm of dead) fleet.stopVmAtOnce(vm);
  for (const asker of askers) {
    const at = getVmName(asker);
    const deadline = fleet.clock.now + waitMilliseconds;
    if (!dead.includes(at)) fleet.resumeRequest(at, request, deadline);
    runFor(fleet, fleetSeed % 40);
  }
  runFor(fleet, 6000);
  return fleet.listOwners(request).length;
}

const loss = fc.tuple(
  fc.nat(),
  fc.uniqueArray(fc.nat(vms - 1), {minLength: 4, maxLength: 6}),
  fc.boolean(),
);

test('a request has one owner after losses and reconnects', () => {
  const property = fc.property(loss, ([fleetSeed, askers, ownerDies]) => {
    assert.equal(runLoss(fleetSeed, askers, ownerDies), 1);
  });
  fc.assert(property, {seed, numRuns: runs});
});

test('without the order of owners a request has several', () => {
  const guards = {...defaultRecordOptions.guards, ownership: false};
  const samples = fc.sample(loss, {seed, numRuns: 50});
  const failed = samples.filter(
    ([fleetSeed, askers, ownerDies]) =>
      runLoss(fleetSeed, askers, ownerDies, {guards}) !== 1,
  );
  assert.ok(failed.length > 0);
});

test('records are held in two other data centres', () => {
  const fleet = makeFleet(3);
  fleet.startRequest(getVmName(0), request);
  runFor(fleet, 1000);
  const places = fleet.listHolders(request).map(vm => fleet.getDataCentre(vm));
  assert.deepEqual(places.sort(), ['dc1', 'dc2']);
});

/** Kills the owner's whole data centre, then reconnects elsewhere. */
function runDataCentreLoss(records: Partial<RecordOptions>): boolean {
  const fleet = makeFleet(3, records);
  fleet.startRequest(getVmName(0), request);
  runFor(fleet, 1000);
  for (const vm of [0, 3, 6]) fleet.stopVmAtOnce(getVmName(vm));
  const deadline = fleet.clock.now + waitMilliseconds;
  fleet.resumeRequest(getVmName(1), request, deadline);
  runFor(fleet, waitMilliseconds + 100);
  return fleet.listOwners(request).length === 1;
}

test('a request outlives the data centre of its owner', () => {
  assert.equal(runDataCentreLoss({}), true);
});

test('records held near the owner die with its data centre', () => {
  const guards = {...defaultRecordOptions.guards, dataCentres: false};
  assert.equal(runDataCentreLoss({guards}), false);
});

test('an unknown request is answered as not found by the deadline', () => {
  const fleet = makeFleet(4);
  const at = getVmName(2);
  const deadline = fleet.clock.now + waitMilliseconds;
  for (const vm of [4, 5, 6]) fleet.stopVmAtOnce(getVmName(vm));
  fleet.resumeRequest(at, request, deadline);
  fleet.clock.runUntil(deadline + 50);
  assert.ok(fleet.vms.get(at)!.notFound.has(request));
});

test('a holder with full memory refuses, and another one holds', () => {
  const guards = defaultRecordOptions.guards;
  const fleet = makeFleet(5, {maxHeldBytes: 2000, guards});
  for (let i = 0; i < 12; i += 1) {
    fleet.startRequest(getVmName(i % vms), toId(`many-${i}`));
    runFor(fleet, 300);
  }
  for (const vm of fleet.vms.values()) {
    assert.ok(vm.state.heldBytes <= 2000);
  }
});

test('records are gone after the deadline of their request', () => {
  const fleet = makeFleet(6);
  fleet.startRequest(getVmName(1), request);
  runFor(fleet, 1000);
  assert.equal(fleet.listHolders(request).length, 2);
  runFor(fleet, 60_000);
  assert.equal(fleet.listHolders(request).length, 0);
});

test('a stopping owner hands over with the tokens it delivered', () => {
  const fleet = makeFleet(7);
  const owner = getVmName(1);
  fleet.startRequest(owner, request);
  runFor(fleet, 1000);
  fleet.startRequest(owner, request, 17);
  runFor(fleet, 1000);
  for (const vm of fleet.listHolders(request)) {
    const held = fleet.vms.get(vm)!.state.held.get(request)!;
    assert.equal(held.record.given.length, 17);
  }
});
