import type {Address} from '@zinniaspindle/shared';

/** What a VM knows of itself and its bounds at its start. */
export interface GatewaySettings {
  readonly vm: string;
  readonly dataCentre: string;
  /** Rate of the VM's link, in Mbit/s. */
  readonly linkMegabits: number;
  readonly listen: {
    readonly callers: Address;
    readonly ready: Address;
    readonly directory: Address;
    readonly peers: Address;
    readonly metrics: Address | undefined;
  };
  /** Peer addresses of a few VMs, as host:port; may be out of date. */
  readonly seeds: readonly string[];
  readonly bounds: {
    /** After SIGTERM the process is killed when this has passed. */
    readonly graceMilliseconds: number;
    /** Repeated sends in a window, as a share of the requests. */
    readonly retryRatio: number;
    /** Repeated sends in a window that all VMs have besides the share. */
    readonly retrySlack: number;
  };
}
