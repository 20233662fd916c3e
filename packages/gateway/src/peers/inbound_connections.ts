import type net from 'node:net';
import type {Instant} from '@zinniaspindle/shared';

/**
 * Peers send a heartbeat every 2 s or more often, so that a connection which brings
 * nothing for this time has lost its other end.
 */
const silenceMilliseconds = 30_000;

/** The connections that peers have opened to this VM. */
export class InboundConnections {
  /** When each connection last brought something; none for those passed on. */
  private readonly readAt = new Map<net.Socket, Instant>();
  private readonly all = new Set<net.Socket>();
  /** The connection of each peer that greeted last. */
  private readonly newest = new Map<string, net.Socket>();

  constructor(private readonly getNow: () => Instant) {}

  /** Adds a connection. */
  add(socket: net.Socket): void {
    this.all.add(socket);
    this.readAt.set(socket, this.getNow());
    socket.once('close', () => {
      this.all.delete(socket);
      this.readAt.delete(socket);
    });
  }

  /** Records that a connection has brought something. */
  recordRead(socket: net.Socket): void {
    this.readAt.set(socket, this.getNow());
  }

  /** Records that a peer greeted on a connection, which replaces earlier ones. */
  recordGreeting(socket: net.Socket, vm: string): void {
    this.newest.set(vm, socket);
  }

  /** Leaves a connection to the user that it is passed on to. */
  release(socket: net.Socket): void {
    this.readAt.delete(socket);
  }

  /** Removes a closed connection; returns whether its peer has no newer one. */
  remove(socket: net.Socket, vm: string): boolean {
    if (this.newest.get(vm) !== socket) return false;
    this.newest.delete(vm);
    return true;
  }

  /** Closes the connections that have brought nothing for long. */
  closeSilent(): void {
    const since = this.getNow() - silenceMilliseconds;
    for (const [socket, readAt] of this.readAt) {
      if (readAt < since) socket.destroy();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.all) socket.destroy();
  }
}
