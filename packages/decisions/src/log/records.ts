import type {
  AccountId,
  ActionKey,
  ConfigObject,
  Deadline,
  Id,
  ObjectKey,
  PublishId,
  ServiceName,
  VmId,
} from '@zinniaspindle/shared';

/** Identifies one run of one process, by VM id and start time. */
export type WriterId = Id<'writer'>;

/** Position of a record in the log. */
export type Offset = number;

/** Kinds of record in the log. */
export enum RecordKind {
  Abandonment = 'abandonment',
  Claim = 'claim',
  Fence = 'fence',
  Lease = 'lease',
  Outcome = 'outcome',
  Publish = 'publish',
  Snapshot = 'snapshot',
}

/** One changed object of a publish. */
export interface ObjectChange {
  readonly key: ObjectKey;
  /** Revision that the change is based on; -1 if the object is new. */
  readonly base: Offset;
  /** The new object; absent if the change deletes it. */
  readonly object?: ConfigObject;
}

/** An operator's publish; all its changes take effect or none. */
export interface PublishRecord {
  readonly kind: RecordKind.Publish;
  readonly publish: PublishId;
  readonly operator: AccountId;
  readonly changes: readonly ObjectChange[];
}

/** An object and the offset of the publish that last changed it. */
export interface RevisedObject {
  readonly revision: Offset;
  readonly object: ConfigObject;
}

/** An invalid value in a publish. */
export interface ConfigurationFault {
  /** Path of the field, as in `endpoint/e1.layers.end`. */
  readonly field: string;
  /** The value found, as JSON. */
  readonly value: string;
  readonly reason: string;
}

/** The outcome of a publish. */
export interface PublishOutcome {
  readonly publish: PublishId;
  /** Offset of the first record of this publish. */
  readonly offset: Offset;
  /** Reasons of a refusal; empty if the publish was accepted. */
  readonly faults: readonly ConfigurationFault[];
}

/** One part of a snapshot of the configuration. */
export interface SnapshotRecord {
  readonly kind: RecordKind.Snapshot;
  /** The snapshot contains the fold of every record below this offset. */
  readonly covers: Offset;
  /** Parts are numbered from 0 and written in order. */
  readonly part: number;
  readonly parts: number;
  readonly objects: readonly RevisedObject[];
  /** Outcomes of the last publishes. */
  readonly fates: readonly PublishOutcome[];
}

/** Claims the right to run an action; the first claim of a key wins. */
export interface ClaimRecord {
  readonly kind: RecordKind.Claim;
  readonly account: AccountId;
  readonly key: ActionKey;
  readonly service: ServiceName;
  /** SHA-256 digest, in hexadecimal, of the action and its body. */
  readonly digest: string;
  /** Distinguishes the claims of one writer. */
  readonly attempt: number;
}

/** States the outcome of a claimed action. */
export interface OutcomeRecord {
  readonly kind: RecordKind.Outcome;
  readonly account: AccountId;
  readonly key: ActionKey;
  readonly claim: Offset;
  /** The service's answer; absent when the outcome is unknown. */
  readonly result?: string;
}

/** States that the claimant never sent the action and never will. */
export interface AbandonmentRecord {
  readonly kind: RecordKind.Abandonment;
  readonly account: AccountId;
  readonly key: ActionKey;
  readonly claim: Offset;
}

/** Acquires, renews or releases the lease of a resource. */
export interface LeaseRecord {
  readonly kind: RecordKind.Lease;
  readonly resource: string;
  readonly holder: VmId;
  /** Offset of the previous lease record of the resource; -1 for none. */
  readonly follows: Offset;
  /** End of the lease; in the past if it is released. */
  readonly expiresAt: Deadline;
}

/**
 * Has no content. Once it is folded, no record of the same writer with a lower
 * sequence can be folded any more.
 */
export interface FenceRecord {
  readonly kind: RecordKind.Fence;
}

/** The body of any record. */
export type RecordBody =
  | AbandonmentRecord
  | ClaimRecord
  | FenceRecord
  | LeaseRecord
  | OutcomeRecord
  | PublishRecord
  | SnapshotRecord;

/** A record as appended. A retried append has the same writer and sequence. */
export interface LogRecord {
  readonly writer: WriterId;
  readonly sequence: number;
  readonly body: RecordBody;
}

/** A record as read from the log, with its offset. */
export interface CommittedRecord extends LogRecord {
  readonly offset: Offset;
  /** When the log stored it, by the log's clock. */
  readonly time: number;
}
