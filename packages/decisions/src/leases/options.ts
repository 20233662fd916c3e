import type {VmId} from '@zinniaspindle/shared';
import type {WriterId} from '../log/records.js';

/**
 * Safety guards that tests disable to show which fault each one prevents.
 * @internal
 */
export enum LeaseGuard {
  /** A new reader takes no lease while one whose record it missed may be valid. */
  WaitsForUnread = 'waitsForUnread',
  /** A lease is taken only after the previous one has expired on any clock. */
  WaitsForExpiry = 'waitsForExpiry',
}

/** Identity of this process, and timing of leases. */
export interface LeasesOptions {
  readonly vm: VmId;
  /** Identifies this run of the process. */
  readonly writer: WriterId;
  /** The resources that have one holder each. */
  readonly resources: readonly string[];
  /** Duration of a lease from its take or renewal, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** Retention time of log records, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Milliseconds before the expiry at which the holder renews. */
  readonly renewMilliseconds: number;
  /** Upper limit of the clock skew between two VMs, in milliseconds. */
  readonly maxSkewMilliseconds: number;
  /** Additional milliseconds per rank that a VM waits before it takes a free lease. */
  readonly rankMilliseconds: number;
  /** Upper limit of the random delay before a take, in milliseconds. */
  readonly jitterMilliseconds: number;
  /** Milliseconds for which another VM must be preferred before the holder yields. */
  readonly yieldMilliseconds: number;
  /** @internal */
  readonly guardsOff?: ReadonlySet<LeaseGuard>;
}

/** Lists the names of the shards that endpoints are divided into. */
export function listShards(count: number): string[] {
  return Array.from({length: count}, (_, index) => formatShard(index));
}

/** Formats the resource name of a shard. */
export function formatShard(index: number): string {
  return `endpoints/${index}`;
}
