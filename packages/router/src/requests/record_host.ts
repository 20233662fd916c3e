import {
  decideRecords,
  defaultRecordOptions,
  createRecordState,
  RecordCommandKind,
  RecordEventKind,
} from '@zinniaspindle/decisions';
import type {
  HolderPeer,
  RecordCommand,
  RecordInput,
  RecordMessage,
  RecordState,
  RequestRecord,
} from '@zinniaspindle/decisions';
import type {Deadline, RequestId, VmId} from '@zinniaspindle/shared';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';

/** What request records need from the rest of the VM. */
export interface RecordPorts extends LoopPorts {
  readonly self: HolderPeer;
  readonly sendToPeer: (peer: VmId, message: RecordMessage) => void;
  /** Another VM owns the request now. */
  readonly handleLost: (request: RequestId, attempt: number) => void;
}

/** Hears the record of a request, or that no peer has one. */
export type RecordListener = (record: RequestRecord | undefined) => void;

/** Hosts the request records that this VM owns and holds. */
export class RecordHost {
  private readonly machine: Machine<RecordState, RecordInput, RecordCommand>;
  private readonly searches = new Map<RequestId, RecordListener[]>();
  private readonly stores = new Map<RequestId, () => void>();

  constructor(private readonly ports: RecordPorts) {
    const {loop, getNow, report, random, self} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createRecordState(self, defaultRecordOptions),
      decide: (state, event, now) => decideRecords(state, event, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** Takes a message of a peer. */
  acceptMessage(message: RecordMessage): void {
    this.machine.send({kind: RecordEventKind.MessageReceived, message});
  }

  /** Sets which peers can hold records. */
  setPeers(peers: readonly HolderPeer[]): void {
    this.machine.send({kind: RecordEventKind.PeersChanged, peers});
  }

  /** Stores the record of a request at its holders. */
  writeRecord(record: RequestRecord, handleStored?: () => void): void {
    if (handleStored !== undefined) {
      this.stores.set(record.spec.id, handleStored);
    }
    this.machine.send({kind: RecordEventKind.StoreRequested, record});
  }

  /** Drops the record of a request that is over. */
  release(request: RequestId): void {
    this.machine.send({kind: RecordEventKind.ReleaseRequested, request});
  }

  /** Finds a request at its holders and takes it over. */
  resume(
    request: RequestId,
    deadline: Deadline,
  ): Promise<RequestRecord | undefined> {
    return new Promise(resolve => {
      const listeners = this.searches.get(request) ?? [];
      listeners.push(resolve);
      this.searches.set(request, listeners);
      const kind = RecordEventKind.ResumeRequested;
      this.machine.send({kind, request, deadline});
    });
  }

  /** Passes time. */
  runTick(): void {
    this.machine.send({kind: RecordEventKind.Tick});
  }

  private runCommand(command: RecordCommand): void {
    switch (command.kind) {
      case RecordCommandKind.EndStream: {
        const {request, winner} = command;
        return this.ports.handleLost(request, winner.attempt);
      }
      case RecordCommandKind.NotFound:
        return this.answerSearch(command.request, undefined);
      case RecordCommandKind.Resume:
        return this.answerSearch(command.record.spec.id, command.record);
      case RecordCommandKind.Send:
        return this.ports.sendToPeer(command.to, command.message);
      case RecordCommandKind.Stored: {
        const handleStored = this.stores.get(command.request);
        this.stores.delete(command.request);
        return handleStored?.();
      }
    }
  }

  private answerSearch(
    request: RequestId,
    record: RequestRecord | undefined,
  ): void {
    const listeners = this.searches.get(request) ?? [];
    this.searches.delete(request);
    for (const listener of listeners) listener(record);
  }
}
