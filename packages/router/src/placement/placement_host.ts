import type {CommittedRecord, WriterId} from '@zinniaspindle/decisions';
import type {EndpointObject, VmId} from '@zinniaspindle/shared';
import type {EngineClient} from '../endpoints/engine_client.js';
import type {AppendRecord} from '../journal/journal_host.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {LeaseHost} from './lease_host.js';
import {OrderHost} from './order_host.js';

/** What placement needs from the rest of the VM. */
export interface PlacementPorts extends LoopPorts {
  readonly vm: VmId;
  readonly writer: WriterId;
  readonly retentionMilliseconds: number;
  readonly client: EngineClient;
  readonly appendRecord: AppendRecord;
}

/** Hosts the leases of endpoint shards and the orders given under them. */
export class PlacementHost {
  private readonly leases: LeaseHost;
  private readonly orders: OrderHost;

  constructor(private readonly ports: PlacementPorts) {
    this.orders = new OrderHost(ports);
    this.leases = new LeaseHost({
      ...ports,
      handleHeld: lease => this.orders.acceptLease(lease),
      handleLost: resource => this.orders.removeLease(resource),
    });
  }

  /** Folds a record of the log. */
  acceptRecord(record: CommittedRecord): void {
    this.leases.acceptRecord(record);
  }

  /** Tells whether every record that the log keeps was folded. */
  setReady(ready: boolean): void {
    this.leases.setReady(ready);
  }

  /** Sets the other VMs that may own shards. */
  setPeers(peers: readonly VmId[]): void {
    this.leases.setLive([this.ports.vm, ...peers]);
  }

  /** Takes the configured endpoints as what is wanted of the engines. */
  setObjects(endpoints: readonly EndpointObject[]): void {
    this.orders.setObjects(endpoints);
  }

  /** Gives back every lease, for good. */
  releaseAll(): void {
    this.leases.releaseAll();
  }

  /** Passes time. */
  runTick(): void {
    this.leases.runTick();
    this.orders.runTick();
  }
}
