import {
  defaultMaxDescriptors,
  defaultMemoryMegabytes,
  deriveClientMemory,
  deriveListenerLimits,
  Listener,
} from '@zinniaspindle/decisions';
import {
  BoundedServer,
  type BuildServer,
} from '../connections/bounded_server.js';
import {ReadTurns} from '../connections/read_turns.js';
import {SharedBytes} from '../connections/shared_bytes.js';
import type {Metrics} from '../log/metrics.js';
import {RefusalLog} from '../log/refusal_log.js';
import type {GatewayContext} from './gateway_parts.js';

/** Builds what builds the servers for clients, which share the bounds of the VM. */
export function buildServers(
  {settings, log, getNow}: Pick<GatewayContext, 'settings' | 'log' | 'getNow'>,
  metrics: Metrics,
): BuildServer {
  const {
    memoryMegabytes = defaultMemoryMegabytes,
    heapMegabytes,
    maxDescriptors = defaultMaxDescriptors,
  } = settings;
  const deriveLimits = (listener: Listener) =>
    deriveListenerLimits(listener, maxDescriptors, memoryMegabytes);
  const {connections} = deriveLimits(Listener.Callers);
  const memory = deriveClientMemory(memoryMegabytes, heapMegabytes);
  const parts = {
    requests: new SharedBytes(memory.requestBytes, connections),
    ahead: new SharedBytes(memory.aheadBytes, connections),
    unreadBytes: memory.unreadBytes,
    turns: new ReadTurns(),
    metrics,
    refusals: new RefusalLog(log.write, getNow),
    getNow,
  };
  return (listener, handler) =>
    new BoundedServer(listener, deriveLimits(listener), parts, handler);
}
