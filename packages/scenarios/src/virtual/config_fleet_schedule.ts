/** Generated plans: faults of every kind, alone and together. */
import fc from 'fast-check';
import {
  FleetFaultKind,
  type FleetFault,
  type FleetPlan,
  type PlannedPublish,
} from './config_fleet_plan.js';

const activeMilliseconds = 60_000;
const longestFaultMilliseconds = 25_000;
const longestStandstillMilliseconds = 60_000;
const maxFaults = 6;
const maxPick = 1023;

/** Faults of one VM, which may outlast the retention. */
const standstills = [
  FleetFaultKind.Isolate,
  FleetFaultKind.Kill,
  FleetFaultKind.Pause,
];
/** Faults that scripted plans only bring about. */
const scripted = [FleetFaultKind.KillAll];
const others = Object.values(FleetFaultKind).filter(
  kind => !standstills.includes(kind) && !scripted.includes(kind),
);

function makeFaults(
  kinds: readonly FleetFaultKind[],
  longestMilliseconds: number,
): fc.Arbitrary<FleetFault> {
  return fc
    .record({
      kind: fc.constantFrom(...kinds),
      startsAt: fc.integer({min: 2000, max: activeMilliseconds}),
      lasts: fc.integer({min: 100, max: longestMilliseconds}),
      pick: fc.integer({min: 0, max: maxPick}),
    })
    .map(({kind, startsAt, lasts, pick}) => {
      return {kind, startsAt, endsAt: startsAt + lasts, pick};
    });
}

const publishes: fc.Arbitrary<PlannedPublish> = fc.record({
  at: fc.integer({min: 4000, max: activeMilliseconds + 10_000}),
  vm: fc.integer({min: 0, max: maxPick}),
  object: fc.integer({min: 0, max: maxPick}),
  deletes: fc.boolean(),
  races: fc.boolean(),
  repeats: fc.boolean(),
});

/**
 * Any plan without switched-off guards. The log is never out of everyone's
 * reach for as long as its retention: a record that nobody read is lost then.
 */
export const fleetPlans: fc.Arbitrary<FleetPlan> = fc
  .constantFrom(30_000, 60_000, 600_000)
  .chain(retentionMilliseconds => {
    const longest = Math.min(
      longestFaultMilliseconds,
      retentionMilliseconds / maxFaults,
    );
    const faults = fc.oneof(
      makeFaults(others, longest),
      makeFaults(standstills, longestStandstillMilliseconds),
    );
    return fc.record({
      seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
      vms: fc.integer({min: 3, max: 6}),
      dataCentres: fc.integer({min: 1, max: 3}),
      retentionMilliseconds: fc.constant(retentionMilliseconds),
      appendsPerSecond: fc.constantFrom(4, 20, 200),
      faults: fc.array(faults, {maxLength: maxFaults}),
      publishes: fc.array(publishes, {minLength: 1, maxLength: 24}),
    });
  });
