import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MembershipGuards} from '@zinniaspindle/decisions';
import {
  allMembershipGuards,
  defaultDirectoryOptions,
  defaultDrainOptions,
  defaultMembershipOptions,
  isReachable,
  LeavingSource,
  PeerState,
} from '@zinniaspindle/decisions';
import type {EndpointId} from '@zinniaspindle/shared';
import {MembershipEvent, toId} from '@zinniaspindle/shared';
import type {FleetOptions, MembershipVm} from '../src/index.js';
import {
  defaultFleetOptions,
  getVmName,
  MembershipChecks,
  MembershipFleet,
} from '../src/index.js';

const v0 = getVmName(0);
const v1 = getVmName(1);
const endpoint = toId<EndpointId>('e1');

function makeFleet(
  guards: Partial<MembershipGuards>,
  options: Partial<FleetOptions> = {},
): MembershipFleet {
  const membership = {
    ...defaultMembershipOptions,
    guards: {...allMembershipGuards, ...guards},
  };
  const fleet = new MembershipFleet({
    ...defaultFleetOptions,
    lossShare: 0,
    membership,
    ...options,
  });
  runFor(fleet, 10);
  return fleet;
}

function runFor(fleet: MembershipFleet, seconds: number): void {
  fleet.clock.runUntil(fleet.clock.now + seconds * 1000);
}

/** Counts the events of one kind that a VM logged about a peer, or about any peer. */
function countEvents(
  vm: MembershipVm,
  event: MembershipEvent,
  peer?: string,
): number {
  return vm.logEvents.filter(
    logEvent =>
      logEvent.event === event &&
      (peer === undefined || logEvent.fields['peer'] === peer),
  ).length;
}

function countAll(
  fleet: MembershipFleet,
  event: MembershipEvent,
  peer?: string,
): number {
  let count = 0;
  for (const vm of fleet.vms.values()) count += countEvents(vm, event, peer);
  return count;
}

/** Suspicions while one link is cut and both its VMs run. */
function runCutLink(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards);
  fleet.setLink(v0, v1, false);
  runFor(fleet, 30);
  return countAll(fleet, MembershipEvent.PeerSuspect);
}

test('one cut link makes nobody suspect', () => {
  assert.equal(runCutLink({}), 0);
});

test('without indirect probes one cut link accuses', () => {
  assert.ok(runCutLink({indirectProbes: false}) > 0);
});

/** Deaths that a VM declares which slept through a refutation. */
function runOwnPause(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards);
  const vm = fleet.vms.get(v0)!;
  fleet.setVmLinks(v1, false);
  while (vm.getPeerState(v1) !== PeerState.Suspect) runFor(fleet, 0.05);
  fleet.setVmLinks(v1, true);
  fleet.stopVmUntil(v0, fleet.clock.now + 5000);
  runFor(fleet, 10);
  return countEvents(vm, MembershipEvent.PeerDead, v1);
}

test('a VM that paused accuses nobody of its own silence', () => {
  assert.equal(runOwnPause({}), 0);
});

test('without local health a VM that paused suspects its peers', () => {
  assert.ok(runOwnPause({localHealth: false}) > 0);
});

/** Deaths declared of a VM that joins long before the list names it. */
function runUnlistedJoin(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards, {listLagMilliseconds: 30_000});
  fleet.startVm(getVmName(9));
  runFor(fleet, 20);
  for (const vm of fleet.vms.values()) {
    const state = vm.getPeerState(getVmName(9));
    if (vm.identity.vm !== getVmName(9)) assert.ok(state !== undefined);
  }
  return countAll(fleet, MembershipEvent.PeerDead, getVmName(9));
}

test('a VM that is heard stays though the list lacks it', () => {
  assert.equal(runUnlistedJoin({}), 0);
});

test('if the list overrode direct contact, a joining VM would be held dead', () => {
  assert.ok(runUnlistedJoin({directContactOverridesList: false}) > 0);
});

/** VMs that declare dead, or go on suspecting, one that was silent a moment. */
function runShortSilence(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards);
  fleet.setVmLinks(v1, false);
  runFor(fleet, 2.5);
  fleet.setVmLinks(v1, true);
  runFor(fleet, 10);
  let wrong = countAll(fleet, MembershipEvent.PeerDead, v1);
  for (const vm of fleet.vms.values()) {
    const state = vm.getPeerState(v1);
    if (state !== undefined && !isReachable(state)) wrong += 1;
  }
  return wrong;
}

test('a short silence is no death', () => {
  assert.equal(runShortSilence({}), 0);
});

test('without refutation a short silence is held against a VM', () => {
  assert.ok(runShortSilence({refutation: false}) > 0);
});

test('without suspicion a short silence is a death', () => {
  assert.ok(runShortSilence({suspicion: false}) > 0);
});

/** Suspicions of healthy VMs after a VM that was cut off comes back. */
function runIsolation(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards);
  fleet.setVmLinks(v0, false);
  runFor(fleet, 15);
  fleet.setVmLinks(v0, true);
  let suspicions = 0;
  for (const vm of fleet.vms.values()) {
    if (vm.identity.vm === v0) continue;
    suspicions -= countEvents(vm, MembershipEvent.PeerSuspect);
  }
  runFor(fleet, 10);
  for (const vm of fleet.vms.values()) {
    if (vm.identity.vm === v0) continue;
    suspicions += countEvents(vm, MembershipEvent.PeerSuspect);
  }
  return suspicions;
}

test('a VM that was cut off accuses nobody when it comes back', () => {
  assert.equal(runIsolation({}), 0);
});

test('without isolation a VM that was cut off accuses', () => {
  assert.ok(runIsolation({isolation: false}) > 0);
});

/** How often VMs change from one run to another of a replaced VM. */
function runReplacement(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards);
  fleet.stopVmUntil(v1, fleet.clock.now + 8000);
  runFor(fleet, 2);
  fleet.startVm(v1);
  runFor(fleet, 6.3);
  return countAll(fleet, MembershipEvent.PeerReplaced);
}

test('a later run supersedes one that resumes', () => {
  assert.equal(runReplacement({}), defaultFleetOptions.vms - 1);
});

test('without run supersession a resumed run displaces the later one', () => {
  assert.ok(runReplacement({runSupersession: false}) > defaultFleetOptions.vms);
});

/** Milliseconds until every VM knows that an endpoint leaves. */
function measureSpread(guards: Partial<MembershipGuards>): number {
  const fleet = makeFleet(guards, {vms: 60});
  const source = LeavingSource.Engine;
  fleet.setEndpointLeaving(v0, endpoint, source, true);
  const start = fleet.clock.now;
  for (;;) {
    const unaware = [...fleet.vms.values()].filter(
      vm => !vm.leavingEndpoints.has(endpoint),
    );
    if (unaware.length === 0) return fleet.clock.now - start;
    runFor(fleet, 0.05);
  }
}

test('an endpoint that leaves is known to 60 VMs within a second', () => {
  assert.ok(measureSpread({}) <= 1000);
});

test('without pushes an endpoint that leaves is known later', () => {
  assert.ok(measureSpread({push: false}) > 1000);
});

/** What callers were given while a VM stopped, checked. */
function runStop(options: Partial<FleetOptions>): readonly string[] {
  const fleet = makeFleet({}, options);
  const checks = new MembershipChecks(fleet);
  for (const vm of fleet.listRunning()) fleet.fetchEntries(vm.identity.vm);
  fleet.stopVm(v1, fleet.clock.now + 60_000, 0);
  for (let i = 0; i < 100; i += 1) {
    for (const vm of fleet.listRunning()) fleet.fetchEntries(vm.identity.vm);
    runFor(fleet, 0.2);
  }
  assert.equal(fleet.stops.length, 1);
  checks.checkAnswers();
  return checks.violations;
}

test('a planned stop outlives every answer that named the VM', () => {
  assert.deepEqual(runStop({}), []);
});

test('a stop that exits at once fails callers', () => {
  const guards = {...defaultDrainOptions.guards, answerExpiry: false};
  const drain = {...defaultDrainOptions, guards};
  assert.ok(runStop({drain}).length > 0);
});

test('a directory that ignores states lists leaving VMs', () => {
  const guards = {...defaultDirectoryOptions.guards, states: false};
  const directory = {...defaultDirectoryOptions, guards};
  assert.ok(runStop({directory}).length > 0);
});

/** Other VMs that a VM lists though it has long been cut off. */
function countStale(options: Partial<FleetOptions>): number {
  const fleet = makeFleet({}, options);
  fleet.setVmLinks(v0, false);
  runFor(fleet, 3.6);
  const given = fleet.fetchEntries(v0);
  assert.ok(given.some(answer => answer.entry.vm === v0));
  return given.length - 1;
}

test('a VM that is cut off lists itself only', () => {
  assert.equal(countStale({}), 0);
});

test('a directory that ignores freshness lists VMs it does not hear', () => {
  const guards = {...defaultDirectoryOptions.guards, freshness: false};
  const directory = {...defaultDirectoryOptions, guards};
  assert.ok(countStale({directory}) > 0);
});
