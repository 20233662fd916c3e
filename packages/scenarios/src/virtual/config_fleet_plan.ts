/** What happens to a fleet of virtual VMs in one run. */
import type {
  ConfigurationGuards,
  JournalGuards,
  PublisherGuards,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';

/** The kinds of fault of a run. */
export enum FleetFaultKind {
  /** One VM can't reach the log. */
  CutFromLog = 'cutFromLog',
  /** One VM can reach neither the log nor peers. */
  Isolate = 'isolate',
  /** One VM is killed; another starts when the fault ends. */
  Kill = 'kill',
  /** Every VM is killed; as many others start when the fault ends. */
  KillAll = 'killAll',
  /** Appends reach the log long after their senders gave them up. */
  LogDelaysAppends = 'logDelaysAppends',
  LogDown = 'logDown',
  LogLosesAnswers = 'logLosesAnswers',
  /** Requests to the log and answers take seconds. */
  LogSlow = 'logSlow',
  /** Peers are split in two groups that can't reach each other. */
  Partition = 'partition',
  /** One VM stands still, then goes on where it was. */
  Pause = 'pause',
}

/** One fault, from an instant to another. */
export interface FleetFault {
  readonly kind: FleetFaultKind;
  readonly startsAt: Instant;
  readonly endsAt: Instant;
  /** Picks the VM, or the bits of a partition. */
  readonly pick: number;
}

/** One publish by an operator. */
export interface PlannedPublish {
  readonly at: Instant;
  /** Picks the VM that is asked. */
  readonly vm: number;
  /** Picks the object that is changed. */
  readonly object: number;
  readonly deletes: boolean;
  /** Whether a second operator changes the same object elsewhere at once. */
  readonly races: boolean;
  /** Whether the same publish is asked of a second VM as well. */
  readonly repeats: boolean;
}

/** Guards to switch off, for mutation proofs. */
export interface FleetGuards {
  readonly journal?: Partial<JournalGuards>;
  readonly configuration?: Partial<ConfigurationGuards>;
  readonly publisher?: Partial<PublisherGuards>;
  readonly withdraws?: boolean;
  readonly requiresFreshLogEnd?: boolean;
  /** Whether snapshots are written; false shows what they are for. */
  readonly writesSnapshots?: boolean;
}

/** One run. */
export interface FleetPlan {
  readonly seed: number;
  readonly vms: number;
  readonly dataCentres: number;
  readonly retentionMilliseconds: number;
  readonly appendsPerSecond: number;
  readonly faults: readonly FleetFault[];
  readonly publishes: readonly PlannedPublish[];
  readonly guards?: FleetGuards;
}

/** Messages of a whole run, over all VMs. */
export interface FleetTraffic {
  appends: number;
  reads: number;
  relays: number;
  questions: number;
}

/** What a run showed. */
export interface FleetReport {
  /** The first invariant that did not hold, with its values. */
  readonly violation: string | undefined;
  readonly accepted: number;
  readonly refused: number;
  readonly notAccepted: number;
  /** Publishes first answered as unknown. */
  readonly unknown: number;
  readonly records: number;
  readonly traffic: Readonly<FleetTraffic>;
  /** Longest milliseconds from an acceptance to its force on every reachable VM. */
  readonly longestSpreadMilliseconds: number;
}
