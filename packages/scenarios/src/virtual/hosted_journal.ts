import {
  AppendFailure,
  createJournal,
  decideJournal,
  defaultJournalOptions,
  isCaughtUp,
  JournalCommandKind,
  JournalEventKind,
  type JournalCommand,
  type JournalEvent,
  type JournalState,
  type RecordSubmission,
} from '@zinniaspindle/decisions';
import {toId} from '@zinniaspindle/shared';
import {AppendFate} from '@zinniaspindle/stand-ins';
import type {
  JournalOptions,
  JournalReceiver,
  VmJournal,
} from './fake_journal.js';

type SendAppend = Extract<
  JournalCommand,
  {kind: JournalCommandKind.SendAppend}
>;
type SendRead = Extract<JournalCommand, {kind: JournalCommandKind.SendRead}>;

const readMilliseconds = 10;

/** The router's own journal, without peers, in virtual time. */
export class HostedJournal implements VmJournal {
  private readonly state: JournalState;
  private ready = false;

  constructor(
    private readonly options: JournalOptions,
    private readonly receiver: JournalReceiver,
  ) {
    const {clock, writer} = options;
    this.state = createJournal(
      {
        ...defaultJournalOptions,
        vm: toId(writer),
        dataCentre: toId('dc'),
        writer,
        appendTimeoutMilliseconds: 1500,
        maxAppendIntervalMilliseconds: 500,
        readWaitMilliseconds: 0,
        readTimeoutMilliseconds: 500,
        maxRetryIntervalMilliseconds: 300,
      },
      clock.now,
    );
  }

  /** Submits a record; its outcome follows. */
  append(submission: RecordSubmission): void {
    this.apply({...submission, kind: JournalEventKind.Submit});
  }

  /** Passes time. */
  poll(): void {
    this.apply({kind: JournalEventKind.Tick});
  }

  private apply(event: JournalEvent): void {
    const {clock, random} = this.options;
    const step = decideJournal(this.state, event, clock.now, random);
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) this.runCommand(command);
    if (this.ready || !isCaughtUp(this.state)) return;
    this.ready = true;
    this.receiver.receiveReady();
  }

  private runCommand(command: JournalCommand): void {
    switch (command.kind) {
      case JournalCommandKind.Deliver:
        this.receiver.receiveRecord(command.record);
        return;
      case JournalCommandKind.SubmitResolved:
        this.receiver.receiveOutcome(command.token, command.outcome);
        return;
      case JournalCommandKind.SendAppend:
        this.sendAppend(command);
        return;
      case JournalCommandKind.SendRead:
        this.sendRead(command);
        return;
      case JournalCommandKind.GapFound:
        this.ready = false;
        this.receiver.receiveGap();
        return;
      case JournalCommandKind.AskPeers:
      case JournalCommandKind.RelayToPeers:
      case JournalCommandKind.RequestState:
        return;
    }
  }

  private sendAppend({append, texts}: SendAppend): void {
    const {clock, log, random, getMaxAppendMilliseconds, isCut} = this.options;
    clock.runAfter(random() * getMaxAppendMilliseconds(), () => {
      const outcome = isCut()
        ? {fate: AppendFate.Unavailable, firstOffset: -1}
        : log.append(texts, clock.now);
      const {firstOffset} = outcome;
      switch (outcome.fate) {
        case AppendFate.Placed:
          this.handle({
            kind: JournalEventKind.AppendAnswered,
            append,
            firstOffset,
          });
          return;
        case AppendFate.PlacedUnanswered:
          return;
        case AppendFate.RateLimited:
          this.handleFailure(append, AppendFailure.RateLimited);
          return;
        case AppendFate.Unavailable:
          this.handleFailure(append, AppendFailure.NotAppended);
          return;
      }
    });
  }

  private sendRead({read, from, max}: SendRead): void {
    const {clock, log, random, isCut} = this.options;
    clock.runAfter(random() * readMilliseconds, () => {
      const response = isCut() ? undefined : log.read(from, max, clock.now);
      this.handle(
        response
          ? {kind: JournalEventKind.ReadAnswered, read, response}
          : {kind: JournalEventKind.ReadFailed, read, detail: 'unavailable'},
      );
    });
  }

  private handleFailure(append: number, failure: AppendFailure): void {
    this.handle({kind: JournalEventKind.AppendFailed, append, failure});
  }

  private handle(event: JournalEvent): void {
    this.options.run(() => this.apply(event));
  }
}
