import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Instant} from '@zinniaspindle/shared';

/** How far a request has come. */
export interface RequestProgress {
  /** The endpoint or path that runs the request; empty for none. */
  readonly endpoint: string;
  /** Last event of a stream that was sent to the caller; empty for none. */
  readonly lastEventId: string;
}

/** Which side closed a caller's connection. */
export enum ClosedBy {
  Caller = 'caller',
  Gateway = 'gateway',
}

/** A request whose answer is not written out yet. */
export interface OpenRequest {
  readonly response: http.ServerResponse;
  readonly receivedAt: Instant;
  attemptId: string;
  path: string;
  /** Whether this VM broke the answer off, which has a log line of its own. */
  isBrokenOff: boolean;
  describeProgress: () => RequestProgress;
}

/** Requests from the receipt of their headers until their answer is written out. */
export class OpenRequests {
  private readonly requests = new Set<OpenRequest>();
  /** Connections that end with an answer that is under way. */
  private readonly ending = new WeakSet<Socket>();

  /**
   * Adds a request; it is removed when its answer or its connection ends.
   * Undefined if its connection ends with an earlier answer: the library would
   * drop the answer to this one, so it must not run.
   */
  add(
    response: http.ServerResponse,
    receivedAt: Instant,
  ): OpenRequest | undefined {
    if (this.ending.has(response.req.socket)) return undefined;
    const request: OpenRequest = {
      response,
      receivedAt,
      attemptId: '',
      path: '',
      isBrokenOff: false,
      describeProgress: () => ({endpoint: '', lastEventId: ''}),
    };
    this.requests.add(request);
    response.on('close', () => this.requests.delete(request));
    return request;
  }

  /**
   * Marks a connection as ending with an answer; returns false while a later
   * request is open on it.
   */
  closeAfter({response}: OpenRequest): boolean {
    const {socket} = response.req;
    const onSocket = this.list().filter(
      request => request.response.req.socket === socket,
    );
    if (onSocket.at(-1)?.response !== response) return false;
    this.ending.add(socket);
    return true;
  }

  /** Counts the open requests. */
  count(): number {
    return this.requests.size;
  }

  /** Lists the open requests. */
  list(): OpenRequest[] {
    return [...this.requests];
  }
}

/**
 * Calls back when an answer was cut: its connection closed before all bytes were
 * written out. The library reports such an answer as finished once it has been
 * ended, so the state of the connection decides.
 */
export function reportCut(
  response: http.ServerResponse,
  handleCut: (closedBy: ClosedBy) => void,
): void {
  const {socket} = response;
  let isWritten = false;
  response.on('finish', () => (isWritten = socket?.destroyed === false));
  response.on('close', () => {
    if (isWritten) return;
    const isCaller =
      socket !== null && (socket.readableEnded || socket.errored);
    handleCut(isCaller ? ClosedBy.Caller : ClosedBy.Gateway);
  });
}
