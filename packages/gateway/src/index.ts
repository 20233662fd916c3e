/** The gateway: an entry VM that forwards opaque requests by route. */
export * from './ports/index.js';
export {FramingBound} from './intake/framing_bound.js';
export {computeHeadExcess, headOverflowCode} from './intake/head_excess.js';
export {PendingBytes} from '@zinniaspindle/framing';
export {
  openDirect,
  type CancelConnection,
  type EndpointConnection,
  type HandleConnection,
  type OpenConnection,
} from './links/open_connection.js';
export {
  KeptConnections,
  type ConnectionKeeper,
  type ReportKeeper,
} from './links/kept_connections.js';
export {describeAnswerEnd} from './links/answer_end.js';
export {EventLog, type EventFields, type WriteEvent} from './log/event_log.js';
export {Counter, gatewayMetricTexts, Latency, Metrics} from './log/metrics.js';
export {Gateway} from './root/gateway.js';
export type {GatewayPorts} from './root/gateway_parts.js';
