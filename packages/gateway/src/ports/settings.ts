import type {Address} from '@zinniaspindle/shared';

/** Settings of one VM, read at its start. */
export interface GatewaySettings {
  readonly vm: string;
  readonly dataCentre: string;
  /** Bandwidth of the VM's network link, in Mbit/s. */
  readonly linkMegabits: number;
  /** Processor time that the VM gets a second, in cores; undefined if unknown. */
  readonly cores?: number | undefined;
  /** Memory of the VM, in MB; undefined for that of a usual VM. */
  readonly memoryMegabytes?: number | undefined;
  /** Heap that the process may use, in MB; undefined where it is not bounded. */
  readonly heapMegabytes?: number | undefined;
  /** Descriptors that the process may have open; undefined for a usual VM. */
  readonly maxDescriptors?: number | undefined;
  readonly listen: {
    readonly callers: Address;
    readonly ready: Address;
    readonly directory: Address;
    readonly peers: Address;
    readonly metrics: Address | undefined;
  };
  /** Peer addresses of a few VMs, as host:port; may be outdated. */
  readonly seeds: readonly string[];
  /**
   * Whether all VMs start together for the first time; a VM that joins a
   * running fleet reads the store at once.
   */
  readonly isFirstStart: boolean;
  /** Whether connections to endpoints are kept for further requests. */
  readonly keepsConnections?: boolean | undefined;
  readonly bounds: {
    /** Time between SIGTERM and the kill of the process. */
    readonly graceMilliseconds: number;
    /** Within this time of its confirmation, a configuration is in force. */
    readonly applyMilliseconds: number;
    /** Within this time, no request reaches an endpoint that is leaving or gone. */
    readonly drainMilliseconds: number;
    /**
     * Time for which an endpoint waits for another one of its path that is gone,
     * before it breaks the work off.
     */
    readonly stallMilliseconds: number;
    /** Retries allowed per window, as a share of the requests. */
    readonly retryRatio: number;
    /**
     * Retries allowed per window in addition to the share, for all VMs
     * together.
     */
    readonly retrySlack: number;
  };
}
