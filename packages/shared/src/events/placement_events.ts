/**
 * Events of leases, orders to endpoints and placement; numbers 6000 to 6999.
 */
export enum PlacementEvent {
  LeaseHeld = 6001,
  LeaseLost = 6002,
  LeaseWanted = 6003,
  OrderSent = 6004,
  OrderRefused = 6005,
  OrderFailed = 6006,
  OrderWaits = 6007,
  EndpointSettled = 6008,
  MovePlanned = 6101,
}

/** The text of each event; {name} stands for the value of a field. */
export const placementEventTexts: Readonly<Record<PlacementEvent, string>> = {
  [PlacementEvent.LeaseHeld]:
    'lease of {resource} acquired, fencing token {fencing}',
  [PlacementEvent.LeaseLost]: 'lease of {resource} lost: {reason}',
  [PlacementEvent.LeaseWanted]:
    'lease of {resource} is free; requesting it at rank {rank}',
  [PlacementEvent.OrderSent]:
    'endpoint {endpoint} ordered to hold {wanted}, fencing token {fencing}: {reason}',
  [PlacementEvent.OrderRefused]:
    'endpoint {endpoint} refused an order: {reason}',
  [PlacementEvent.OrderFailed]: 'call to endpoint {endpoint} failed: {reason}',
  [PlacementEvent.OrderWaits]:
    'order to endpoint {endpoint} deferred: {reason}',
  [PlacementEvent.EndpointSettled]:
    'endpoint {endpoint} holds {wanted} as wanted',
  [PlacementEvent.MovePlanned]:
    'endpoint {endpoint} is planned to hold {model} {layers} instead of {before}: gain {gain} tokens a second, load time {load} ms',
};
