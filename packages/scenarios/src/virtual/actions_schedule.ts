import {ActionGuard} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {LogFault} from '@zinniaspindle/stand-ins';
import fc from 'fast-check';
import {ServiceFault} from './fake_service.js';

/** The kinds of step in a schedule. */
export enum ActionsStepKind {
  /** One VM can't reach the log for some time. */
  Cut = 'cut',
  /** A caller asks. */
  Ask = 'ask',
  /** The caller of an earlier ask closes its connection. */
  Leave = 'leave',
  /** One VM is replaced by a new one. */
  Kill = 'kill',
  /** Every VM is replaced by a new one. */
  KillAll = 'killAll',
  Log = 'log',
  /** Appends take up to this long. */
  LogDelay = 'logDelay',
  Pause = 'pause',
  Service = 'service',
}

/** One step of a schedule. */
export type ActionsStep = {readonly at: Instant} & (
  | {
      readonly kind: ActionsStepKind.Ask;
      readonly vm: number;
      /** Which key; asks with one number share a key. */
      readonly key: number;
      /** Which body; one key with two bodies is a caller's mistake. */
      readonly body: number;
      readonly waitMilliseconds: number;
      readonly hasLookup: boolean;
    }
  | {readonly kind: ActionsStepKind.Kill; readonly vm: number}
  | {readonly kind: ActionsStepKind.KillAll}
  | {readonly kind: ActionsStepKind.Leave; readonly ask: number}
  | {readonly kind: ActionsStepKind.Log; readonly fault: LogFault}
  | {
      readonly kind: ActionsStepKind.LogDelay;
      readonly maxMilliseconds: number;
    }
  | {
      readonly kind: ActionsStepKind.Cut | ActionsStepKind.Pause;
      readonly vm: number;
      readonly milliseconds: number;
    }
  | {readonly kind: ActionsStepKind.Service; readonly fault: ServiceFault}
);

/** A whole run, reproducible from this alone. */
export interface ActionsSchedule {
  readonly seed: number;
  readonly vmCount: number;
  readonly steps: readonly ActionsStep[];
  readonly guardsOff?: readonly ActionGuard[];
  /** VMs become ready without the log's window. */
  readonly skipsWindow?: boolean;
  readonly usesRealJournal?: boolean;
}

/** How long a run's faults and asks go on, in milliseconds. */
export const scheduleMilliseconds = 30_000;
const maxPauseMilliseconds = 15_000;
const maxVmCount = 4;
const maxSteps = 40;

/** Milliseconds between the instants at which successive keys are made. */
export const keyIntervalMilliseconds = 4000;
const maxKey = 6;

const at = fc.integer({min: 0, max: scheduleMilliseconds});
const vm = fc.nat(maxVmCount - 1);

/** Milliseconds from the making of a key to an ask: mostly young keys. */
const keyAge = fc.oneof(
  {weight: 12, arbitrary: fc.integer({min: 0, max: 4000})},
  {weight: 3, arbitrary: fc.integer({min: 4000, max: 20_000})},
  {weight: 1, arbitrary: fc.integer({min: -3000, max: 0})},
);

const askArbitrary: fc.Arbitrary<ActionsStep> = fc
  .record({
    key: fc.nat(maxKey),
    age: keyAge,
    vm,
    ask: fc.record({
      body: fc.oneof(
        {weight: 15, arbitrary: fc.constant(0)},
        {weight: 1, arbitrary: fc.constant(1)},
      ),
      waitMilliseconds: fc.integer({min: 100, max: 4000}),
      hasLookup: fc.boolean(),
    }),
  })
  .map(({key, age, vm, ask}) => ({
    ...ask,
    kind: ActionsStepKind.Ask as const,
    at: Math.max(0, key * keyIntervalMilliseconds + age),
    vm,
    key,
  }));

const faultArbitrary: fc.Arbitrary<ActionsStep> = fc.oneof(
  fc.record({kind: fc.constant(ActionsStepKind.Kill as const), at, vm}),
  fc.record({kind: fc.constant(ActionsStepKind.KillAll as const), at}),
  fc.record({
    kind: fc.constant(ActionsStepKind.Leave as const),
    at,
    ask: fc.nat(maxSteps),
  }),
  fc.record({
    kind: fc.constant(ActionsStepKind.Log as const),
    at,
    fault: fc.constantFrom(...Object.values(LogFault), LogFault.None),
  }),
  fc.record({
    kind: fc.constant(ActionsStepKind.LogDelay as const),
    at,
    maxMilliseconds: fc.constantFrom(20, 300, 5000),
  }),
  fc.record({
    kind: fc.constantFrom(
      ActionsStepKind.Cut as const,
      ActionsStepKind.Pause as const,
    ),
    at,
    vm,
    milliseconds: fc.integer({min: 10, max: maxPauseMilliseconds}),
  }),
  fc.record({
    kind: fc.constant(ActionsStepKind.Service as const),
    at,
    fault: fc.constantFrom(...Object.values(ServiceFault), ServiceFault.None),
  }),
);

/** Generates schedules of asks and faults at any moment. */
export const actionsScheduleArbitrary: fc.Arbitrary<ActionsSchedule> =
  fc.record({
    seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
    vmCount: fc.integer({min: 2, max: maxVmCount}),
    steps: fc.array(
      fc.oneof(
        {weight: 3, arbitrary: askArbitrary},
        {weight: 2, arbitrary: faultArbitrary},
      ),
      {
        minLength: 5,
        maxLength: maxSteps,
        size: 'max',
      },
    ),
  });
