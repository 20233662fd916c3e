/**
 * Events of the gateway, which forwards opaque requests by route; numbers 7000
 * to 7999.
 */
export enum GatewayEvent {
  Started = 7001,
  Stopping = 7002,
  Stopped = 7003,
  SettingsReloaded = 7004,
  SettingsRefused = 7005,
  Ready = 7006,
  NotReady = 7007,
  TaskFailed = 7008,
  ProcessPaused = 7009,
  StopRepeated = 7010,
  Closing = 7011,
  RequestsInFlight = 7014,
  FurtherRequests = 7015,
  LinesLost = 7016,
  StoreLost = 7101,
  StoreRecovered = 7102,
  RecordRefused = 7103,
  ConfigurationApplied = 7104,
  StoreEraRisen = 7105,
  StoreEraUnknown = 7106,
  TopicReplaced = 7107,
  RecordFailed = 7108,
  ReadLate = 7109,
  EndpointAdded = 7201,
  EndpointDraining = 7202,
  EndpointRemoved = 7203,
  EndpointLayersChanged = 7204,
  EndpointSuspected = 7205,
  EndpointRecovered = 7206,
  PathsChanged = 7207,
  PathStalled = 7208,
  EndpointLeaving = 7209,
  EndpointPausing = 7210,
  EndpointOverran = 7211,
  EndpointEnded = 7212,
  PartsQuarantined = 7213,
  QuarantineLifted = 7214,
  QuarantineTrial = 7215,
  EndpointLimited = 7216,
  LimitEnded = 7217,
  EndpointUnreached = 7218,
  LinkCut = 7219,
  LinkRestored = 7220,
  ConnectionRelayed = 7221,
  EndpointMisfit = 7222,
  EndpointReplaced = 7223,
  PathSlow = 7230,
  PathUsual = 7231,
  RequestOutranked = 7240,
  PeerFound = 7301,
  PeerLost = 7302,
  PeerLeaving = 7303,
  PeerRefused = 7304,
  MessageRefused = 7305,
  PeerLinkReopened = 7306,
  OwnershipGained = 7401,
  OwnershipLost = 7402,
  OrderSent = 7403,
  OrderFailed = 7404,
  RequestSent = 7501,
  RequestAttemptFailed = 7502,
  RequestAnswered = 7503,
  RequestRefused = 7504,
  RequestFailed = 7505,
  RequestAbandoned = 7506,
  RequestCutOff = 7507,
  AnswerUnwritten = 7508,
  RequestTakenInStop = 7509,
  RequestGivenUp = 7510,
  RequestStays = 7511,
  RequestMoves = 7512,
  AnswerUnframed = 7513,
  BoundReached = 7520,
}

/** The text of each event; {name} stands for the value of a field. */
export const gatewayEventTexts: Readonly<Record<GatewayEvent, string>> = {
  [GatewayEvent.Started]: 'gateway {vm} started in data centre {dataCentre}',
  [GatewayEvent.Stopping]:
    'graceful shutdown: serving callers that know this VM for {lingerMs} ms, exit in {exitMs} ms at the latest, {inFlight} requests in flight; the signal was sent at most {sentMs} ms before',
  [GatewayEvent.Stopped]:
    'gateway stopped; {cutOff} requests in flight were cut off',
  [GatewayEvent.SettingsReloaded]: 'settings reloaded',
  [GatewayEvent.SettingsRefused]:
    'settings not reloaded, the previous ones stay in effect: {detail}',
  [GatewayEvent.Ready]: 'ready to serve callers',
  [GatewayEvent.NotReady]: 'not ready to serve callers: {reason}',
  [GatewayEvent.TaskFailed]: 'task {task} failed: {detail}',
  [GatewayEvent.ProcessPaused]: 'the process was paused for {pauseMs} ms',
  [GatewayEvent.StopRepeated]:
    'stop requested again {sinceMs} ms after the first request; the stop goes on with {inFlight} requests in flight',
  [GatewayEvent.Closing]:
    'taking no more requests and closing the listener {sinceMs} ms after the stop began, {inFlight} requests in flight',
  [GatewayEvent.RequestsInFlight]:
    '{count} requests in flight {untilExitMs} ms before the latest exit: {requests}',
  [GatewayEvent.FurtherRequests]:
    'event {of} also happened to {count} requests over the limit of lines in a second: {requests}',
  [GatewayEvent.LinesLost]:
    '{lines} lines were not written to the output of the log before the exit',
  [GatewayEvent.StoreLost]:
    'cannot read {topic} from the store; {newest}: {detail}',
  [GatewayEvent.StoreRecovered]: 'reading {topic} from the store works again',
  [GatewayEvent.RecordRefused]:
    'record {key} at offset {offset} of {topic} was left out: {reason}',
  [GatewayEvent.ConfigurationApplied]:
    'configuration version {version} applied from offset {offset}: {routes} routes; before, {newest}',
  [GatewayEvent.StoreEraRisen]:
    'the store came back from an older copy: era {era} after {before}, seen by {source}',
  [GatewayEvent.StoreEraUnknown]:
    'the store answered with era {seen} after {known}; it is treated as unknown',
  [GatewayEvent.TopicReplaced]:
    'records of {topic} were replaced by those of era {era}, up to offset {next}: {keys} keys, {missing} keys of before are missing',
  [GatewayEvent.RecordFailed]:
    'record {key} at offset {offset} of {topic} could not be applied and was left out: {reason}',
  [GatewayEvent.ReadLate]:
    'the answer to a read of {topic} came {lateMs} ms after the end of its wait of {waitMs} ms',
  [GatewayEvent.EndpointAdded]:
    'endpoint {endpoint} of service {service} added at {address}',
  [GatewayEvent.EndpointDraining]:
    'endpoint {endpoint} is draining and gets no new requests',
  [GatewayEvent.EndpointRemoved]:
    'endpoint {endpoint} removed: it is no longer listed',
  [GatewayEvent.EndpointLayersChanged]:
    'endpoint {endpoint} holds layers {layers} after {orderCount} accepted orders',
  [GatewayEvent.EndpointSuspected]:
    'endpoint {endpoint} is suspected and gets no new requests: {reason}',
  [GatewayEvent.EndpointRecovered]:
    'endpoint {endpoint} is no longer suspected and gets requests again',
  [GatewayEvent.PathsChanged]:
    'paths of service {service} changed: {count} found',
  [GatewayEvent.PathStalled]:
    'path {path} is avoided, {silentMs} ms after its last progress; its {streams} streams move if another path is available',
  [GatewayEvent.EndpointLeaving]:
    'endpoint {endpoint} states that it leaves and gets no new requests, heard from {source}',
  [GatewayEvent.EndpointPausing]:
    'endpoint {endpoint} gets no requests of this VM for {pauseMs} ms: it asks for {askedMs} ms, heard from {source}',
  [GatewayEvent.EndpointOverran]:
    'endpoint {endpoint} exceeded a bound and its connection was closed: {reason}, heard from {source}, {count} times since its first',
  [GatewayEvent.EndpointEnded]:
    'endpoint {endpoint} has ended ({reason}); {broken} requests broke there early: {requests}',
  [GatewayEvent.EndpointReplaced]:
    'endpoint {endpoint} removed: {answerer} answers at its address {address}, heard from {source}',
  [GatewayEvent.PartsQuarantined]:
    'requests of service {service} with all of {parts} are refused from now on ({source}); {ends} endpoints ended under them: {endpoints}',
  [GatewayEvent.QuarantineLifted]:
    'requests of service {service} with all of {parts} are served again: {reason}',
  [GatewayEvent.QuarantineTrial]:
    'request {request} is sent to see whether those with all of {parts} still end endpoints',
  [GatewayEvent.EndpointLimited]:
    'endpoint {endpoint} takes {perSecond} requests a second from all VMs together; it states {stated}, heard from {source}',
  [GatewayEvent.LimitEnded]:
    'endpoint {endpoint} states no limit of its requests any more, heard from {source}',
  [GatewayEvent.EndpointUnreached]:
    'endpoint {endpoint} does not answer this VM, but {peers}',
  [GatewayEvent.LinkCut]:
    'connections to endpoint {endpoint} go through peers: this VM does not reach it ({reason}), {peer} does',
  [GatewayEvent.LinkRestored]:
    'connections to endpoint {endpoint} are made directly again, after {cutMs} ms',
  [GatewayEvent.ConnectionRelayed]:
    'a connection of a peer to endpoint {endpoint} is passed on, for {purpose}',
  [GatewayEvent.EndpointMisfit]:
    'endpoint {endpoint} gets no requests and no orders: {reason}',
  [GatewayEvent.PathSlow]:
    'path {path} runs {times} times slower than the {gapMs} ms predicted between two events',
  [GatewayEvent.PathUsual]:
    'path {path} runs as predicted again, or has had no events since it was slow',
  [GatewayEvent.RequestOutranked]:
    'request {request} of route {route} and rank {rank} of {ranks} gets no place after {waitedMs} ms: {higher} requests of higher ranks and {equal} of its own wait in the fleet, {placed} got places in the last second; predicted wait {waitMs} ms, retry after {retryMs} ms',
  [GatewayEvent.PeerFound]: 'peer VM {peer} discovered at {address}',
  [GatewayEvent.PeerLost]: 'peer VM {peer} has been silent for {silentMs} ms',
  [GatewayEvent.PeerLeaving]: 'peer VM {peer} is leaving',
  [GatewayEvent.PeerRefused]: 'peer connection from {remote} closed: {detail}',
  [GatewayEvent.MessageRefused]: 'a message of {peer} was left out: {reason}',
  [GatewayEvent.PeerLinkReopened]:
    'the link to peer VM {peer} is opened again: {reason}',
  [GatewayEvent.OwnershipGained]:
    'this VM now owns the orders to endpoints, generation {generation}',
  [GatewayEvent.OwnershipLost]:
    'this VM no longer owns the orders to endpoints: {reason}',
  [GatewayEvent.OrderSent]:
    'endpoint {endpoint} ordered to hold layers {layers}: {outcome}',
  [GatewayEvent.OrderFailed]:
    'order to endpoint {endpoint} to hold layers {layers} got no answer: {detail}',
  [GatewayEvent.RequestSent]:
    'request {request} of route {route} sent to endpoint {endpoint}, attempt {attempt}',
  [GatewayEvent.RequestAttemptFailed]:
    'attempt of request {request} at endpoint {endpoint} ended by the {endedBy}: {reason}',
  [GatewayEvent.RequestAnswered]:
    'request {request} of route {route} answered with status {status} after {ms} ms',
  [GatewayEvent.RequestRefused]:
    'request {request} refused with status {status}, not run: {reason}',
  [GatewayEvent.RequestFailed]:
    'request {request} failed with status {status} after {ms} ms: {reason}',
  [GatewayEvent.RequestAbandoned]:
    'connection of request {request} closed by the {closedBy} after {ms} ms, before its answer was complete',
  [GatewayEvent.RequestCutOff]:
    'request {request} cut off by the exit after {ms} ms; it was received {afterStopMs} ms after the stop began; endpoint done: {isEndpointDone}, {unwrittenBytes} bytes of its answer not written out',
  [GatewayEvent.AnswerUnwritten]:
    'connection of request {request} closed by the {closedBy} after {ms} ms, before its complete answer was written out',
  [GatewayEvent.RequestTakenInStop]:
    'request {request} taken {stopMs} ms after the stop began: {reason}',
  [GatewayEvent.RequestGivenUp]:
    'request {request} gets no further attempt: {denial}; its last one, at {path}, ended {sinceMs} ms ago',
  [GatewayEvent.RequestStays]:
    'request {request} stays at {path}, {silentMs} ms after its last progress: {denial}',
  [GatewayEvent.RequestMoves]:
    'request {request} is sent to {next} as well as {path}, {silentMs} ms after its last progress: {reason}',
  [GatewayEvent.BoundReached]:
    'the listener for {listener} reached a bound, {count} times since its last line: {reason}; {connections} connections, {requestsAhead} requests ahead',
  [GatewayEvent.AnswerUnframed]:
    'answer of endpoint {endpoint} to request {request}, without a length, ended with its connection {silentMs} ms after its last bytes: {verdict}; {parts}',
};
