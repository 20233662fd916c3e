import type {WriterId} from '../log/records.js';

/**
 * Safeguards that a test may switch off to show what each one prevents.
 * @internal
 */
export enum ActionGuard {
  /**
   * Only the claimant writes an abandonment, and only the claimant's counts.
   */
  OnlyClaimantAbandons = 'onlyClaimantAbandons',
  /** Old keys and keys from the future are rejected, and their claims void. */
  KeyAge = 'keyAge',
  /** A cancelled attempt stays cancelled when its claim appears later. */
  AbandonmentIsFinal = 'abandonmentIsFinal',
  /** The call waits until the claim was read back from the log and won. */
  ReadBack = 'readBack',
}

/** Options of protected actions. */
export interface ActionsOptions {
  /** Writer id of this run of the process. */
  readonly writer: WriterId;
  /** Retention of the log, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Milliseconds by which a key may be ahead of the log's clock. */
  readonly maxKeySkewMilliseconds: number;
  /** Milliseconds after a refusal until the caller may retry. */
  readonly retryMilliseconds: number;
  /** Milliseconds between look-ups for one request. */
  readonly lookupMilliseconds: number;
  /**
   * Milliseconds until an outcome or abandonment whose append was not confirmed
   * is submitted again.
   */
  readonly resubmitMilliseconds: number;
  /** Maximum number of concurrent calls of this VM to one service. */
  readonly maxCallsPerService: number;
  /**
   * Maximum number of this VM's attempts for one service, from claim to answer.
   */
  readonly maxAttemptsPerService: number;
  /** @internal */
  readonly guardsOff?: ReadonlySet<ActionGuard>;
}
