import type {Deadline, Instant, VmId} from '@zinniaspindle/shared';
import type {SubmitOutcome, SubmitToken} from '../log/journal_types.js';
import type {Offset, CommittedRecord} from '../log/records.js';
import type {RecordSubmission} from '../log/submission.js';

/** What the lease machine reacts to. */
export enum LeaseInputKind {
  /** This VM is stopping: it gives back what it holds and takes nothing. */
  Drain = 'drain',
  Folded = 'folded',
  ReadyChanged = 'readyChanged',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
  VmsChanged = 'vmsChanged',
}

/** Anything that the lease machine reacts to. */
export type LeaseInput =
  | {readonly kind: LeaseInputKind.Drain}
  | {readonly kind: LeaseInputKind.Folded; readonly record: CommittedRecord}
  | {
      /**
       * Ready once every record that the log keeps was folded. At a gap, not
       * ready before the records behind it, then ready again.
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

/** A lease as its holder may use it. */
export interface HeldLease {
  readonly resource: string;
  /** Offset of the lease record; rises with every take and renewal. */
  readonly fencing: Offset;
  /** After this instant the holder may do nothing under the lease. */
  readonly expiresAt: Deadline;
  /** Until this instant, orders of earlier holders may take effect. */
  readonly earlierOrdersEndAt: Instant;
}

/** What the lease machine asks of its host. */
export enum LeaseCommandKind {
  /** The lease is held, or was renewed. */
  Held = 'held',
  Lost = 'lost',
  SubmitRecord = 'submitRecord',
}

/** Anything that the lease machine asks of its host. */
export type LeaseCommand =
  | {readonly kind: LeaseCommandKind.Held; readonly lease: HeldLease}
  | {readonly kind: LeaseCommandKind.Lost; readonly resource: string}
  | ({readonly kind: LeaseCommandKind.SubmitRecord} & RecordSubmission);
