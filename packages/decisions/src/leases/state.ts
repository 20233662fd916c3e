import type {Deadline, Instant, VmId} from '@zinniaspindle/shared';
import type {SubmitToken} from '../log/journal_types.js';
import type {Offset, WriterId} from '../log/records.js';
import type {Turn} from '../turn.js';
import type {LeaseCommand} from './messages.js';
import type {LeaseGuard, LeasesOptions} from './options.js';

/** The lease of a resource that is current by the folded log. */
export interface CurrentLease {
  readonly offset: Offset;
  /** When the log stored the record. */
  readonly time: Instant;
  /** Offset of the lease record that it follows. */
  readonly follows: Offset;
  readonly writer: WriterId;
  readonly holder: VmId;
  /** End of the lease; in the past after a release. */
  readonly expiresAt: Deadline;
  /** Latest expiry in any record of this holder; its orders may take effect until then. */
  readonly ordersEndAt: Deadline;
  /** Latest expiry in any record of earlier holders. */
  readonly earlierOrdersEndAt: Instant;
}

/** A VM's state of one resource. */
export interface LeasedResource {
  readonly resource: string;
  current?: CurrentLease;
  /** Whether this VM has reported the lease to its host as held. */
  held: boolean;
  /** The pending submission of a lease record. */
  pending?: SubmitToken;
  /** When this VM takes the lease if it is still free. */
  takeAt?: Instant;
  /** When this VM yields to the preferred one. */
  yieldAt?: Instant;
}

/** The state of the lease state machine. */
export interface LeasesState {
  readonly options: LeasesOptions;
  ready: boolean;
  /** No lease is taken before this instant; leases with unread records have expired by then. */
  takesAllowedAt: Instant;
  draining: boolean;
  live: readonly VmId[];
  nextToken: number;
  readonly resources: Map<string, LeasedResource>;
}

/** One turn of the lease state machine. */
export type LeasesTurn = Turn<LeasesState, LeaseCommand>;

/** Creates the state of a VM that has not read the log yet. */
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

/** Tells whether a guard is enabled; only tests disable guards. */
export function isLeaseGuarded(state: LeasesState, guard: LeaseGuard): boolean {
  return !state.options.guardsOff?.has(guard);
}

/** Tells whether this process wrote the current lease. */
export function isOwnLease(
  state: LeasesState,
  resource: LeasedResource,
): boolean {
  return resource.current?.writer === state.options.writer;
}
