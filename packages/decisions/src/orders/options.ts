/**
 * Safety guards that tests disable to show which fault each one prevents.
 * @internal
 */
export enum OrderGuard {
  /** Orders carry the fencing token of the owner's lease. */
  Fencing = 'fencing',
  /** No order is sent after the lease has expired. */
  ValidLease = 'validLease',
  /** Earlier orders must expire before a new one is sent, unless the endpoint checks fencing. */
  WaitOut = 'waitOut',
}

/** Timing and limits of order reconciliation. */
export interface OrdersOptions {
  readonly shardCount: number;
  /** Milliseconds after which an engine ignores a sent order. */
  readonly orderMilliseconds: number;
  /** Milliseconds after which an unanswered read or order fails. */
  readonly replyMilliseconds: number;
  /** Milliseconds between reads of an endpoint in its wanted state. */
  readonly settledPollMilliseconds: number;
  /** Milliseconds between reads of an endpoint not yet in its wanted state. */
  readonly pollMilliseconds: number;
  /** Upper limit of the retry backoff, in milliseconds. */
  readonly maxBackoffMilliseconds: number;
  /** Upper limit of the skew between two clocks, in milliseconds. */
  readonly maxSkewMilliseconds: number;
  /** Most concurrent reads and orders of this VM. */
  readonly maxInFlight: number;
  /** Most concurrent loads from the weight store that this VM may cause. */
  readonly maxLoads: number;
  /** @internal */
  readonly guardsOff?: ReadonlySet<OrderGuard>;
}
