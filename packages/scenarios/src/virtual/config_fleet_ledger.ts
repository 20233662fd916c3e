import {
  ConfigurationEventKind,
  createConfiguration,
  createJournal,
  decideJournal,
  defaultConfigurationOptions,
  defaultJournalOptions,
  foldConfiguration,
  getPublishReport,
  JournalCommandKind,
  JournalEventKind,
  PublishAnswer,
  type ConfigurationState,
  type Offset,
  type CommittedRecord,
  type PublishReport,
  type WriterId,
} from '@zinniaspindle/decisions';
import {
  toId,
  type AccountId,
  type DataCentreId,
  type Instant,
  type PublishId,
  type StoredRecord,
  type VmId,
} from '@zinniaspindle/shared';
import type {FleetVm} from './config_fleet_vm.js';

/** Milliseconds within which what was accepted is in force everywhere. */
export const spreadBoundMilliseconds = 16_000;

const maxRelaysBetweenChecks = 300;

/** An invariant that did not hold; ends the run. */
export class FleetViolation extends Error {}

interface AskedPublish {
  asks: number;
  readonly reports: PublishReport[];
}

interface Acceptance {
  readonly publish: PublishId;
  readonly offset: Offset;
  readonly at: Instant;
}

/** What a VM showed so far, to compare its next state with. */
interface SeenVm {
  position: Offset;
  /** Relays since the last check. */
  relays: number;
  lastDelivered: Offset;
  readonly sequences: Set<string>;
  /** Since when nothing kept the VM from the log. */
  wellSince: Instant;
}

/** Checks, during and after a run, what must hold of every VM. */
export class FleetLedger {
  longestSpread = 0;
  private readonly asked = new Map<PublishId, AskedPublish>();
  private acceptances: Acceptance[] = [];
  private readonly seen = new Map<FleetVm, SeenVm>();
  /** The objects of the first VM seen at each position. */
  private readonly states = new Map<Offset, string>();

  constructor(private readonly bootstrapOperator: AccountId) {}

  /** Notes that a VM was asked for a publish. */
  recordAsk(publish: PublishId): void {
    const known = this.asked.get(publish) ?? {asks: 0, reports: []};
    known.asks += 1;
    this.asked.set(publish, known);
  }

  /** Notes what a VM answered. */
  recordAnswer(report: PublishReport, now: Instant): void {
    this.asked.get(report.publish)?.reports.push(report);
    if (report.answer !== PublishAnswer.Accepted) return;
    const {publish, offset} = report;
    this.acceptances.push({publish, offset, at: now});
  }

  /** Checks that a VM delivers in order, and no writer's sequence twice. */
  recordDelivery(vm: FleetVm, record: CommittedRecord): void {
    const seen = this.getSeen(vm);
    if (record.offset <= seen.lastDelivered) {
      this.addViolation(
        `${vm.vm} delivered ${record.offset} after ${seen.lastDelivered}`,
      );
    }
    seen.lastDelivered = record.offset;
    const sequence = `${record.writer}#${record.sequence}`;
    if (seen.sequences.has(sequence)) {
      this.addViolation(`${vm.vm} delivered ${sequence} twice`);
    }
    seen.sequences.add(sequence);
  }

  /** Checks that a VM does not relay the same records over and over. */
  recordRelay(vm: FleetVm): void {
    const seen = this.getSeen(vm);
    seen.relays += 1;
    if (seen.relays <= maxRelaysBetweenChecks) return;
    this.addViolation(`${vm.vm} sent ${seen.relays} relays between two checks`);
  }

  /** Checks one VM; `isWell` tells whether it reaches a log that answers. */
  checkVm(vm: FleetVm, isWell: boolean, now: Instant): void {
    const seen = this.getSeen(vm);
    if (!isWell) seen.wellSince = Infinity;
    else if (seen.wellSince === Infinity) seen.wellSince = now;
    seen.relays = 0;
    const {position, gap} = vm.configuration;
    if (position < seen.position) {
      this.addViolation(
        `${vm.vm} went back from ${seen.position} to ${position}`,
      );
    }
    seen.position = position;
    if (gap === undefined) this.checkState(vm);
    this.checkSpread(vm, seen.wellSince, now);
  }

  /** Checks that a VM that reaches nothing does not serve. */
  checkSilent(vm: FleetVm, now: Instant): void {
    if (vm.isReady) this.addViolation(`${vm.vm} serves alone at ${now}`);
  }

  /** Checks that a VM that was cut off does not serve what was in force then. */
  checkReturn(vm: FleetVm, now: Instant): void {
    if (!vm.isReady) return;
    for (const {publish, offset, at} of this.acceptances) {
      if (vm.configuration.position > offset) continue;
      if (now - at <= spreadBoundMilliseconds) continue;
      this.addViolation(
        `${vm.vm} serves at ${now} without ${publish}, accepted at ${at}`,
      );
    }
  }

  /** Drops acceptances that every VM has in force. */
  dropSpread(vms: readonly FleetVm[]): void {
    const least = Math.min(...vms.map(vm => vm.configuration.position));
    this.acceptances = this.acceptances.filter(one => one.offset >= least);
  }

  /** Checks the end of a run against a fold of everything ever placed. */
  checkEnd(
    vms: readonly FleetVm[],
    everything: readonly StoredRecord[],
    now: Instant,
  ): void {
    const whole = foldEverything(everything, this.bootstrapOperator);
    const expected = describeObjects(whole);
    for (const vm of vms) {
      if (!vm.isReady) this.addViolation(`${vm.vm} is not ready at ${now}`);
      const found = describeObjects(vm.configuration);
      if (found !== expected) {
        this.addViolation(`${vm.vm} folded ${found}, not ${expected}`);
      }
    }
    for (const [publish, asked] of this.asked) {
      this.checkAnswers(publish, asked, whole);
      for (const vm of vms) this.checkResolved(vm, publish, whole);
    }
  }

  /** Counts the publishes whose first answer was this. */
  countFirst(answer: PublishAnswer): number {
    let count = 0;
    for (const {reports} of this.asked.values()) {
      if (reports[0]?.answer === answer) count += 1;
    }
    return count;
  }

  private checkState(vm: FleetVm): void {
    const {position} = vm.configuration;
    const found = describeObjects(vm.configuration);
    const known = this.states.get(position);
    if (known === undefined) this.states.set(position, found);
    else if (known !== found) {
      this.addViolation(
        `${vm.vm} has ${found} at ${position}, another VM ${known}`,
      );
    }
  }

  private checkSpread(vm: FleetVm, wellSince: Instant, now: Instant): void {
    for (const {publish, offset, at} of this.acceptances) {
      if (vm.configuration.position > offset) continue;
      const waited = now - Math.max(at, wellSince);
      this.longestSpread = Math.max(this.longestSpread, waited);
      if (waited <= spreadBoundMilliseconds) continue;
      this.addViolation(
        `${publish}, accepted at ${at}, is not in force on ${vm.vm} at ${now}`,
      );
    }
  }

  private checkAnswers(
    publish: PublishId,
    asked: AskedPublish,
    whole: ConfigurationState,
  ): void {
    const outcome = whole.outcomes.get(publish);
    const isAccepted = outcome !== undefined && outcome.faults.length === 0;
    if (asked.reports.length < asked.asks) {
      // The asked VM was killed: its callers see a broken connection.
      return;
    }
    for (const {answer, offset} of asked.reports) {
      const isFalse =
        (answer === PublishAnswer.Accepted &&
          (!isAccepted || outcome.offset !== offset)) ||
        (answer === PublishAnswer.Refused && offset >= 0 && isAccepted) ||
        (answer === PublishAnswer.Refused && asked.asks === 1 && isAccepted) ||
        (answer === PublishAnswer.NotAccepted &&
          asked.asks === 1 &&
          outcome !== undefined);
      if (!isFalse) continue;
      const folded = JSON.stringify(outcome ?? 'nothing');
      this.addViolation(
        `${publish} was answered ${answer}@${offset}, folded ${folded}`,
      );
    }
  }

  /** Every VM knows what was folded, and no publish stays open anywhere. */
  private checkResolved(
    vm: FleetVm,
    publish: PublishId,
    whole: ConfigurationState,
  ): void {
    const report = getPublishReport(vm.publisher, publish);
    const outcome = whole.outcomes.get(publish);
    const isAlike =
      outcome === undefined ||
      (outcome.offset === report.offset &&
        outcome.faults.length === report.faults.length);
    if (!isAlike) {
      const found = JSON.stringify(report);
      const folded = JSON.stringify(outcome);
      this.addViolation(`${vm.vm} reports ${found}, folded ${folded}`);
    }
    // Behind a gap the journal can't know what was placed inside it.
    if (vm.publisher.pending.has(publish) && !vm.hadGap) {
      this.addViolation(`${publish} stays open at ${vm.vm}`);
    }
  }

  private getSeen(vm: FleetVm): SeenVm {
    const known = this.seen.get(vm);
    if (known !== undefined) return known;
    const seen: SeenVm = {
      position: 0,
      relays: 0,
      lastDelivered: -1,
      sequences: new Set(),
      wellSince: Infinity,
    };
    this.seen.set(vm, seen);
    return seen;
  }

  private addViolation(text: string): never {
    throw new FleetViolation(text);
  }
}

/** Folds every record with a journal and a configuration of their own. */
function foldEverything(
  everything: readonly StoredRecord[],
  bootstrapOperator: AccountId,
): ConfigurationState {
  const configuration = createConfiguration({
    ...defaultConfigurationOptions,
    bootstrapOperator,
  });
  const journal = createJournal(
    {
      ...defaultJournalOptions,
      vm: toId<VmId>('reader'),
      dataCentre: toId<DataCentreId>('none'),
      writer: toId<WriterId>('reader'),
    },
    0,
  );
  const response = {oldest: 0, next: everything.length, records: everything};
  const event = {kind: JournalEventKind.ReadAnswered, read: 0, response};
  const step = decideJournal(
    journal,
    event as Parameters<typeof decideJournal>[1],
    0,
    () => 0,
  );
  if (step.isErr) throw step.error;
  for (const command of step.value.commands) {
    if (command.kind !== JournalCommandKind.Deliver) continue;
    const {record} = command;
    const kind = ConfigurationEventKind.RecordDelivered;
    foldConfiguration(configuration, {kind, record}, 0, () => 0);
  }
  return configuration;
}

/** The objects and the accepted fates, in one comparable text. */
function describeObjects(state: ConfigurationState): string {
  const objects = [...state.objects.entries()]
    .map(([key, {revision}]) => `${key}@${revision}`)
    .sort();
  return objects.join(' ');
}
