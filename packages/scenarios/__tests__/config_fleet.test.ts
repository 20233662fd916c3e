import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  FleetFaultKind,
  fleetPlans,
  runConfigFleet,
  type FleetGuards,
  type FleetPlan,
  type PlannedPublish,
} from '../src/index.js';

const seed = 20_261_203;

function runPlans(
  numRuns: number,
  guards: FleetGuards = {},
): fc.RunDetails<[FleetPlan]> {
  const property = fc.property(fleetPlans, plan => {
    assert.equal(runConfigFleet({...plan, guards}).violation, undefined);
  });
  return fc.check(property, {numRuns, seed, endOnFailure: true});
}

test('generated faults break no invariant of the configuration', () => {
  const details = runPlans(200);
  assert.equal(details.failed, false, String(details.errorInstance));
});

const mutations: Readonly<Record<string, FleetGuards>> = {
  'accepted at the append answer': {
    journal: {commitsAtReadBack: false},
    publisher: {waitsForFold: false},
  },
  'repeated sequences delivered': {journal: {dropsDuplicates: false}},
  'the journal may go back': {journal: {movesForwardOnly: false}},
  'bases are not checked': {configuration: {checksBase: false}},
  'a publish id is folded again': {configuration: {foldsPublishOnce: false}},
  'folding goes on behind a gap': {configuration: {waitsForSnapshot: false}},
  'a silent VM serves on': {withdraws: false},
  'anything heard ends a silence': {requiresFreshLogEnd: false},
};

for (const [name, guards] of Object.entries(mutations)) {
  test(`a run fails when ${name}`, () => {
    assert.equal(runPlans(400, guards).failed, true);
  });
}

/** Runs a plan with several seeds and returns the first violation. */
function findViolation(
  plan: Omit<FleetPlan, 'seed'>,
  guards: FleetGuards = {},
): string | undefined {
  for (let number = 1; number <= 20; number += 1) {
    const report = runConfigFleet({...plan, seed: number, guards});
    if (report.violation !== undefined) return report.violation;
  }
  return undefined;
}

const basePlan = {
  vms: 4,
  dataCentres: 2,
  retentionMilliseconds: 30_000,
  appendsPerSecond: 200,
};

function makePublishes(
  startsAt: number,
  endsAt: number,
  gap: number,
): PlannedPublish[] {
  const publishes: PlannedPublish[] = [];
  for (let at = startsAt; at < endsAt; at += gap) {
    const vm = publishes.length === 0 ? 0 : 1;
    const object = publishes.length;
    const options = {deletes: false, races: false, repeats: false};
    publishes.push({at, vm, object, ...options});
  }
  return publishes;
}

test('a sender cut off after a lost answer does not say never sent', () => {
  const cut = {startsAt: 10_100, endsAt: 30_000, pick: 0};
  const plan = {
    ...basePlan,
    faults: [
      {
        kind: FleetFaultKind.LogLosesAnswers,
        startsAt: 9900,
        endsAt: 10_300,
        pick: 0,
      },
      {kind: FleetFaultKind.Isolate, ...cut},
    ],
    publishes: makePublishes(10_000, 10_001, 1),
  };
  assert.equal(findViolation(plan), undefined);
  const guards = {journal: {tracksUncertainAppends: false}};
  assert.match(findViolation(plan, guards)!, /answered notAccepted/);
});

test('a late state transfer does not take a new VM back', () => {
  const plan = {
    ...basePlan,
    faults: [
      {
        kind: FleetFaultKind.Kill,
        startsAt: 40_000,
        endsAt: 45_000,
        pick: 0,
      },
    ],
    publishes: makePublishes(44_000, 50_000, 150),
  };
  // Without snapshots in the log the new VM depends on a transfer.
  const guards = {writesSnapshots: false};
  assert.equal(findViolation(plan, guards), undefined);
  const unguarded = {...guards, configuration: {movesForwardOnly: false}};
  assert.match(findViolation(plan, unguarded)!, /went back|another VM/);
});

test('new VMs alone take the state from the snapshot in the log', () => {
  const window = {startsAt: 70_000, endsAt: 72_000, pick: 0};
  const plan = {
    ...basePlan,
    faults: [{kind: FleetFaultKind.KillAll, ...window}],
    publishes: makePublishes(5000, 90_000, 1000),
  };
  assert.equal(findViolation(plan), undefined);
  assert.match(findViolation(plan, {writesSnapshots: false})!, /not ready/);
});

test('every VM is replaced in turn while the log is down', () => {
  const kills = [14_000, 24_000, 34_000, 44_000].map(startsAt => ({
    kind: FleetFaultKind.Kill,
    startsAt,
    endsAt: startsAt + 1000,
    pick: 0,
  }));
  const window = {startsAt: 12_000, endsAt: 62_000, pick: 0};
  const plan = {
    ...basePlan,
    retentionMilliseconds: 600_000,
    faults: [{kind: FleetFaultKind.LogDown, ...window}, ...kills],
    publishes: makePublishes(5000, 80_000, 1000),
  };
  assert.equal(findViolation(plan), undefined);
});

test('the log is gone past its retention while the VMs live', () => {
  const window = {startsAt: 20_000, endsAt: 60_000, pick: 0};
  const kill = {startsAt: 75_000, endsAt: 76_000, pick: 0};
  const plan = {
    ...basePlan,
    faults: [
      {kind: FleetFaultKind.LogDown, ...window},
      {kind: FleetFaultKind.Kill, ...kill},
    ],
    publishes: makePublishes(5000, 15_000, 1000),
  };
  assert.equal(findViolation(plan), undefined);
});
