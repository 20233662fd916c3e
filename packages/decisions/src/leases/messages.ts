import type {Deadline, Instant, VmId} from '@zinniaspindle/shared';
import type {SubmitOutcome, SubmitToken} from '../log/journal_types.js';
import type {Offset, CommittedRecord} from '../log/records.js';
import type {RecordSubmission} from '../log/submission.js';

/** Kinds of inputs of the lease state machine. */
export enum LeaseInputKind {
  /** This VM is stopping: it releases its leases and takes no others. */
  Drain = 'drain',
  Folded = 'folded',
  ReadyChanged = 'readyChanged',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
  VmsChanged = 'vmsChanged',
}

/** An input of the lease state machine. */
export type LeaseInput =
  | {readonly kind: LeaseInputKind.Drain}
  | {readonly kind: LeaseInputKind.Folded; readonly record: CommittedRecord}
  | {
      /**
       * Whether every retained record of the log has been folded. At a gap it
       * becomes false before the records behind the gap, then true again.
       */
      readonly kind: LeaseInputKind.ReadyChanged;
      readonly ready: boolean;
    }
  | {
      readonly kind: LeaseInputKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly outcome: SubmitOutcome;
    }
  | {readonly kind: LeaseInputKind.Tick}
  | {
      /** The live entry VMs that are ready and not leaving. */
      readonly kind: LeaseInputKind.VmsChanged;
      readonly live: readonly VmId[];
    };

/** A held lease. */
export interface HeldLease {
  readonly resource: string;
  /** Fencing token: the offset of the lease record, which increases with each take and renewal. */
  readonly fencing: Offset;
  /** The holder must not act under the lease after this instant. */
  readonly expiresAt: Deadline;
  /** Orders of earlier holders may take effect until this instant. */
  readonly earlierOrdersEndAt: Instant;
}

/** Kinds of commands of the lease state machine to its host. */
export enum LeaseCommandKind {
  /** The lease was acquired or renewed. */
  Held = 'held',
  Lost = 'lost',
  SubmitRecord = 'submitRecord',
}

/** A command of the lease state machine to its host. */
export type LeaseCommand =
  | {readonly kind: LeaseCommandKind.Held; readonly lease: HeldLease}
  | {readonly kind: LeaseCommandKind.Lost; readonly resource: string}
  | ({readonly kind: LeaseCommandKind.SubmitRecord} & RecordSubmission);
