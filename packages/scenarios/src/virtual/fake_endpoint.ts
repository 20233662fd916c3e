import {
  EngineRefusal,
  type EndpointId,
  type EngineState,
  type EngineStateResponse,
  type Instant,
  type OrderRequest,
} from '@zinniaspindle/shared';

/** How an endpoint is set up. */
export interface FakeEndpointOptions {
  readonly endpoint: EndpointId;
  readonly checksFencing: boolean;
  readonly loadMilliseconds: number;
  /** Milliseconds by which the endpoint's clock is ahead. */
  readonly skewMilliseconds: number;
}

/** An endpoint that takes orders and counts those that come out of order. */
export class FakeEndpoint {
  /** Orders that took effect after an order of a later lease said otherwise. */
  lateOrders = 0;
  /** Orders refused for their fencing number or their deadline. */
  refusedOrders = 0;
  appliedOrders = 0;
  private held: EngineState | undefined;
  private loading: EngineState | undefined;
  private loadedAt: Instant = 0;
  private fencing = -1;
  /** Offset of the latest lease under which an order took effect. */
  private latestLease = -1;
  private latestWanted: EngineState | undefined;

  constructor(readonly options: FakeEndpointOptions) {}

  /** Takes an order; `lease` is the offset of the sender's lease record. */
  accept(
    order: OrderRequest,
    lease: number,
    now: Instant,
  ): EngineRefusal | undefined {
    this.updateLoad(now);
    const refusal = this.findRefusal(order, now);
    if (refusal !== undefined) {
      this.refusedOrders += 1;
      return refusal;
    }
    this.fencing = Math.max(this.fencing, order.fencing);
    this.checkOrder(order.wanted, lease);
    this.applyWanted(order.wanted, now);
    return undefined;
  }

  /** Reads what the endpoint holds and loads. */
  readState(now: Instant): EngineStateResponse {
    this.updateLoad(now);
    return {
      fencing: this.fencing,
      ...(this.held ? {held: this.held} : {}),
      ...(this.loading ? {loading: this.loading} : {}),
    };
  }

  private findRefusal(
    order: OrderRequest,
    now: Instant,
  ): EngineRefusal | undefined {
    if (now + this.options.skewMilliseconds >= order.deadline) {
      return EngineRefusal.DeadlinePassed;
    }
    const old = order.fencing < this.fencing;
    return this.options.checksFencing && old
      ? EngineRefusal.OldFencing
      : undefined;
  }

  private checkOrder(wanted: EngineState, lease: number): void {
    this.appliedOrders += 1;
    const differs = wanted.model !== this.latestWanted?.model;
    if (lease < this.latestLease && differs) {
      this.lateOrders += 1;
      return;
    }
    this.latestLease = Math.max(this.latestLease, lease);
    this.latestWanted = wanted;
  }

  private applyWanted(wanted: EngineState, now: Instant): void {
    if (this.held?.model === wanted.model) {
      this.held = wanted;
      this.loading = undefined;
      return;
    }
    this.loading = wanted;
    this.loadedAt = now + this.options.loadMilliseconds;
  }

  private updateLoad(now: Instant): void {
    if (!this.loading || now < this.loadedAt) return;
    this.held = this.loading;
    this.loading = undefined;
  }
}
