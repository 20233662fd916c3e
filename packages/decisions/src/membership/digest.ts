import type {
  AccountId,
  EndpointId,
  Instant,
  LoadReport,
  VmId,
} from '@zinniaspindle/shared';
import type {Offset} from '../log/records.js';

/** Token rate that one VM's callers request for one account. */
export interface AccountDemand {
  readonly account: AccountId;
  readonly tokensPerSecond: number;
}

/** Work that one VM has in progress at an endpoint. */
export interface EndpointUse {
  readonly endpoint: EndpointId;
  readonly running: number;
  /** Prompt tokens of requests whose first output token has not arrived. */
  readonly prefillTokens: number;
}

/** Status that a VM sends to its peers in every digest period. */
export interface VmDigest {
  readonly vm: VmId;
  /** When the status was measured, by the sender's clock. */
  readonly time: Instant;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Share of the VM's own capacity in use, 0 to 1. */
  readonly load: number;
  /** Offset of the next log record that the VM will apply. */
  readonly nextOffset: Offset;
  readonly demands: readonly AccountDemand[];
  readonly uses: readonly EndpointUse[];
  /** Latest load reports of the endpoints that this VM polls. */
  readonly reports?: readonly LoadReport[];
  /** Endpoints that the VM knows are leaving. */
  readonly leavingEndpoints: readonly EndpointId[];
  /** Endpoints whose circuit breaker is open at the VM. */
  readonly failingEndpoints: readonly EndpointId[];
}
