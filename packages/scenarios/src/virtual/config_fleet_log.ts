import {AppendFailure} from '@zinniaspindle/decisions';
import {
  AppendFate,
  LogFault,
  LogStore,
  type LogStoreOptions,
} from '@zinniaspindle/stand-ins';
import type {
  Random,
  ReadResponse,
  StoredRecord,
  VmId,
} from '@zinniaspindle/shared';
import type {VirtualClock} from './virtual_clock.js';
import type {FleetNetwork} from './config_fleet_network.js';

const answerMilliseconds = 5;
const slowMilliseconds = 3000;
const appendDelayMilliseconds = 15_000;
const refusalMilliseconds = 50;
const pollMilliseconds = 100;

/** What may come back of an append; nothing when the answer is lost. */
export interface AppendAnswers {
  readonly handleOffset: (firstOffset: number) => void;
  readonly handleFailure: (failure: AppendFailure) => void;
}

/** What may come back of a read; nothing when the answer is lost. */
export interface ReadAnswers {
  readonly handleRecords: (response: ReadResponse) => void;
  readonly handleFailure: (detail: string) => void;
}

/** A log service behind a network that delays, loses and refuses. */
export class FleetLog {
  /** Every record ever placed, whatever retention drops. */
  readonly everything: StoredRecord[] = [];
  private readonly store: LogStore;
  private readonly faults: LogFault[] = [];
  private slow = 0;
  private appendDelays = 0;

  constructor(
    options: LogStoreOptions,
    private readonly clock: VirtualClock,
    private readonly network: FleetNetwork,
    private readonly random: Random,
  ) {
    this.store = new LogStore(options);
  }

  /** Tells whether the service answers reads, though it may be slow. */
  canRead(): boolean {
    return !this.faults.includes(LogFault.Down);
  }

  /** Sets a fault until the returned function is called. */
  addFault(fault: LogFault): () => void {
    this.faults.push(fault);
    this.updateFault();
    return () => {
      this.faults.splice(this.faults.indexOf(fault), 1);
      this.updateFault();
    };
  }

  /** Makes the service slow until the returned function is called. */
  addSlowness(): () => void {
    this.slow += 1;
    return () => {
      this.slow -= 1;
    };
  }

  /** Holds appends on their way until the returned function is called. */
  addAppendDelay(): () => void {
    this.appendDelays += 1;
    return () => {
      this.appendDelays -= 1;
    };
  }

  /** Appends for a VM; the request may arrive after the VM gave it up. */
  append(vm: VmId, texts: readonly string[], answers: AppendAnswers): void {
    if (!this.network.canReachLog(vm)) {
      this.failAppend(answers, AppendFailure.NotAppended);
      return;
    }
    const held = this.appendDelays > 0 ? appendDelayMilliseconds : 0;
    const delay = this.sampleDelay() + held * this.random();
    this.clock.runAfter(delay, () => {
      if (!this.network.canReachLog(vm)) return;
      this.answerAppend(vm, texts, answers);
    });
  }

  /** Reads for a VM, waiting up to a time for the first record. */
  read(
    vm: VmId,
    from: number,
    max: number,
    waitMilliseconds: number,
    answers: ReadAnswers,
  ): void {
    if (!this.network.canReachLog(vm)) {
      this.failRead(answers, 'connection refused');
      return;
    }
    this.clock.runAfter(this.sampleDelay(), () => {
      const end = this.clock.now + waitMilliseconds;
      this.answerRead(vm, from, max, end, answers);
    });
  }

  private answerAppend(
    vm: VmId,
    texts: readonly string[],
    answers: AppendAnswers,
  ): void {
    const {now} = this.clock;
    const outcome = this.store.append(texts, now);
    switch (outcome.fate) {
      case AppendFate.RateLimited:
        this.failAppend(answers, AppendFailure.RateLimited);
        return;
      case AppendFate.Unavailable:
        this.failAppend(answers, this.sampleFailure());
        return;
      case AppendFate.Placed:
      case AppendFate.PlacedUnanswered:
        break;
    }
    for (const [index, data] of texts.entries()) {
      const offset = outcome.firstOffset + index;
      this.everything.push({offset, time: now, data});
    }
    if (outcome.fate === AppendFate.PlacedUnanswered) {
      if (this.random() < 0.5) this.failAppend(answers, AppendFailure.Unknown);
      return;
    }
    this.clock.runAfter(this.sampleDelay(), () => {
      if (!this.network.canReachLog(vm)) return;
      answers.handleOffset(outcome.firstOffset);
    });
  }

  private answerRead(
    vm: VmId,
    from: number,
    max: number,
    end: number,
    answers: ReadAnswers,
  ): void {
    if (!this.network.canReachLog(vm)) return;
    const {now} = this.clock;
    const response = this.store.read(from, max, now);
    if (response === undefined) {
      this.failRead(answers, 'service unavailable');
      return;
    }
    if (response.records.length === 0 && now < end) {
      this.clock.runAfter(pollMilliseconds, () => {
        this.answerRead(vm, from, max, end, answers);
      });
      return;
    }
    this.clock.runAfter(this.sampleDelay(), () => {
      if (this.network.canReachLog(vm)) answers.handleRecords(response);
    });
  }

  private failAppend(answers: AppendAnswers, failure: AppendFailure): void {
    this.clock.runAfter(refusalMilliseconds, () => {
      answers.handleFailure(failure);
    });
  }

  private failRead(answers: ReadAnswers, detail: string): void {
    this.clock.runAfter(refusalMilliseconds, () => {
      answers.handleFailure(detail);
    });
  }

  private sampleDelay(): number {
    const most = this.slow > 0 ? slowMilliseconds : answerMilliseconds;
    return 1 + this.random() * most;
  }

  private sampleFailure(): AppendFailure {
    return this.random() < 0.5
      ? AppendFailure.NotAppended
      : AppendFailure.Unknown;
  }

  private updateFault(): void {
    const fault = this.faults.includes(LogFault.Down)
      ? LogFault.Down
      : (this.faults[0] ?? LogFault.None);
    this.store.setFault(fault);
  }
}
