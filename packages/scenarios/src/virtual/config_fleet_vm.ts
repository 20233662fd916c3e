import {
  ConfigurationCommandKind,
  ConfigurationEventKind,
  createConfiguration,
  createJournal,
  createPublisher,
  createSnapshots,
  createStaleness,
  createStateRequests,
  decideJournal,
  decidePublisher,
  decideSnapshots,
  decideStaleness,
  decideStateRequests,
  defaultConfigurationOptions,
  defaultJournalOptions,
  defaultPublisherOptions,
  defaultStalenessOptions,
  defaultStateRequestOptions,
  foldConfiguration,
  JournalCommandKind,
  JournalEventKind,
  makeStateTransfer,
  PublisherCommandKind,
  PublisherEventKind,
  SnapshotEventKind,
  StalenessEventKind,
  StateRequestEventKind,
  type ConfigurationCommand,
  type ConfigurationInput,
  type ConfigurationState,
  type JournalCommand,
  type JournalEvent,
  type JournalState,
  type LogPeer,
  type LogRelay,
  type LogView,
  type PublisherEvent,
  type PublisherState,
  type PublishRecord,
  type PublishReport,
  type SnapshotEvent,
  type SnapshotState,
  type StalenessState,
  type StateRequestEvent,
  type StateRequestState,
  type StateTransfer,
  type WriterId,
} from '@zinniaspindle/decisions';
import {
  toId,
  type AccountId,
  type DataCentreId,
  type Instant,
  type Random,
  type VmId,
} from '@zinniaspindle/shared';
import type {FleetGuards} from './config_fleet_plan.js';
import type {VirtualClock} from './virtual_clock.js';

/** Who a virtual VM is. */
export interface FleetVmOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly bootstrapOperator: AccountId;
  readonly retentionMilliseconds: number;
  readonly guards: FleetGuards;
}

/** What a virtual VM does to its surroundings. */
export interface FleetVmOutput {
  readonly sendAppend: (
    vm: FleetVm,
    append: number,
    texts: readonly string[],
  ) => void;
  readonly sendRead: (
    vm: FleetVm,
    read: Extract<JournalCommand, {kind: JournalCommandKind.SendRead}>,
  ) => void;
  readonly sendRelay: (vm: FleetVm, to: VmId, relay: LogRelay) => void;
  readonly sendQuestion: (vm: FleetVm, to: VmId, from: number) => void;
  readonly sendStateRequest: (vm: FleetVm, to: VmId) => void;
  readonly answerOperator: (vm: FleetVm, report: PublishReport) => void;
  /** Sees every record as it is delivered. */
  readonly recordDelivery: (vm: FleetVm, command: JournalCommand) => void;
}

const snapshotRepeatMilliseconds = 4000;
const objectsPerPart = 2;

/** The journal and configuration of one VM on virtual time. */
export class FleetVm {
  readonly vm: VmId;
  readonly journal: JournalState;
  readonly configuration: ConfigurationState;
  readonly publisher: PublisherState;
  isAlive = true;
  /** Whether the VM ever missed records that the log no longer kept. */
  hadGap = false;
  private readonly snapshots: SnapshotState;
  private readonly staleness: StalenessState;
  private readonly stateRequests: StateRequestState;
  private pausedUntil: Instant = 0;
  private waiting: (() => void)[] = [];

  constructor(
    readonly options: FleetVmOptions,
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly output: FleetVmOutput,
  ) {
    const {vm, dataCentre, bootstrapOperator, guards} = options;
    const {retentionMilliseconds} = options;
    const writer = toId<WriterId>(`${vm}/${clock.now}`);
    this.vm = vm;
    this.journal = createJournal(
      {
        ...defaultJournalOptions,
        vm,
        dataCentre,
        writer,
        guards: {...defaultJournalOptions.guards, ...guards.journal},
      },
      clock.now,
    );
    const defaults = defaultConfigurationOptions;
    this.configuration = createConfiguration({
      ...defaults,
      bootstrapOperator,
      guards: {...defaults.guards, ...guards.configuration},
    });
    const publisherGuards = defaultPublisherOptions.guards;
    this.publisher = createPublisher(
      {
        ...defaultPublisherOptions,
        tokenPrefix: `${writer}/`,
        guards: {...publisherGuards, ...guards.publisher},
      },
      this.configuration,
    );
    const retryMilliseconds = snapshotRepeatMilliseconds;
    this.snapshots = createSnapshots(
      {writer, retentionMilliseconds, objectsPerPart, retryMilliseconds},
      this.configuration,
    );
    const withdraws = guards.withdraws ?? true;
    const requiresFreshLogEnd = guards.requiresFreshLogEnd ?? true;
    const staleness = {
      ...defaultStalenessOptions,
      withdraws,
      requiresFreshLogEnd,
    };
    this.staleness = createStaleness(staleness, clock.now);
    this.stateRequests = createStateRequests(defaultStateRequestOptions);
  }

  /** Whether the VM takes work. */
  get isReady(): boolean {
    return this.staleness.reason === undefined;
  }

  /** Whether the VM stands still now. */
  get isPaused(): boolean {
    return this.clock.now < this.pausedUntil;
  }

  /** Stands still until an instant; what arrives meanwhile waits. */
  stopUntil(end: Instant): void {
    this.pausedUntil = Math.max(this.pausedUntil, end);
    this.clock.runAt(end, () => this.resumeWaiting());
  }

  /** Runs a call now, or after the pause; never on a dead VM. */
  run(call: () => void): void {
    if (!this.isAlive) return;
    if (this.isPaused) this.waiting.push(call);
    else call();
  }

  /** Takes an event of the journal. */
  handleJournal(event: JournalEvent): void {
    const step = decideJournal(
      this.journal,
      event,
      this.clock.now,
      this.random,
    );
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) this.applyJournal(command);
    const answered = event.kind === JournalEventKind.ReadAnswered;
    this.updateStaleness(
      answered ? StalenessEventKind.MessageReceived : StalenessEventKind.Tick,
    );
  }

  /** Takes the live VMs, with or without this one. */
  handlePeers(peers: readonly LogPeer[]): void {
    this.handleJournal({kind: JournalEventKind.PeersChanged, peers});
    const others = peers.filter(peer => peer.vm !== this.vm);
    this.handleStateRequests({
      kind: StateRequestEventKind.PeersChanged,
      peers: others.map(peer => peer.vm),
    });
  }

  /** Takes anything that a peer sent. */
  handlePeer(): void {
    this.updateStaleness(StalenessEventKind.MessageReceived);
  }

  /** Passes time. */
  handleTick(): void {
    this.handleJournal({kind: JournalEventKind.Tick});
    this.handlePublisher({kind: PublisherEventKind.Tick});
    if (this.options.guards.writesSnapshots ?? true) {
      this.handleSnapshots({kind: SnapshotEventKind.Tick});
    }
    const hasGap = this.configuration.gap !== undefined;
    this.handleStateRequests({kind: StateRequestEventKind.Tick, hasGap});
  }

  /** Takes an operator's publish. */
  handlePublish(record: PublishRecord, giveUpAt: Instant): void {
    const kind = PublisherEventKind.PublishRequested;
    this.handlePublisher({kind, record, giveUpAt});
  }

  /** Takes a state transfer; one that does not help is passed over. */
  handleTransfer(transfer: StateTransfer): void {
    const kind = ConfigurationEventKind.TransferTaken;
    if (!this.handleConfiguration({kind, transfer})) return;
    const {covers: to, writers} = transfer;
    this.handleJournal({kind: JournalEventKind.Advance, to, writers});
  }

  /** Makes a state transfer for a peer. */
  makeTransfer(): StateTransfer | undefined {
    return makeStateTransfer(this.configuration, this.journal);
  }

  private resumeWaiting(): void {
    if (this.isPaused) return;
    const calls = this.waiting;
    this.waiting = [];
    for (const call of calls) this.run(call);
  }

  private applyJournal(command: JournalCommand): void {
    const {output} = this;
    switch (command.kind) {
      case JournalCommandKind.AskPeers:
        for (const peer of command.peers) {
          output.sendQuestion(this, peer, command.from);
        }
        break;
      case JournalCommandKind.Deliver: {
        output.recordDelivery(this, command);
        const kind = ConfigurationEventKind.RecordDelivered;
        this.handleConfiguration({kind, record: command.record});
        break;
      }
      case JournalCommandKind.GapFound: {
        const {from, oldest} = command;
        this.hadGap = true;
        const kind = ConfigurationEventKind.GapFound;
        this.handleConfiguration({kind, from, oldest});
        break;
      }
      case JournalCommandKind.RelayToPeers:
        for (const peer of command.peers) {
          output.sendRelay(this, peer, command.relay);
        }
        break;
      case JournalCommandKind.RequestState:
        this.handleStateRequests({kind: StateRequestEventKind.Requested});
        break;
      case JournalCommandKind.SendAppend:
        output.sendAppend(this, command.append, command.texts);
        break;
      case JournalCommandKind.SendRead:
        output.sendRead(this, command);
        break;
      case JournalCommandKind.SubmitResolved: {
        const {token, outcome, offset} = command;
        const kind = PublisherEventKind.SubmitResolved;
        this.handlePublisher({kind, token, outcome, offset});
        const resolved = SnapshotEventKind.SubmitResolved;
        this.handleSnapshots({kind: resolved, token, outcome});
        break;
      }
    }
  }

  /** Returns false when the event was refused. */
  private handleConfiguration(event: ConfigurationInput): boolean {
    const step = foldConfiguration(
      this.configuration,
      event,
      this.clock.now,
      this.random,
    );
    if (step.isErr) return false;
    for (const command of step.value.commands) {
      this.applyConfiguration(command);
    }
    return true;
  }

  private applyConfiguration(command: ConfigurationCommand): void {
    switch (command.kind) {
      case ConfigurationCommandKind.GapCovered:
      case ConfigurationCommandKind.ObjectsChanged:
        break;
      case ConfigurationCommandKind.PublishDecided:
        this.handlePublisher({
          kind: PublisherEventKind.PublishDecided,
          outcome: command.outcome,
        });
        break;
      case ConfigurationCommandKind.SnapshotBegun:
        this.handleSnapshots({
          kind: SnapshotEventKind.SnapshotBegun,
          writer: command.writer,
        });
        break;
      case ConfigurationCommandKind.SnapshotCompleted:
        this.handleSnapshots({
          kind: SnapshotEventKind.SnapshotCompleted,
          snapshot: command.snapshot,
        });
        break;
    }
  }

  private handlePublisher(event: PublisherEvent): void {
    const step = decidePublisher(
      this.publisher,
      event,
      this.clock.now,
      this.random,
    );
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) {
      if (command.kind === PublisherCommandKind.Answer) {
        this.output.answerOperator(this, command.report);
        continue;
      }
      const {record: body, token, giveUpAt} = command;
      this.handleJournal({
        kind: JournalEventKind.Submit,
        body,
        token,
        giveUpAt,
      });
    }
  }

  private handleSnapshots(event: SnapshotEvent): void {
    const step = decideSnapshots(
      this.snapshots,
      event,
      this.clock.now,
      this.random,
    );
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) {
      const {record: body, token, giveUpAt} = command;
      this.handleJournal({
        kind: JournalEventKind.Submit,
        body,
        token,
        giveUpAt,
      });
    }
  }

  private handleStateRequests(event: StateRequestEvent): void {
    const {now} = this.clock;
    const step = decideStateRequests(
      this.stateRequests,
      event,
      now,
      this.random,
    );
    if (step.isErr) throw step.error;
    for (const {peer} of step.value.commands) {
      this.output.sendStateRequest(this, peer);
    }
  }

  private updateStaleness(kind: StalenessEventKind): void {
    const view: LogView = {
      position: this.journal.position,
      logEndOffset: this.journal.logEndOffset,
      lastContactAt: this.journal.lastContactAt,
      hasGap: this.configuration.gap !== undefined,
    };
    const step = decideStaleness(
      this.staleness,
      {kind, view},
      this.clock.now,
      this.random,
    );
    if (step.isErr) throw step.error;
  }
}
