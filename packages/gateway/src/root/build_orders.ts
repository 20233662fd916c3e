import {OrderRunner} from '../orders/order_runner.js';
import {Ownership} from '../orders/ownership.js';
import {
  makeAnnouncedMessage,
  PeerMessageKind,
  type OrderMessage,
} from '../peers/messages.js';
import {QuarantineKeeper} from '../quarantine/quarantine_keeper.js';
import type {
  FleetParts,
  GatewayContext,
  GatewayParts,
  SyncParts,
} from './gateway_parts.js';

/** Builds what orders endpoints to hold layers, and keeps quarantines. */
export function buildOrders(
  {settings, ports, log, getNow}: GatewayContext,
  fleet: FleetParts,
  {mesh, eras}: SyncParts,
): Pick<GatewayParts, 'ownership' | 'orders' | 'keeper'> {
  const {metrics, endpoints} = fleet;
  const {vm} = settings;
  const {store} = ports;
  const ownership = new Ownership(store, vm, eras, log.write, metrics, getNow);
  const handleOrder = (order: Omit<OrderMessage, 'kind'>) => {
    applyOrder(fleet, order);
    mesh.sendAll({kind: PeerMessageKind.Order, ...order});
  };
  const orders = new OrderRunner(
    endpoints,
    ports.endpoints,
    fleet.prober,
    ownership,
    handleOrder,
    () => mesh.countLive(),
    log.write,
    metrics,
    getNow,
    order => {
      endpoints.orders.record(order);
      mesh.sendAll(makeAnnouncedMessage(order));
    },
  );
  const keeper = new QuarantineKeeper(
    fleet.quarantine,
    store,
    eras,
    () => ownership.findFencingToken() !== undefined,
    log.write,
    metrics,
    getNow,
    Date.now,
    settings.isFirstStart,
  );
  return {ownership, orders, keeper};
}

/** Applies an order that an endpoint has started. */
export function applyOrder(
  {endpoints, paths}: Pick<FleetParts, 'endpoints' | 'paths'>,
  order: Omit<OrderMessage, 'kind'>,
): void {
  const {id, bornAt, range, orderCount, cutsRequests, waitsForRequests} = order;
  endpoints.orders.record({
    ...order,
    cutsRequests: cutsRequests && waitsForRequests !== true,
  });
  endpoints.applyOrder(id, bornAt, range, orderCount);
  if (cutsRequests) paths.dropStreamsOutside(id, range);
}
