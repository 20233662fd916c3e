import type http from 'node:http';
import type net from 'node:net';

/**
 * The calls that a server took and has not written the answers of. An answer
 * counts as written once the operating system has all of its bytes.
 */
export class OpenCalls {
  private readonly calls = new Map<net.Socket, Set<http.ServerResponse>>();

  /** Adds the connection that calls come on. */
  addConnection(socket: net.Socket): void {
    this.calls.set(socket, new Set());
    socket.on('close', () => this.calls.delete(socket));
  }

  /** Adds a call; it is removed when its answer is written or cut off. */
  addCall(response: http.ServerResponse, socket: net.Socket): void {
    const responses = this.calls.get(socket);
    responses?.add(response);
    response.on('close', () => responses?.delete(response));
  }

  /** Counts the calls without a written answer. */
  count(): number {
    return this.list().length;
  }

  /** Lists the responses whose answers are not written. */
  list(): http.ServerResponse[] {
    return [...this.calls.values()].flatMap(responses => [...responses]);
  }
}
