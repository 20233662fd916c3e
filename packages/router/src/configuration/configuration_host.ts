import {
  ConfigurationCommandKind,
  ConfigurationEventKind,
  createConfiguration,
  createPublisher,
  createSnapshots,
  createStaleness,
  decidePublisher,
  decideSnapshots,
  decideStaleness,
  defaultConfigurationOptions,
  defaultPublisherOptions,
  defaultStalenessOptions,
  foldConfiguration,
  getPublishReport,
  makeStateTransfer,
  PublisherCommandKind,
  PublisherEventKind,
  SnapshotEventKind,
  StalenessEventKind,
} from '@zinniaspindle/decisions';
import type {
  ConfigurationCommand,
  ConfigurationInput,
  ConfigurationState,
  JournalState,
  LogView,
  Offset,
  CommittedRecord,
  PublisherCommand,
  PublisherEvent,
  PublisherState,
  PublishRecord,
  PublishReport,
  ReadinessChange,
  SnapshotCommand,
  SnapshotEvent,
  SnapshotState,
  StalenessEvent,
  StalenessState,
  StateTransfer,
  WriterId,
} from '@zinniaspindle/decisions';
import type {AccountId, Deadline, PublishId} from '@zinniaspindle/shared';
import type {AppendRecord} from '../journal/journal_host.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';

const objectsPerPart = 500;
const snapshotRepeatMilliseconds = 30_000;

/** What the configuration needs from the rest of the VM. */
export interface ConfigurationPorts extends LoopPorts {
  readonly writer: WriterId;
  readonly bootstrapOperator: AccountId;
  readonly retentionMilliseconds: number;
  readonly getJournal: () => JournalState;
  readonly appendRecord: AppendRecord;
  /** Moves the journal behind what a state transfer covers. */
  readonly advanceJournal: (transfer: StateTransfer) => void;
  readonly handleObjectsChanged: () => void;
  readonly handleReadiness: (change: ReadinessChange) => void;
}

/** Hears the answer to a publish. */
export type PublishListener = (report: PublishReport) => void;

/** Hosts the configuration, its publishes, snapshots and staleness. */
export class ConfigurationHost {
  private readonly configuration: Machine<
    ConfigurationState,
    ConfigurationInput,
    ConfigurationCommand
  >;
  private readonly publisher: Machine<
    PublisherState,
    PublisherEvent,
    PublisherCommand
  >;
  private readonly snapshots: Machine<
    SnapshotState,
    SnapshotEvent,
    SnapshotCommand
  >;
  private readonly staleness: Machine<
    StalenessState,
    StalenessEvent,
    ReadinessChange
  >;
  private readonly listeners = new Map<PublishId, PublishListener[]>();

  constructor(private readonly ports: ConfigurationPorts) {
    const {loop, getNow, report, random, writer} = ports;
    const shared = {loop, getNow, report};
    const state = createConfiguration({
      ...defaultConfigurationOptions,
      bootstrapOperator: ports.bootstrapOperator,
    });
    this.configuration = new Machine({
      ...shared,
      state,
      decide: (held, event, now) => foldConfiguration(held, event, now, random),
      execute: command => this.runConfiguration(command),
    });
    const tokenPrefix = `${writer}/`;
    this.publisher = new Machine({
      ...shared,
      state: createPublisher({...defaultPublisherOptions, tokenPrefix}, state),
      decide: (held, event, now) => decidePublisher(held, event, now, random),
      execute: command => this.runPublisher(command),
    });
    const {retentionMilliseconds} = ports;
    const retryMilliseconds = snapshotRepeatMilliseconds;
    const snapshotOptions = {
      ...{writer, retentionMilliseconds, objectsPerPart, retryMilliseconds},
    };
    this.snapshots = new Machine({
      ...shared,
      state: createSnapshots(snapshotOptions, state),
      decide: (held, event, now) => decideSnapshots(held, event, now, random),
      execute: command => this.appendSnapshot(command),
    });
    this.staleness = new Machine({
      ...shared,
      state: createStaleness(defaultStalenessOptions, getNow()),
      decide: (held, event, now) => decideStaleness(held, event, now, random),
      execute: change => ports.handleReadiness(change),
    });
  }

  /** The configuration in force; read only. */
  get state(): ConfigurationState {
    return this.configuration.state;
  }

  /** Folds a record of the log. */
  acceptRecord(record: CommittedRecord): void {
    this.configuration.send({
      kind: ConfigurationEventKind.RecordDelivered,
      record,
    });
  }

  /** Hears that records are missing. */
  acceptGap(from: Offset, oldest: Offset): void {
    const kind = ConfigurationEventKind.GapFound;
    this.configuration.send({kind, from, oldest});
  }

  /** Takes a peer's state. */
  acceptTransfer(transfer: StateTransfer): void {
    const kind = ConfigurationEventKind.TransferTaken;
    this.configuration.send({kind, transfer});
    this.ports.advanceJournal(transfer);
  }

  /** Makes the state for a peer; undefined while records are missing here. */
  makeTransfer(): StateTransfer | undefined {
    return makeStateTransfer(this.state, this.ports.getJournal());
  }

  /** Hears that the log answered, or any peer spoke. */
  recordHeard(): void {
    this.staleness.send({
      kind: StalenessEventKind.MessageReceived,
      view: this.getView(),
    });
  }

  /** Passes time. */
  runTick(): void {
    this.publisher.send({kind: PublisherEventKind.Tick});
    this.snapshots.send({kind: SnapshotEventKind.Tick});
    this.staleness.send({kind: StalenessEventKind.Tick, view: this.getView()});
  }

  /** Publishes; the listener hears the answer once, by the deadline. */
  publish(
    record: PublishRecord,
    giveUpAt: Deadline,
    listener: PublishListener,
  ): void {
    const listeners = this.listeners.get(record.publish) ?? [];
    listeners.push(listener);
    this.listeners.set(record.publish, listeners);
    const kind = PublisherEventKind.PublishRequested;
    this.publisher.send({kind, record, giveUpAt});
  }

  /** Returns the outcome of a publish. */
  getReport(publish: PublishId): PublishReport {
    return getPublishReport(this.publisher.state, publish);
  }

  private getView(): LogView {
    const {position, logEndOffset, lastContactAt} = this.ports.getJournal();
    const hasGap = this.state.gap !== undefined;
    return {position, logEndOffset, lastContactAt, hasGap};
  }

  private runConfiguration(command: ConfigurationCommand): void {
    switch (command.kind) {
      case ConfigurationCommandKind.GapCovered:
      case ConfigurationCommandKind.ObjectsChanged:
        return this.ports.handleObjectsChanged();
      case ConfigurationCommandKind.PublishDecided: {
        const kind = PublisherEventKind.PublishDecided;
        return this.publisher.send({kind, outcome: command.outcome});
      }
      case ConfigurationCommandKind.SnapshotBegun: {
        const kind = SnapshotEventKind.SnapshotBegun;
        return this.snapshots.send({kind, writer: command.writer});
      }
      case ConfigurationCommandKind.SnapshotCompleted: {
        const kind = SnapshotEventKind.SnapshotCompleted;
        return this.snapshots.send({kind, snapshot: command.snapshot});
      }
    }
  }

  private runPublisher(command: PublisherCommand): void {
    if (command.kind === PublisherCommandKind.Answer) {
      this.answerPublish(command.report);
      return;
    }
    const {record, token, giveUpAt} = command;
    const kind = PublisherEventKind.SubmitResolved;
    this.ports.appendRecord(record, giveUpAt, (outcome, offset) =>
      this.publisher.send({kind, token, outcome, offset}),
    );
  }

  private answerPublish(report: PublishReport): void {
    const listeners = this.listeners.get(report.publish) ?? [];
    this.listeners.delete(report.publish);
    for (const listener of listeners) listener(report);
  }

  private appendSnapshot(command: SnapshotCommand): void {
    const {record, token, giveUpAt} = command;
    const kind = SnapshotEventKind.SubmitResolved;
    this.ports.appendRecord(record, giveUpAt, outcome =>
      this.snapshots.send({kind, token, outcome}),
    );
  }
}
