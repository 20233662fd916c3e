/**
 * Events of leases, orders to endpoints and placement; numbers 6000 to 6999.
 */
export enum PlacementEvent {
  LeaseAcquired = 6001,
  LeaseLost = 6002,
  LeaseRequested = 6003,
  OrderSent = 6004,
  OrderRefused = 6005,
  OrderFailed = 6006,
  OrderDeferred = 6007,
  EndpointConverged = 6008,
  MovePlanned = 6101,
}

/** The text of each event; {name} stands for the value of a field. */
export const placementEventTexts: Readonly<Record<PlacementEvent, string>> = {
  [PlacementEvent.LeaseAcquired]:
    'lease of {resource} acquired, fencing token {fencing}',
  [PlacementEvent.LeaseLost]: 'lease of {resource} lost: {reason}',
  [PlacementEvent.LeaseRequested]:
    'lease of {resource} is free; requesting it at rank {rank}',
  [PlacementEvent.OrderSent]:
    'endpoint {endpoint} ordered to hold {wanted}, fencing token {fencing}: {reason}',
  [PlacementEvent.OrderRefused]:
    'endpoint {endpoint} refused an order: {reason}',
  [PlacementEvent.OrderFailed]: 'call to endpoint {endpoint} failed: {reason}',
  [PlacementEvent.OrderDeferred]:
    'order to endpoint {endpoint} deferred: {reason}',
  [PlacementEvent.EndpointConverged]:
    'endpoint {endpoint} holds {wanted} as wanted',
  [PlacementEvent.MovePlanned]:
    'endpoint {endpoint} is planned to hold {model} {layers} instead of {before}: gain {gain} tokens a second, load time {load} ms',
};
