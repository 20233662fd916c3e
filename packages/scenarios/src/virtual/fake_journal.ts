import {
  SubmitOutcome,
  type LogRecord,
  type CommittedRecord,
  type RecordSubmission,
  type SubmitToken,
  type WriterId,
} from '@zinniaspindle/decisions';
import type {Random} from '@zinniaspindle/shared';
import {AppendFate, type LogStore} from '@zinniaspindle/stand-ins';
import type {VirtualClock} from './virtual_clock.js';

const retryMilliseconds = 200;
const maxRecordsPerRead = 10_000;

/** What a journal tells its VM. */
export interface JournalReceiver {
  readonly receiveRecord: (record: CommittedRecord) => void;
  readonly receiveOutcome: (token: SubmitToken, outcome: SubmitOutcome) => void;
  /** Records that the log no longer keeps were not read; others follow. */
  readonly receiveGap: () => void;
  /** Every record that the log keeps was read; said again after a gap. */
  readonly receiveReady: () => void;
}

/** A VM's way to the log. */
export interface VmJournal {
  /** Submits a record; its outcome follows. */
  append(submission: RecordSubmission): void;
  /** Reads on and passes time. */
  poll(): void;
}

/** How a journal meets the log. */
export interface JournalOptions {
  readonly clock: VirtualClock;
  readonly log: LogStore;
  readonly random: Random;
  readonly writer: WriterId;
  /** Longest time that an append takes to arrive, at the present moment. */
  readonly getMaxAppendMilliseconds: () => number;
  /** Whether the VM can't reach the log now. */
  readonly isCut: () => boolean;
  /** Runs a call in the VM, when that is not paused. */
  readonly run: (call: () => void) => void;
  /** Starts behind the last record instead of at the oldest one. */
  readonly startsAtTail: boolean;
}

interface Submission extends RecordSubmission {
  readonly sequence: number;
  /** Appends that may have reached the log or may reach it yet. */
  uncertain: number;
  resolved: boolean;
}

/** A small journal: each record folds once, and each submission gets an outcome. */
export class FakeJournal implements VmJournal {
  private position = 0;
  private sequence = 0;
  private ready = false;
  private readonly seen = new Set<string>();
  private readonly open = new Map<number, Submission>();

  constructor(
    private readonly options: JournalOptions,
    private readonly receiver: JournalReceiver,
  ) {}

  /** Submits a record; its outcome follows. */
  append(submission: RecordSubmission): void {
    const {sequence} = this;
    this.sequence += 1;
    const open = {...submission, sequence, uncertain: 0, resolved: false};
    this.open.set(sequence, open);
    this.sendAppend(open);
  }

  /** Reads on, and gives up submissions whose time is over. */
  poll(): void {
    this.readRecords();
    const {now} = this.options.clock;
    for (const submission of [...this.open.values()]) {
      if (now < submission.giveUpAt) continue;
      const unknown = submission.uncertain > 0;
      const outcome = unknown ? SubmitOutcome.Unknown : SubmitOutcome.NeverSent;
      this.resolveSubmission(submission, outcome);
    }
  }

  private sendAppend(submission: Submission): void {
    const {clock, random, getMaxAppendMilliseconds} = this.options;
    if (submission.resolved || clock.now >= submission.giveUpAt) return;
    submission.uncertain += 1;
    const delay = random() * getMaxAppendMilliseconds();
    clock.runAfter(delay, () => this.writeRecord(submission));
  }

  private writeRecord(submission: Submission): void {
    const {clock, log, writer} = this.options;
    const {sequence, body} = submission;
    const record: LogRecord = {writer, sequence, body};
    const fate = this.options.isCut()
      ? AppendFate.Unavailable
      : log.append([JSON.stringify(record)], clock.now).fate;
    switch (fate) {
      case AppendFate.Placed:
        this.resolveSubmission(submission, SubmitOutcome.Committed);
        return;
      case AppendFate.PlacedUnanswered:
        break;
      case AppendFate.RateLimited:
      case AppendFate.Unavailable:
        submission.uncertain -= 1;
        break;
    }
    clock.runAfter(retryMilliseconds, () => this.sendAppend(submission));
  }

  private readRecords(): void {
    const {clock, log, startsAtTail} = this.options;
    if (this.options.isCut()) return;
    const answer = log.read(this.position, maxRecordsPerRead, clock.now);
    if (!answer) return;
    const hasGap = answer.oldest > this.position;
    if (hasGap) this.receiver.receiveGap();
    const skips = startsAtTail && !this.ready;
    for (const stored of skips ? [] : answer.records) {
      const record = JSON.parse(stored.data) as LogRecord;
      this.foldRecord({...record, offset: stored.offset, time: stored.time});
    }
    this.position = answer.next;
    if (this.ready && !hasGap) return;
    this.ready = true;
    this.receiver.receiveReady();
  }

  private foldRecord(record: CommittedRecord): void {
    const name = `${record.writer}/${record.sequence}`;
    if (this.seen.has(name)) return;
    this.seen.add(name);
    this.receiver.receiveRecord(record);
    if (record.writer !== this.options.writer) return;
    const submission = this.open.get(record.sequence);
    if (submission) this.resolveSubmission(submission, SubmitOutcome.Committed);
  }

  private resolveSubmission(
    submission: Submission,
    outcome: SubmitOutcome,
  ): void {
    if (submission.resolved) return;
    submission.resolved = true;
    this.open.delete(submission.sequence);
    this.receiver.receiveOutcome(submission.token, outcome);
  }
}
