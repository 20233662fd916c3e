import type {LeaseGuard, OrderGuard} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {LogFault} from '@zinniaspindle/stand-ins';
import fc from 'fast-check';

/** The kinds of step in a schedule of leases and orders. */
export enum OrdersStepKind {
  /** One VM can't reach the log for some time. */
  Cut = 'cut',
  /** One VM stops as planned, and a new one takes its place. */
  Drain = 'drain',
  Kill = 'kill',
  Log = 'log',
  /** Orders take up to this long, and a share of replies is lost. */
  Network = 'network',
  Pause = 'pause',
  /** Another state is wanted of an endpoint. */
  Want = 'want',
}

/** One step of a schedule. */
export type OrdersStep = {readonly at: Instant} & (
  | {readonly kind: OrdersStepKind.Drain; readonly vm: number}
  | {readonly kind: OrdersStepKind.Kill; readonly vm: number}
  | {readonly kind: OrdersStepKind.Log; readonly fault: LogFault}
  | {
      readonly kind: OrdersStepKind.Network;
      readonly maxMilliseconds: number;
      readonly lostReplies: number;
    }
  | {
      readonly kind: OrdersStepKind.Cut | OrdersStepKind.Pause;
      readonly vm: number;
      readonly milliseconds: number;
    }
  | {
      readonly kind: OrdersStepKind.Want;
      readonly endpoint: number;
      readonly model: number;
    }
);

/** A whole run, reproducible from this alone. */
export interface OrdersSchedule {
  readonly seed: number;
  readonly vmCount: number;
  readonly steps: readonly OrdersStep[];
  /** Most milliseconds by which a clock is ahead or behind. */
  readonly skewMilliseconds?: number;
  /** Runs the router's journal instead of the fake one. */
  readonly usesRealJournal?: boolean;
  /** Milliseconds that the log keeps a record. */
  readonly retentionMilliseconds?: number;
  readonly leaseGuardsOff?: readonly LeaseGuard[];
  readonly orderGuardsOff?: readonly OrderGuard[];
}

/** How long a run's steps go on, in milliseconds. */
export const ordersScheduleMilliseconds = 20_000;
/** Endpoints of a run; every other one checks fencing. */
export const endpointCount = 4;
const maxVmCount = 4;

const at = fc.integer({min: 0, max: ordersScheduleMilliseconds});
const vm = fc.nat(maxVmCount - 1);

const wantArbitrary: fc.Arbitrary<OrdersStep> = fc.record({
  kind: fc.constant(OrdersStepKind.Want as const),
  at,
  endpoint: fc.nat(endpointCount - 1),
  model: fc.nat(3),
});

const faultArbitrary: fc.Arbitrary<OrdersStep> = fc.oneof(
  fc.record({kind: fc.constant(OrdersStepKind.Drain as const), at, vm}),
  fc.record({kind: fc.constant(OrdersStepKind.Kill as const), at, vm}),
  fc.record({
    kind: fc.constant(OrdersStepKind.Log as const),
    at,
    fault: fc.constantFrom(...Object.values(LogFault), LogFault.None),
  }),
  fc.record({
    kind: fc.constant(OrdersStepKind.Network as const),
    at,
    maxMilliseconds: fc.constantFrom(20, 800, 1500, 6000),
    lostReplies: fc.constantFrom(0, 0.5),
  }),
  fc.record({
    kind: fc.constantFrom(
      OrdersStepKind.Cut as const,
      OrdersStepKind.Pause as const,
    ),
    at,
    vm,
    milliseconds: fc.integer({min: 10, max: 8000}),
  }),
);

const takeoverArbitrary: fc.Arbitrary<OrdersStep> = fc.oneof(
  fc.record({kind: fc.constant(OrdersStepKind.Drain as const), at, vm}),
  fc.record({
    kind: fc.constantFrom(
      OrdersStepKind.Cut as const,
      OrdersStepKind.Pause as const,
    ),
    at,
    vm,
    milliseconds: fc.integer({min: 2000, max: 6000}),
  }),
);

/** Generates schedules of many takeovers, with orders slow on their way. */
export const takeoverScheduleArbitrary: fc.Arbitrary<OrdersSchedule> = fc
  .record({
    seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
    steps: fc.array(
      fc.oneof(
        {weight: 4, arbitrary: wantArbitrary},
        {weight: 1, arbitrary: takeoverArbitrary},
      ),
      {minLength: 80, maxLength: 120, size: 'max'},
    ),
  })
  .map(({seed, steps}) => ({
    seed,
    vmCount: maxVmCount,
    steps: [
      {
        kind: OrdersStepKind.Network as const,
        at: 0,
        maxMilliseconds: 2500,
        lostReplies: 0,
      },
      ...steps,
    ],
  }));

/** Generates schedules of wanted states and faults at any moment. */
export const ordersScheduleArbitrary: fc.Arbitrary<OrdersSchedule> = fc.record({
  seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
  vmCount: fc.integer({min: 2, max: maxVmCount}),
  steps: fc.array(
    fc.oneof(
      {weight: 3, arbitrary: wantArbitrary},
      {weight: 2, arbitrary: faultArbitrary},
    ),
    {minLength: 10, maxLength: 100, size: 'max'},
  ),
});
