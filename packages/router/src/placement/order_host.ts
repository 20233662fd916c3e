import {
  createOrdersState,
  decideOrders,
  OrderCommandKind,
  OrderInputKind,
} from '@zinniaspindle/decisions';
import type {
  HeldLease,
  OrderCommand,
  OrderInput,
  OrdersState,
} from '@zinniaspindle/decisions';
import type {
  Deadline,
  EndpointId,
  EndpointObject,
  OrderRequest,
} from '@zinniaspindle/shared';
import type {EngineClient} from '../endpoints/engine_client.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';
import {maxSkewMilliseconds, shardCount} from './lease_host.js';

const orderMilliseconds = 5_000;
const replyMilliseconds = 3_000;
const settledPollMilliseconds = 10_000;
const pollMilliseconds = 1_000;
const maxBackoffMilliseconds = 30_000;
const maxInFlight = 32;
const maxLoads = 4;

/** What orders need from the rest of the VM. */
export interface OrderPorts extends LoopPorts {
  readonly client: EngineClient;
}

/** Brings the endpoints of the owned shards to their configured state. */
export class OrderHost {
  private readonly machine: Machine<OrdersState, OrderInput, OrderCommand>;
  private endpoints = new Map<EndpointId, EndpointObject>();

  constructor(private readonly ports: OrderPorts) {
    const {loop, getNow, report, random} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createOrdersState({
        ...{shardCount, maxSkewMilliseconds, orderMilliseconds},
        ...{replyMilliseconds, settledPollMilliseconds, pollMilliseconds},
        ...{maxBackoffMilliseconds, maxInFlight, maxLoads},
      }),
      decide: (state, input, now) => decideOrders(state, input, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** Takes the configured endpoints as what is wanted of the engines. */
  setObjects(endpoints: readonly EndpointObject[]): void {
    const before = this.endpoints;
    this.endpoints = new Map(endpoints.map(object => [object.name, object]));
    for (const {name, checksFencing} of before.values()) {
      if (this.endpoints.has(name)) continue;
      const kind = OrderInputKind.WantedChanged;
      this.machine.send({kind, endpoint: name, checksFencing});
    }
    for (const object of endpoints) {
      if (before.get(object.name) !== object) this.sendWanted(object);
    }
  }

  /** A shard's lease is held, or was renewed. */
  acceptLease(lease: HeldLease): void {
    this.machine.send({kind: OrderInputKind.LeaseHeld, lease});
  }

  /** A shard's lease is held no longer. */
  removeLease(resource: string): void {
    this.machine.send({kind: OrderInputKind.LeaseLost, resource});
  }

  /** Passes time. */
  runTick(): void {
    this.machine.send({kind: OrderInputKind.Tick});
  }

  private sendWanted(object: EndpointObject): void {
    const {name: endpoint, model, layers, role, checksFencing} = object;
    const wanted = {model, layers, role};
    const kind = OrderInputKind.WantedChanged;
    this.machine.send({kind, endpoint, wanted, checksFencing});
  }

  private runCommand(command: OrderCommand): void {
    const {endpoint, exchange} = command;
    switch (command.kind) {
      case OrderCommandKind.ReadState:
        void this.readState(endpoint, exchange, command.expiresAt);
        return;
      case OrderCommandKind.SendOrder:
        void this.sendOrder(endpoint, exchange, command.order);
        return;
    }
  }

  private async readState(
    endpoint: EndpointId,
    exchange: number,
    deadline: Deadline,
  ): Promise<void> {
    const object = this.endpoints.get(endpoint);
    if (object === undefined) return;
    const {client} = this.ports;
    const state = await client.readState(object.address, deadline);
    if (state.isOk) {
      const kind = OrderInputKind.StateRead;
      this.machine.send({kind, endpoint, exchange, response: state.value});
      return;
    }
    const kind = OrderInputKind.ReadFailed;
    const reason = state.error.message;
    this.machine.send({kind, endpoint, exchange, reason});
  }

  private async sendOrder(
    endpoint: EndpointId,
    exchange: number,
    order: OrderRequest,
  ): Promise<void> {
    const object = this.endpoints.get(endpoint);
    if (object === undefined) return;
    const {client} = this.ports;
    const {deadline} = order;
    const answer = await client.sendOrder(object.address, order, deadline);
    if (answer.isOk) {
      const kind = OrderInputKind.OrderAccepted;
      this.machine.send({kind, endpoint, exchange});
      return;
    }
    const {reason, message} = answer.error;
    if (reason !== undefined) {
      const kind = OrderInputKind.OrderRefused;
      this.machine.send({kind, endpoint, exchange, reason});
      return;
    }
    const kind = OrderInputKind.OrderFailed;
    this.machine.send({kind, endpoint, exchange, reason: message});
  }
}
