import {
  createLeasesState,
  createOrdersState,
  decideLeases,
  decideOrders,
  LeaseCommandKind,
  LeaseInputKind,
  listShards,
  OrderCommandKind,
  OrderInputKind,
  type LeaseCommand,
  type LeaseGuard,
  type LeaseInput,
  type LeasesState,
  type OrderCommand,
  type OrderGuard,
  type OrderInput,
  type OrdersState,
} from '@zinniaspindle/decisions';
import {
  toId,
  type EndpointId,
  type EngineState,
  type Random,
  type VmId,
} from '@zinniaspindle/shared';
import type {LogStore} from '@zinniaspindle/stand-ins';
import type {FakeEndpoint} from './fake_endpoint.js';
import {FakeJournal, type VmJournal} from './fake_journal.js';
import {HostedJournal} from './hosted_journal.js';
import type {VirtualClock} from './virtual_clock.js';
import {VirtualVm} from './virtual_vm.js';

const tickMilliseconds = 100;
const shardCount = 2;

type SendOrder = Extract<OrderCommand, {kind: OrderCommandKind.SendOrder}>;
type ReadState = Extract<OrderCommand, {kind: OrderCommandKind.ReadState}>;

/** What every VM of a run shares. */
export interface OrdersWorld {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly log: LogStore;
  readonly retentionMilliseconds: number;
  readonly endpoints: ReadonlyMap<EndpointId, FakeEndpoint>;
  /** Most milliseconds by which a clock is ahead or behind. */
  readonly skewMilliseconds: number;
  /** Longest time that an order takes to arrive, at the present moment. */
  maxOrderMilliseconds: number;
  /** Share of replies that are lost, at the present moment. */
  lostReplies: number;
  /** Runs the router's journal instead of the fake one. */
  readonly usesRealJournal: boolean;
  readonly leaseGuardsOff: ReadonlySet<LeaseGuard>;
  readonly orderGuardsOff: ReadonlySet<OrderGuard>;
}

/** Hosts the lease and orders machines of one VM in virtual time. */
export class OrdersVm {
  readonly vm: VirtualVm;
  readonly name: VmId;
  private readonly journal: VmJournal;
  private readonly leases: LeasesState;
  private readonly orders: OrdersState;

  constructor(
    private readonly world: OrdersWorld,
    name: string,
  ) {
    this.name = toId(name);
    const skew = (2 * world.random() - 1) * world.skewMilliseconds;
    this.vm = new VirtualVm(world.clock, skew);
    this.leases = createLeasesState({
      vm: this.name,
      writer: toId(name),
      resources: listShards(shardCount),
      leaseMilliseconds: 3000,
      retentionMilliseconds: this.world.retentionMilliseconds,
      renewMilliseconds: 1500,
      maxSkewMilliseconds: 200,
      rankMilliseconds: 200,
      jitterMilliseconds: 200,
      yieldMilliseconds: 4000,
      guardsOff: world.leaseGuardsOff,
    });
    this.orders = createOrdersState({
      shardCount,
      orderMilliseconds: 2000,
      replyMilliseconds: 800,
      settledPollMilliseconds: 1000,
      pollMilliseconds: 200,
      maxBackoffMilliseconds: 2000,
      maxSkewMilliseconds: 200,
      maxInFlight: 4,
      maxLoads: 2,
      guardsOff: world.orderGuardsOff,
    });
    this.journal = this.createJournal();
    this.runTicks();
  }

  /** Tells the VM which VMs live. */
  setLive(live: readonly VmId[]): void {
    this.handleLease({kind: LeaseInputKind.VmsChanged, live});
  }

  /** Tells the VM what is wanted of an endpoint. */
  setWanted(endpoint: EndpointId, wanted: EngineState): void {
    const fake = this.world.endpoints.get(endpoint)!;
    this.handleOrder({
      kind: OrderInputKind.WantedChanged,
      endpoint,
      wanted,
      checksFencing: fake.options.checksFencing,
    });
  }

  /** Begins a planned stop. */
  stop(): void {
    this.handleLease({kind: LeaseInputKind.Drain});
  }

  private createJournal(): VmJournal {
    const {clock, log, random} = this.world;
    const maxAppendMilliseconds = 20;
    const Journal = this.world.usesRealJournal ? HostedJournal : FakeJournal;
    return new Journal(
      {
        clock,
        log,
        random,
        writer: toId(this.name),
        getMaxAppendMilliseconds: () => maxAppendMilliseconds,
        isCut: () => this.vm.isCut,
        run: call => this.vm.run(call),
        startsAtTail: false,
      },
      {
        receiveRecord: record =>
          this.handleLease({kind: LeaseInputKind.Folded, record}),
        receiveOutcome: (token, outcome) =>
          this.handleLease({
            kind: LeaseInputKind.SubmitResolved,
            token,
            outcome,
          }),
        receiveGap: () =>
          this.handleLease({kind: LeaseInputKind.ReadyChanged, ready: false}),
        receiveReady: () =>
          this.handleLease({kind: LeaseInputKind.ReadyChanged, ready: true}),
      },
    );
  }

  private runTicks(): void {
    this.applyOrder({kind: OrderInputKind.Tick});
    this.journal.poll();
    this.applyLease({kind: LeaseInputKind.Tick});
    this.vm.runAfter(tickMilliseconds, () => this.runTicks());
  }

  private handleLease(input: LeaseInput): void {
    this.vm.run(() => this.applyLease(input));
  }

  private applyLease(input: LeaseInput): void {
    const {random} = this.world;
    const step = decideLeases(this.leases, input, this.vm.now, random);
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) this.runLeaseCommand(command);
  }

  private runLeaseCommand(command: LeaseCommand): void {
    switch (command.kind) {
      case LeaseCommandKind.Held:
        this.applyOrder({
          kind: OrderInputKind.LeaseHeld,
          lease: command.lease,
        });
        return;
      case LeaseCommandKind.Lost: {
        const {resource} = command;
        this.applyOrder({kind: OrderInputKind.LeaseLost, resource});
        return;
      }
      case LeaseCommandKind.SubmitRecord:
        this.journal.append(command);
        return;
    }
  }

  private handleOrder(input: OrderInput): void {
    this.vm.run(() => this.applyOrder(input));
  }

  private applyOrder(input: OrderInput): void {
    const {random} = this.world;
    const step = decideOrders(this.orders, input, this.vm.now, random);
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) this.runOrderCommand(command);
  }

  private runOrderCommand(command: OrderCommand): void {
    switch (command.kind) {
      case OrderCommandKind.ReadState:
        this.sendRead(command);
        return;
      case OrderCommandKind.SendOrder: {
        const lease = this.findLease(command.endpoint);
        // A pause may fall between the decision and the sending.
        this.vm.runAfter(this.world.random() * 5, () =>
          this.sendOrder(command, lease),
        );
        return;
      }
    }
  }

  private sendRead({endpoint, exchange}: ReadState): void {
    const {clock, endpoints} = this.world;
    clock.runAfter(this.pickDelay(), () => {
      const response = endpoints.get(endpoint)!.readState(clock.now);
      this.answer({
        kind: OrderInputKind.StateRead,
        endpoint,
        exchange,
        response,
      });
    });
  }

  private sendOrder(command: SendOrder, lease: number): void {
    const {clock, endpoints} = this.world;
    const {endpoint, exchange, order} = command;
    clock.runAfter(this.pickDelay(), () => {
      const fake = endpoints.get(endpoint)!;
      const reason = fake.accept(order, lease, clock.now);
      this.answer(
        reason === undefined
          ? {kind: OrderInputKind.OrderAccepted, endpoint, exchange}
          : {kind: OrderInputKind.OrderRefused, endpoint, exchange, reason},
      );
    });
  }

  /** Picks a delay of the network: mostly short, now and then long. */
  private pickDelay(): number {
    const {random, maxOrderMilliseconds} = this.world;
    const fastMilliseconds = 20;
    const slow = random() < 0.3;
    return random() * (slow ? maxOrderMilliseconds : fastMilliseconds);
  }

  private answer(input: OrderInput): void {
    if (this.world.random() < this.world.lostReplies) return;
    this.world.clock.runAfter(1, () => this.handleOrder(input));
  }

  private findLease(endpoint: EndpointId): number {
    const shard = this.orders.endpoints.get(endpoint)?.shard ?? '';
    return this.orders.leases.get(shard)?.fencing ?? -1;
  }
}
