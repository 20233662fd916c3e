import {
  createLeasesState,
  decideLeases,
  LeaseCommandKind,
  LeaseInputKind,
  listShards,
} from '@zinniaspindle/decisions';
import type {
  HeldLease,
  LeaseCommand,
  LeaseInput,
  LeasesState,
  CommittedRecord,
  WriterId,
} from '@zinniaspindle/decisions';
import type {VmId} from '@zinniaspindle/shared';
import type {AppendRecord} from '../journal/journal_host.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';

/** Shards that the endpoints are divided into, one owner each. */
export const shardCount = 16;

const leaseMilliseconds = 15_000;
const renewMilliseconds = 5_000;
const rankMilliseconds = 1_000;
const jitterMilliseconds = 500;
const yieldMilliseconds = 30_000;

/** Most milliseconds by which the clocks of two VMs differ. */
export const maxSkewMilliseconds = 500;

/** What leases need from the rest of the VM. */
export interface LeasePorts extends LoopPorts {
  readonly vm: VmId;
  readonly writer: WriterId;
  readonly retentionMilliseconds: number;
  readonly appendRecord: AppendRecord;
  readonly handleHeld: (lease: HeldLease) => void;
  readonly handleLost: (resource: string) => void;
}

/** Hosts the leases of endpoint shards. */
export class LeaseHost {
  private readonly machine: Machine<LeasesState, LeaseInput, LeaseCommand>;
  private ready = false;

  constructor(private readonly ports: LeasePorts) {
    const {loop, getNow, report, random, vm, writer} = ports;
    const {retentionMilliseconds} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createLeasesState({
        ...{vm, writer, resources: listShards(shardCount)},
        ...{leaseMilliseconds, renewMilliseconds, retentionMilliseconds},
        ...{maxSkewMilliseconds, rankMilliseconds, jitterMilliseconds},
        yieldMilliseconds,
      }),
      decide: (state, input, now) => decideLeases(state, input, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** Folds a record of the log. */
  acceptRecord(record: CommittedRecord): void {
    this.machine.send({kind: LeaseInputKind.Folded, record});
  }

  /** Tells whether every record that the log keeps was folded. */
  setReady(ready: boolean): void {
    if (ready === this.ready) return;
    this.ready = ready;
    this.machine.send({kind: LeaseInputKind.ReadyChanged, ready});
  }

  /** Sets which VMs may own shards. */
  setLive(live: readonly VmId[]): void {
    this.machine.send({kind: LeaseInputKind.VmsChanged, live});
  }

  /** Gives back every lease, for good. */
  releaseAll(): void {
    this.machine.send({kind: LeaseInputKind.Drain});
  }

  /** Passes time. */
  runTick(): void {
    this.machine.send({kind: LeaseInputKind.Tick});
  }

  private runCommand(command: LeaseCommand): void {
    switch (command.kind) {
      case LeaseCommandKind.Held:
        return this.ports.handleHeld(command.lease);
      case LeaseCommandKind.Lost:
        return this.ports.handleLost(command.resource);
      case LeaseCommandKind.SubmitRecord: {
        const {token, body, giveUpAt} = command;
        const kind = LeaseInputKind.SubmitResolved;
        return this.ports.appendRecord(body, giveUpAt, outcome =>
          this.machine.send({kind, token, outcome}),
        );
      }
    }
  }
}
