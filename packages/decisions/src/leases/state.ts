import type {Deadline, Instant, VmId} from '@zinniaspindle/shared';
import type {SubmitToken} from '../log/journal_types.js';
import type {Offset, WriterId} from '../log/records.js';
import type {Turn} from '../turn.js';
import type {LeaseCommand} from './messages.js';
import type {LeaseGuard, LeasesOptions} from './options.js';

/** The valid lease record of a resource, as folded from the log. */
export interface CurrentLease {
  readonly offset: Offset;
  /** When the log stored the record. */
  readonly time: Instant;
  readonly follows: Offset;
  readonly writer: WriterId;
  readonly holder: VmId;
  /** End of the lease; in the past once it was given back. */
  readonly expiresAt: Deadline;
  /** Latest end that any record of this holder's stated. */
  readonly ordersEndAt: Deadline;
  /** Latest end that any earlier holder stated. */
  readonly earlierOrdersEndAt: Instant;
}

/** What a VM knows of one resource. */
export interface LeasedResource {
  readonly resource: string;
  current?: CurrentLease;
  /** Whether the host was told that this VM holds the lease. */
  held: boolean;
  /** The submission under way. */
  pending?: SubmitToken;
  /** When this VM takes the lease, if it is still free then. */
  takeAt?: Instant;
  /** When this VM gives way to the preferred one. */
  yieldAt?: Instant;
}

/** The state of the lease machine. */
export interface LeasesState {
  readonly options: LeasesOptions;
  ready: boolean;
  /** No lease is taken before; those that were not read have ended then. */
  takesAllowedAt: Instant;
  draining: boolean;
  live: readonly VmId[];
  nextToken: number;
  readonly resources: Map<string, LeasedResource>;
}

/** One turn of the lease machine. */
export type LeasesTurn = Turn<LeasesState, LeaseCommand>;

/** Creates the state of a VM that has read nothing yet. */
export function createLeasesState(options: LeasesOptions): LeasesState {
  const resources = new Map<string, LeasedResource>();
  for (const resource of options.resources) {
    resources.set(resource, {resource, held: false});
  }
  return {
    options,
    ready: false,
    takesAllowedAt: 0,
    draining: false,
    live: [],
    nextToken: 1,
    resources,
  };
}

/** Tells whether a guard is in force; tests switch guards off. */
export function isLeaseGuarded(state: LeasesState, guard: LeaseGuard): boolean {
  return !state.options.guardsOff?.has(guard);
}

/** Tells whether the current lease is this process's own. */
export function isOwnLease(
  state: LeasesState,
  resource: LeasedResource,
): boolean {
  return resource.current?.writer === state.options.writer;
}
