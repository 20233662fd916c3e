import type http from 'node:http';
import type net from 'node:net';
import type {Instant} from '@zinniaspindle/shared';

/** Header that names the request which an answer is about. */
export const requestIdHeader = 'x-request-id';

/** A call without a written answer, for people. */
export interface CallView {
  readonly method: string;
  readonly path: string;
  /** Id of the request that it is about, or "none". */
  readonly request: string;
  /** Milliseconds since it came. */
  readonly milliseconds: number;
  /** Bytes of its answer that wait in this process. */
  readonly unwrittenBytes: number;
}

/** A connection and the calls on it, in the order of their answers. */
interface CallConnection {
  /** When each call came. */
  readonly responses: Map<http.ServerResponse, Instant>;
  /** Whether one of the answers says that the connection ends with it. */
  isEnding: boolean;
}

/**
 * The calls that a server took and has not written the answers of. An answer
 * counts as written once the operating system has all of its bytes.
 */
export class OpenCalls {
  private readonly connections = new Map<net.Socket, CallConnection>();
  private isClosing = false;

  constructor(private readonly getNow: () => Instant) {}

  /** Adds the connection that calls come on. */
  addConnection(socket: net.Socket): void {
    this.connections.set(socket, {responses: new Map(), isEnding: false});
    socket.on('close', () => this.connections.delete(socket));
  }

  /**
   * Takes a call, until its answer is written or cut off. False if the
   * connection ends with an earlier answer: then the call must not be run.
   */
  acceptCall(response: http.ServerResponse, socket: net.Socket): boolean {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.isEnding) return false;
    const {responses} = connection;
    responses.set(response, this.getNow());
    if (this.isClosing) setLast(connection);
    response.on('close', () => {
      responses.delete(response);
      if (this.isClosing && responses.size === 0) socket.end();
    });
    return true;
  }

  /** Makes each connection end with the answers that it waits for. */
  startClosing(): void {
    this.isClosing = true;
    for (const connection of this.connections.values()) setLast(connection);
  }

  /** Ends the connections on which no call is open; what is written arrives. */
  closeIdle(): void {
    for (const [socket, {responses}] of this.connections) {
      if (responses.size === 0) socket.end();
    }
  }

  /** Counts the calls without a written answer. */
  count(): number {
    return this.list().length;
  }

  /** Lists the responses whose answers are not written. */
  list(): http.ServerResponse[] {
    const connections = [...this.connections.values()];
    return connections.flatMap(({responses}) => [...responses.keys()]);
  }

  /** Describes the calls whose answers are not written. */
  describe(): CallView[] {
    const views: CallView[] = [];
    for (const {responses} of this.connections.values()) {
      for (const [response, begunAt] of responses) {
        const {method = '', url = ''} = response.req;
        views.push({
          ...{method, path: url.split('?')[0]!},
          request: String(response.getHeader(requestIdHeader) ?? 'none'),
          milliseconds: this.getNow() - begunAt,
          unwrittenBytes: response.writableLength,
        });
      }
    }
    return views;
  }
}

/** Tells the caller that its connection ends with the last of the answers. */
function setLast(connection: CallConnection): void {
  const last = [...connection.responses.keys()].at(-1);
  if (last === undefined || last.headersSent) return;
  last.setHeader('connection', 'close');
  connection.isEnding = true;
}
