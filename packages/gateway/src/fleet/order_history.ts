import type {KnownOrder} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import type {Incarnation} from './notice_table.js';

/** Orders that are kept of an endpoint, the latest ones. */
const maxOrders = 32;
/** Endpoints whose orders are kept, the latest ones; fleets have up to 400. */
const maxEndpoints = 2000;

/** An order, and the incarnation of an endpoint that it is sent to. */
export type SentOrder = Incarnation & KnownOrder;

/** The orders to one incarnation of an endpoint. */
interface EndpointOrders {
  readonly bornAt: Instant;
  readonly orders: KnownOrder[];
}

/**
 * The orders that VMs have sent, or were about to send. Whether an endpoint has
 * accepted one is not known here. They outlast the endpoint's entry, since its
 * streams do.
 */
export class OrderHistory {
  private readonly endpoints = new Map<string, EndpointOrders>();

  /** Records an order that this VM or a peer sends, or has sent. */
  record({id, bornAt, orderCount, range, cutsRequests}: SentOrder): void {
    const order = {orderCount, range, cutsRequests};
    let known = this.endpoints.get(id);
    if (known !== undefined && known.bornAt > bornAt) return;
    if (known?.bornAt !== bornAt) known = {bornAt, orders: []};
    known.orders.push(order);
    if (known.orders.length > maxOrders) known.orders.shift();
    this.endpoints.delete(id);
    this.endpoints.set(id, known);
    if (this.endpoints.size <= maxEndpoints) return;
    const [oldest] = this.endpoints.keys();
    this.endpoints.delete(oldest!);
  }

  /** Lists the orders to an endpoint; any of its incarnations if none is named. */
  list(id: string, bornAt: Instant | undefined): readonly KnownOrder[] {
    const known = this.endpoints.get(id);
    if (known === undefined) return [];
    const isOther = bornAt !== undefined && bornAt !== known.bornAt;
    return isOther ? [] : known.orders;
  }
}
