import type {WriterId} from '../log/records.js';

/**
 * Safety guards that a test may switch off to show what each one prevents.
 * @internal
 */
export enum ActionGuard {
  /** Only the claimant's abandonment counts, and only the claimant writes one. */
  OnlyClaimantAbandons = 'onlyClaimantAbandons',
  /** Old keys and keys from the future are refused, and their claims void. */
  KeyAge = 'keyAge',
  /** An abandoned attempt stays abandoned when its claim appears later. */
  AbandonmentIsFinal = 'abandonmentIsFinal',
  /** The call waits until the claim was read back and found first. */
  ReadBack = 'readBack',
}

/** How protected actions are handled. */
export interface ActionsOptions {
  /** This run of this process. */
  readonly writer: WriterId;
  /** Milliseconds that the log keeps a record. */
  readonly retentionMilliseconds: number;
  /** Milliseconds that a key may be ahead of the log's clock. */
  readonly maxKeySkewMilliseconds: number;
  /** Milliseconds after a refusal until the caller may come back. */
  readonly retryMilliseconds: number;
  /** Milliseconds between look-ups of one request. */
  readonly lookupMilliseconds: number;
  /** Milliseconds until an undelivered outcome record is submitted again. */
  readonly resubmitMilliseconds: number;
  /** Calls of this VM that may be under way at one service. */
  readonly maxCallsPerService: number;
  /** Attempts of this VM for one service, from claim to answer. */
  readonly maxAttemptsPerService: number;
  /** @internal */
  readonly guardsOff?: ReadonlySet<ActionGuard>;
}
