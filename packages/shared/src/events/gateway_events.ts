/** Events of the gateway, which serves routes of opaque requests; numbers 7000 to 7999. */
export enum GatewayEvent {
  Started = 7001,
  Stopping = 7002,
  Stopped = 7003,
  SettingsReloaded = 7004,
  SettingsRefused = 7005,
  Ready = 7006,
  NotReady = 7007,
  TaskFailed = 7008,
  Paused = 7009,
  StoreLost = 7101,
  StoreBack = 7102,
  RecordRefused = 7103,
  ConfigurationApplied = 7104,
  EndpointAdded = 7201,
  EndpointDraining = 7202,
  EndpointRemoved = 7203,
  EndpointHeld = 7204,
  EndpointSuspected = 7205,
  EndpointCleared = 7206,
  PathsChanged = 7207,
  PathStalled = 7208,
  PeerFound = 7301,
  PeerLost = 7302,
  PeerLeaving = 7303,
  PeerRefused = 7304,
  OwnershipGained = 7401,
  OwnershipLost = 7402,
  OrderSent = 7403,
  OrderFailed = 7404,
  RequestSent = 7501,
  RequestRetried = 7502,
  RequestDone = 7503,
  RequestRefused = 7504,
  RequestFailed = 7505,
  RequestAbandoned = 7506,
}

/** The text of each event; {name} stands for a field of the note. */
export const gatewayEventTexts: Readonly<Record<GatewayEvent, string>> = {
  [GatewayEvent.Started]: 'gateway {vm} started in data centre {dataCentre}',
  [GatewayEvent.Stopping]:
    'planned stop: new connections for {lingerMs} ms more',
  [GatewayEvent.Stopped]: 'gateway stopped; {cutOff} requests were cut off',
  [GatewayEvent.SettingsReloaded]: 'settings read again',
  [GatewayEvent.SettingsRefused]: 'settings kept as they were: {detail}',
  [GatewayEvent.Ready]: 'ready for callers',
  [GatewayEvent.NotReady]: 'not ready for callers: {reason}',
  [GatewayEvent.TaskFailed]: 'task {task} failed: {detail}',
  [GatewayEvent.Paused]: 'the process stood still for {pauseMs} ms',
  [GatewayEvent.StoreLost]:
    'store does not serve reads of {topic}; newest knowledge is {ageMs} ms old: {detail}',
  [GatewayEvent.StoreBack]: 'store serves reads of {topic} again',
  [GatewayEvent.RecordRefused]:
    'record {key} at offset {offset} of {topic} is malformed and left out',
  [GatewayEvent.ConfigurationApplied]:
    'configuration {version} in force, from offset {offset}: {routes} routes',
  [GatewayEvent.EndpointAdded]:
    'endpoint {endpoint} of {service} at {address} listed',
  [GatewayEvent.EndpointDraining]: 'endpoint {endpoint} leaves: no new work',
  [GatewayEvent.EndpointRemoved]: 'endpoint {endpoint} is no longer listed',
  [GatewayEvent.EndpointHeld]:
    'endpoint {endpoint} holds layers {layers} after {orderCount} orders',
  [GatewayEvent.EndpointSuspected]:
    'endpoint {endpoint} gets no new work: {reason}',
  [GatewayEvent.EndpointCleared]: 'endpoint {endpoint} gets work again',
  [GatewayEvent.PathsChanged]: '{count} paths of {service} found',
  [GatewayEvent.PathStalled]:
    'path {path} silent for {silentMs} ms with {streams} streams',
  [GatewayEvent.PeerFound]: 'VM {peer} found at {address}',
  [GatewayEvent.PeerLost]: 'VM {peer} not heard for {silentMs} ms',
  [GatewayEvent.PeerLeaving]: 'VM {peer} leaves',
  [GatewayEvent.PeerRefused]: 'peer connection from {remote} closed: {detail}',
  [GatewayEvent.OwnershipGained]:
    'owner of orders from generation {generation} on',
  [GatewayEvent.OwnershipLost]: 'no longer owner of orders: {reason}',
  [GatewayEvent.OrderSent]:
    'endpoint {endpoint} ordered to hold {layers}: {outcome}',
  [GatewayEvent.OrderFailed]:
    'order to endpoint {endpoint} for {layers} got no answer: {detail}',
  [GatewayEvent.RequestSent]:
    'request {request} of route {route} sent to {endpoint}, try {attempt}',
  [GatewayEvent.RequestRetried]:
    'request {request} goes on elsewhere after {endpoint}: {reason}',
  [GatewayEvent.RequestDone]:
    'request {request} of route {route} answered {status} after {ms} ms',
  [GatewayEvent.RequestRefused]:
    'request {request} not run, refused with {status}: {reason}',
  [GatewayEvent.RequestFailed]:
    'request {request} failed with {status} after {ms} ms: {reason}',
  [GatewayEvent.RequestAbandoned]:
    'caller of request {request} left after {ms} ms',
};
