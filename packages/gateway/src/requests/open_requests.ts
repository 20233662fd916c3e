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

/** Counts the bytes of an answer that are not handed to the kernel. */
export function countUnwrittenBytes({response}: OpenRequest): number {
  // An answer that waits behind another one keeps its bytes itself.
  return Math.max(
    response.writableLength,
    response.socket?.writableLength ?? 0,
  );
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
  /** Whether its answer is forwarded as it arrives, and may break off. */
  canBreakOff: boolean;
  /** Whether this VM broke the answer off, which has a log line of its own. */
  isBrokenOff: boolean;
  describeProgress: () => RequestProgress;
  /** Gives the final answer that is true now; the caller has got nothing yet. */
  answerNow: () => void;
  /** Called when the request may be passed on; see `waitForTurn`. */
  handleTurn: () => void;
  /** Gives back the bytes of the body, once the request is no longer open. */
  releaseBody: () => void;
  /** Called when the answer is written out, with its size. */
  handleWritten: (bytes: number) => void;
  /** Called when the connection closed before the answer was written out. */
  handleCut: (closedBy: ClosedBy) => void;
}

/** A connection with open requests, in the order of their answers. */
interface CallerConnection {
  readonly requests: OpenRequest[];
  /** Whether it ends with an answer that is under way. */
  isEnding: boolean;
}

/** Requests from the receipt of their headers until their answer is written out. */
export class OpenRequests {
  private readonly connections = new Map<Socket, CallerConnection>();
  private openCount = 0;
  /** Those that have been passed on to endpoints. */
  private readonly passedOn = new Set<OpenRequest>();
  private isClosing = false;

  /** Adds a connection, which has no request yet. */
  addConnection(socket: Socket): void {
    this.getConnection(socket);
  }

  /** Ends each connection as soon as it has no open request. */
  closeIdle(): void {
    this.isClosing = true;
    for (const socket of this.connections.keys()) this.closeIfIdle(socket);
  }

  /**
   * Adds a request; it is removed when its answer or its connection ends.
   * Undefined if its connection ends with an earlier answer: the library would
   * drop the answer to this one, so it must not run.
   */
  add(
    response: http.ServerResponse,
    receivedAt: Instant,
  ): OpenRequest | undefined {
    const {socket} = response.req;
    const connection = this.getConnection(socket);
    if (connection.isEnding) return undefined;
    const request: OpenRequest = {
      response,
      receivedAt,
      attemptId: '',
      path: '',
      canBreakOff: false,
      isBrokenOff: false,
      describeProgress: () => ({endpoint: '', lastEventId: ''}),
      answerNow: () => undefined,
      handleTurn: () => undefined,
      releaseBody: () => undefined,
      handleWritten: () => undefined,
      handleCut: () => undefined,
    };
    connection.requests.push(request);
    this.openCount += 1;
    let isWritten = false;
    // The library reports an answer as finished once it has been ended, so the
    // state of the connection decides whether it is written out.
    const bytesBefore = socket.bytesWritten;
    response.on('finish', () => {
      isWritten = !socket.destroyed;
      if (isWritten) request.handleWritten(socket.bytesWritten - bytesBefore);
    });
    response.on('close', () => {
      if (isWritten) this.remove(socket, request);
      else this.removeCut(socket, request);
    });
    return request;
  }

  /**
   * Waits until no answer before that of a request can break off: the connection
   * would end with it, and the answer to this one would be lost. Returns as
   * well after the time that is left, and when the connection has ended.
   */
  async waitForTurn(
    open: OpenRequest,
    leftMilliseconds: number,
  ): Promise<void> {
    if (this.hasTurn(open)) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, Math.max(1, leftMilliseconds));
      open.handleTurn = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Tells whether no answer before that of an open request can break off. */
  hasTurn({response}: OpenRequest): boolean {
    const {requests} = this.getConnection(response.req.socket);
    for (const earlier of requests) {
      if (earlier.response === response) return true;
      if (earlier.canBreakOff) return false;
    }
    return false;
  }

  /**
   * Marks a connection as ending with an answer; returns false while a later
   * request is open on it.
   */
  closeAfter({response}: OpenRequest): boolean {
    const connection = this.getConnection(response.req.socket);
    if (connection.requests.at(-1)?.response !== response) return false;
    connection.isEnding = true;
    return true;
  }

  /**
   * Ends a connection, of which no further request can be read, after the
   * answers that it waits for; returns false if there are none, as for a request
   * whose body is not complete.
   */
  closeConnection(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    const last = connection?.requests.at(-1);
    if (connection === undefined || last === undefined) return false;
    // The rest of a body can't be read any more, so its request never runs.
    const {headersSent, req} = last.response;
    const isOnly = connection.requests.length === 1;
    if (isOnly && !req.complete && !headersSent) return false;
    if (!connection.isEnding) last.response.on('close', () => socket.end());
    connection.isEnding = true;
    return true;
  }

  /** Counts the open requests. */
  count(): number {
    return this.openCount;
  }

  /** Records that a request is passed on to an endpoint. */
  recordPassedOn(request: OpenRequest): void {
    this.passedOn.add(request);
  }

  /** Counts the open requests that have been passed on. */
  countPassedOn(): number {
    return this.passedOn.size;
  }

  /** Lists the open requests. */
  list(): OpenRequest[] {
    return [...this.connections.values()].flatMap(({requests}) => requests);
  }

  private getConnection(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection: CallerConnection = {requests: [], isEnding: false};
    this.connections.set(socket, connection);
    // The library does not close responses that wait behind another one.
    socket.on('close', () => {
      for (const request of [...connection.requests]) {
        this.removeCut(socket, request);
      }
      this.connections.delete(socket);
    });
    return connection;
  }

  /** What was sent is received before the end, unlike with `destroy`. */
  private closeIfIdle(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.requests.length > 0) return;
    connection.isEnding = true;
    socket.end();
  }

  private removeCut(socket: Socket, request: OpenRequest): void {
    if (!this.remove(socket, request)) return;
    const isCaller = socket.readableEnded || socket.errored !== null;
    request.handleCut(isCaller ? ClosedBy.Caller : ClosedBy.Gateway);
  }

  private remove(socket: Socket, request: OpenRequest): boolean {
    const requests = this.connections.get(socket)?.requests ?? [];
    const at = requests.indexOf(request);
    if (at !== -1) {
      requests.splice(at, 1);
      this.openCount -= 1;
      this.passedOn.delete(request);
      request.releaseBody();
      request.handleTurn();
      for (const later of requests) {
        if (this.hasTurn(later)) later.handleTurn();
      }
    }
    if (this.isClosing) this.closeIfIdle(socket);
    return at !== -1;
  }
}
