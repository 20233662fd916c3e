/** Descriptors of a VM where its settings do not name them. */
export const defaultMaxDescriptors = 2118;
/** Descriptors that a process may use for files only. */
const fileDescriptors = 200;
/** Memory that an idle connection takes, with what the kernel holds of it. */
const connectionBytes = 20 * 1024;
const bytesPerMegabyte = 1024 * 1024;
/** Part of a VM's memory that connections to one listener may take. */
const memoryShare = 1 / 8;
/** Part of a listener's connections that may have a request sent ahead. */
const aheadShare = 1 / 4;
/** A listener takes this many connections at the least. */
const minConnections = 4;
/** Part of a listener's connections whose requests are only refused. */
const spareShare = 1 / 32;
const minSpareConnections = 4;

/** The addresses that clients reach. */
export enum Listener {
  Callers = 'callers',
  Directory = 'directory',
  Ready = 'ready',
  Metrics = 'metrics',
}

/**
 * Parts of a VM's sockets. That of callers includes the connections to endpoints
 * which their requests need; what is left is for peers, the store and probes.
 */
const socketShares: Readonly<Record<Listener, number>> = {
  [Listener.Callers]: 11 / 16,
  [Listener.Directory]: 1 / 8,
  [Listener.Ready]: 1 / 64,
  [Listener.Metrics]: 1 / 64,
};

/** What one listener takes at once. */
export interface ListenerLimits {
  /** Connections; those of callers together with their requests under way. */
  readonly connections: number;
  /**
   * Further connections of callers, whose requests are refused while all others are in
   * use; calls of other listeners are answered at once.
   */
  readonly spareConnections: number;
  /** Requests behind others of their connections, on all connections. */
  readonly requestsAhead: number;
}

/** Derives the limits of a listener from the descriptors and memory of the VM. */
export function deriveListenerLimits(
  listener: Listener,
  maxDescriptors: number,
  memoryMegabytes: number,
): ListenerLimits {
  const sockets = Math.max(0, maxDescriptors - fileDescriptors);
  const byDescriptors = Math.floor(sockets * socketShares[listener]);
  const memoryBytes = memoryMegabytes * bytesPerMegabyte * memoryShare;
  const byMemory = Math.floor(memoryBytes / connectionBytes);
  const connections = Math.max(
    minConnections,
    Math.min(byDescriptors, byMemory),
  );
  const requestsAhead = Math.max(1, Math.floor(connections * aheadShare));
  const spareConnections =
    listener === Listener.Callers
      ? Math.max(minSpareConnections, Math.floor(connections * spareShare))
      : 0;
  return {connections, spareConnections, requestsAhead};
}
