import {
  EndpointRole,
  toId,
  type EndpointId,
  type EngineState,
  type Instant,
} from '@zinniaspindle/shared';
import {LogFault, LogStore} from '@zinniaspindle/stand-ins';
import {FakeEndpoint} from './fake_endpoint.js';
import {OrdersVm, type OrdersWorld} from './orders_host.js';
import {
  endpointCount,
  ordersScheduleMilliseconds,
  OrdersStepKind,
  type OrdersSchedule,
  type OrdersStep,
} from './orders_schedule.js';
import {makeSeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';

const startOfRun: Instant = 1_700_000_000_000;
const settleMilliseconds = 30_000;
const defaultSkewMilliseconds = 100;
const defaultRetentionMilliseconds = 3_600_000;
/** Milliseconds until every VM hears of a change. */
const newsMilliseconds = 500;
const drainMilliseconds = 500;

/** What a run of leases and orders gave. */
export interface OrdersVerdict {
  readonly faults: readonly string[];
  /** Orders that took effect out of order, at endpoints that check fencing. */
  readonly lateOrdersChecked: number;
  /** The same, at endpoints that don't. */
  readonly lateOrdersUnchecked: number;
  readonly appliedOrders: number;
  readonly refusedOrders: number;
}

/** Runs a schedule in virtual time and checks every endpoint's orders. */
export function runOrdersSchedule(schedule: OrdersSchedule): OrdersVerdict {
  return new OrdersRun(schedule).run();
}

class OrdersRun {
  private readonly world: OrdersWorld;
  private readonly vms: OrdersVm[] = [];
  private readonly wanted = new Map<EndpointId, EngineState>();
  private vmsStarted = 0;

  constructor(private readonly schedule: OrdersSchedule) {
    const skew = schedule.skewMilliseconds ?? defaultSkewMilliseconds;
    const retentionMilliseconds =
      schedule.retentionMilliseconds ?? defaultRetentionMilliseconds;
    const clock = new VirtualClock(startOfRun);
    const random = makeSeededRandom(schedule.seed);
    const endpoints = new Map<EndpointId, FakeEndpoint>();
    for (let i = 0; i < endpointCount; i += 1) {
      const endpoint: EndpointId = toId(`e${i}`);
      const options = {
        endpoint,
        checksFencing: i % 2 === 0,
        loadMilliseconds: 700,
        skewMilliseconds: (2 * random() - 1) * defaultSkewMilliseconds,
      };
      endpoints.set(endpoint, new FakeEndpoint(options));
      this.wanted.set(endpoint, makeWanted(0));
    }
    this.world = {
      clock,
      random,
      log: new LogStore({retentionMilliseconds, appendsPerSecond: 300}),
      retentionMilliseconds,
      endpoints,
      skewMilliseconds: skew,
      usesRealJournal: schedule.usesRealJournal ?? false,
      maxOrderMilliseconds: 20,
      lostReplies: 0,
      leaseGuardsOff: new Set(schedule.leaseGuardsOff),
      orderGuardsOff: new Set(schedule.orderGuardsOff),
    };
  }

  /** Plays all steps, lets the world recover and checks the endpoints. */
  run(): OrdersVerdict {
    const {clock} = this.world;
    for (let i = 0; i < this.schedule.vmCount; i += 1) {
      this.vms.push(this.startVm());
    }
    this.publishLive();
    for (const step of this.schedule.steps) {
      clock.runAt(startOfRun + step.at, () => this.applyStep(step));
    }
    const faultsEndAt = startOfRun + ordersScheduleMilliseconds;
    clock.runAt(faultsEndAt, () => this.dropFaults());
    clock.runUntil(faultsEndAt + settleMilliseconds);
    return this.check();
  }

  private applyStep(step: OrdersStep): void {
    const {clock, log} = this.world;
    switch (step.kind) {
      case OrdersStepKind.Cut: {
        const {vm} = this.vms[step.vm % this.vms.length]!;
        vm.dropLogUntil(clock.now + step.milliseconds);
        return;
      }
      case OrdersStepKind.Drain:
        this.applyDrain(step.vm % this.vms.length);
        return;
      case OrdersStepKind.Kill:
        this.swapVm(step.vm % this.vms.length);
        return;
      case OrdersStepKind.Log:
        log.setFault(step.fault);
        return;
      case OrdersStepKind.Network:
        this.world.maxOrderMilliseconds = step.maxMilliseconds;
        this.world.lostReplies = step.lostReplies;
        return;
      case OrdersStepKind.Pause: {
        const {vm} = this.vms[step.vm % this.vms.length]!;
        vm.stopUntil(clock.now + step.milliseconds);
        return;
      }
      case OrdersStepKind.Want:
        this.applyWant(toId(`e${step.endpoint}`), step.model);
        return;
    }
  }

  private applyWant(endpoint: EndpointId, model: number): void {
    const {clock, random} = this.world;
    const wanted = makeWanted(model);
    this.wanted.set(endpoint, wanted);
    for (const vm of this.vms) {
      clock.runAfter(random() * newsMilliseconds, () => {
        // Later news may have overtaken this one; a VM keeps the latest.
        vm.setWanted(endpoint, this.wanted.get(endpoint)!);
      });
    }
  }

  private applyDrain(index: number): void {
    const old = this.vms[index]!;
    old.stop();
    this.world.clock.runAfter(drainMilliseconds, () => {
      if (this.vms[index] === old) this.swapVm(index);
    });
  }

  private swapVm(index: number): void {
    this.vms[index]!.vm.close();
    this.vms[index] = this.startVm();
    this.publishLive();
  }

  private startVm(): OrdersVm {
    this.vmsStarted += 1;
    const vm = new OrdersVm(this.world, `vm${this.vmsStarted}`);
    for (const [endpoint, wanted] of this.wanted) {
      vm.setWanted(endpoint, wanted);
    }
    return vm;
  }

  private publishLive(): void {
    const {clock, random} = this.world;
    for (const vm of this.vms) {
      clock.runAfter(random() * newsMilliseconds, () =>
        vm.setLive(this.vms.map(one => one.name)),
      );
    }
  }

  private dropFaults(): void {
    this.world.log.setFault(LogFault.None);
    this.world.maxOrderMilliseconds = 20;
    this.world.lostReplies = 0;
  }

  private check(): OrdersVerdict {
    const faults: string[] = [];
    const late = {checked: 0, unchecked: 0};
    let appliedOrders = 0;
    let refusedOrders = 0;
    for (const [name, endpoint] of this.world.endpoints) {
      appliedOrders += endpoint.appliedOrders;
      refusedOrders += endpoint.refusedOrders;
      if (endpoint.options.checksFencing) late.checked += endpoint.lateOrders;
      else late.unchecked += endpoint.lateOrders;
      if (endpoint.lateOrders > 0) {
        faults.push(`${endpoint.lateOrders} late orders at ${name}`);
      }
      const {held} = endpoint.readState(this.world.clock.now);
      const wanted = this.wanted.get(name)!;
      if (held?.model !== wanted.model) {
        faults.push(`${name} holds ${held?.model}, wanted ${wanted.model}`);
      }
    }
    return {
      faults,
      lateOrdersChecked: late.checked,
      lateOrdersUnchecked: late.unchecked,
      appliedOrders,
      refusedOrders,
    };
  }
}

function makeWanted(model: number): EngineState {
  const layers = {first: 0, end: 24};
  return {model: toId(`m${model}`), layers, role: EndpointRole.Mixed};
}
