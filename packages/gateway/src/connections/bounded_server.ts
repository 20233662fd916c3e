import http from 'node:http';
import net, {type Socket} from 'node:net';
import {
  chooseClosed,
  RoomFor,
  chooseUnread,
  decideReading,
  ReadingStep,
  type ConnectionUse,
  type Listener,
  type ListenerLimits,
  type UnreadConnection,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Address, type Instant} from '@zinniaspindle/shared';
import {Counter, type Metrics} from '../log/metrics.js';
import type {RefusalLog} from '../log/refusal_log.js';
import {openServer} from '../open_server.js';
import {
  ConnectionReader,
  ReadFault,
  type ReaderBounds,
} from './connection_reader.js';
import {
  describeUse,
  updateUnread,
  type ClientConnection,
} from './client_connection.js';
import type {ReadTurns} from './read_turns.js';
import {computeRequestBytes, minRequestBytes} from './request_bytes.js';
import type {SharedBytes} from './shared_bytes.js';

/** Limit of the HTTP parser, for heads of any configuration. */
const maxHeaderBytes = 64 * 1024;
const connectionsCheckMilliseconds = 1000;
/** Until the listener sets times of its own. */
const defaultHeadMilliseconds = 60_000;
const defaultIdleMilliseconds = 5000;

/** Status lines, with further headers, for what cannot be read, by its code. */
const faultHeads: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  [ReadFault.HeadTooLarge]: '431 Request Header Fields Too Large',
  [ReadFault.NoMemory]: '503 Service Unavailable\r\nRetry-After: 1',
};

/** A bound of a listener, as the log names it. */
enum Bound {
  RequestsAhead = 'requests sent ahead wait',
  RequestMemory = 'a request is refused for the memory of open requests',
  Unread = 'a connection is closed whose answers are not read',
  Evicted = 'a connection is closed for another one',
  Full = 'a new connection is closed',
}

/** What all listeners of a VM share. */
export interface ServerParts {
  readonly requests: SharedBytes;
  /** What was sent ahead. */
  readonly ahead: SharedBytes;
  /** Bytes that the answers of one listener may have unread. */
  readonly unreadBytes: number;
  readonly turns: ReadTurns;
  readonly metrics: Metrics;
  readonly refusals: RefusalLog;
  readonly getNow: () => Instant;
}

/** A request whose head has come. */
export interface ServerCall {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Whether there is memory for it; else it must be refused at once. */
  readonly hasMemory: boolean;
  /** Whether it states an expectation that is not known. */
  readonly expectsUnknown: boolean;
  /** Tells a caller that waits for it to send the body. */
  readonly askBody: () => void;
}

/** What a listener does with connections and requests. */
export interface ServerHandler {
  readonly handleCall: (call: ServerCall) => void;
  readonly handleConnection?: (socket: Socket) => void;
  /**
   * Called when nothing more is read of a connection; returns whether it ends with
   * an answer that is under way.
   */
  readonly handleReadEnd?: (socket: Socket) => boolean;
  /** Counts further sockets that count as connections of the listener. */
  readonly countFurtherSockets?: () => number;
}

/** Builds the server of a listener. */
export type BuildServer = (
  listener: Listener,
  handler: ServerHandler,
) => BoundedServer;

/** A connection whose caller has not taken all that was written. */
type UnreadUse = UnreadConnection & {readonly connection: ClientConnection};

/**
 * An HTTP server that bounds its connections, what each of them sends ahead, and
 * the memory of all open requests.
 */
export class BoundedServer {
  private readonly server: http.Server;
  private readonly connections = new Map<Socket, ClientConnection>();
  /** Requests behind others of their connections. */
  private requestsAhead = 0;
  private bounds: ReaderBounds = {
    maxHeadBytes: maxHeaderBytes,
    maxLeftBytes: maxHeaderBytes,
  };

  constructor(
    private readonly listener: Listener,
    private readonly limits: ListenerLimits,
    private readonly parts: ServerParts,
    private readonly handler: ServerHandler,
  ) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: 0,
      connectionsCheckingInterval: connectionsCheckMilliseconds,
      noDelay: true,
      // The library would answer without counting the request as open.
      requireHostHeader: false,
    });
    this.setTimeouts(defaultHeadMilliseconds, defaultIdleMilliseconds);
    const accept = (
      message: http.IncomingMessage,
      response: http.ServerResponse,
      expectsUnknown: boolean,
      askBody = () => {},
    ) => this.accept({message, response, expectsUnknown, askBody});
    this.server.on('request', (message, response) => {
      accept(message, response, false);
    });
    this.server.on('checkContinue', (message, response) => {
      accept(message, response, false, () => response.writeContinue());
    });
    this.server.on('checkExpectation', (message, response) => {
      accept(message, response, true);
    });
    this.server.on('connection', (socket: Socket) => this.addSocket(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.connections.get(socket as Socket)?.reader.dropRest();
      this.closeFaulty(socket as Socket, error.code ?? '');
    });
  }

  /** Starts listening. */
  open(address: Address): Promise<void> {
    return openServer(this.server, address);
  }

  /** Bounds the heads and bodies that arrive from now on. */
  setBounds(bounds: ReaderBounds): void {
    this.bounds = bounds;
  }

  /** Sets how long a head may take, and a connection may be idle. */
  setTimeouts(headMilliseconds: number, idleMilliseconds: number): void {
    this.server.headersTimeout = headMilliseconds;
    this.server.keepAliveTimeout = idleMilliseconds;
  }

  /** Drops what comes on a connection from now on. */
  dropRest(socket: Socket): void {
    this.connections.get(socket)?.reader.dropRest();
  }

  /**
   * Makes room for the connection of a request to its endpoint; returns false if there
   * is none and no connection may be closed.
   */
  makeRoom(): boolean {
    return this.makeRoomFor(RoomFor.Request, 0);
  }

  /** Closes connections whose answers are not read, where these exceed a bound. */
  closeUnread(): void {
    const now = this.parts.getNow();
    const unread: UnreadUse[] = [];
    for (const connection of this.connections.values()) {
      const unwrittenBytes = updateUnread(connection, now);
      const {unreadSince} = connection;
      if (unreadSince === undefined) continue;
      unread.push({connection, unwrittenBytes, unreadSince});
    }
    for (const {connection} of chooseUnread(unread, this.parts.unreadBytes)) {
      this.closeConnection(connection, Bound.Unread);
    }
  }

  /** Stops listening; connections stay open. */
  closeListener(): void {
    // The HTTP server would also destroy connections whose answer is not written.
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes the listener and all connections. The library closes connections
   * whose answer has been ended as idle ones, written out or not.
   */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private addSocket(socket: Socket): void {
    const {spareConnections} = this.limits;
    if (!this.makeRoomFor(RoomFor.Connection, spareConnections)) {
      this.record(Bound.Full, Counter.CallersTurnedAway);
      socket.destroy();
      return;
    }
    const {getNow} = this.parts;
    const connection: ClientConnection = {
      socket,
      reader: new ConnectionReader(socket, {
        getBounds: () => this.bounds,
        canTake: () => this.canTake(connection),
        setHeld: bytes => this.setAheadBytes(connection, bytes),
        handleFault: fault => this.closeFaulty(socket, fault),
      }),
      requestBytes: 0,
      aheadBytes: 0,
      requestCount: 0,
      lastRequestAt: getNow(),
      responses: new Set(),
      idleSince: getNow(),
      unreadSince: undefined,
      takenBytes: 0,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => this.removeSocket(connection));
    this.handler.handleConnection?.(socket);
  }

  private makeRoomFor(roomFor: RoomFor, spare: number): boolean {
    const further = this.handler.countFurtherSockets?.() ?? 0;
    const {connections} = this.limits;
    if (this.connections.size + further < connections) return true;
    const now = this.parts.getNow();
    const chosen = chooseClosed(this.listUses(), now, roomFor);
    if (chosen === undefined) {
      return this.connections.size + further < connections + spare;
    }
    this.closeConnection(chosen.connection, Bound.Evicted);
    return true;
  }

  private removeSocket(connection: ClientConnection): void {
    if (!this.connections.delete(connection.socket)) return;
    this.parts.turns.remove(connection.reader.readOn);
    this.requestsAhead -= Math.max(0, connection.responses.size - 1);
    this.setRequestBytes(connection, 0);
    this.setAheadBytes(connection, 0);
  }

  private closeConnection(connection: ClientConnection, bound: Bound): void {
    this.record(bound, Counter.CallersClosed);
    connection.socket.destroy();
    this.removeSocket(connection);
  }

  private *listUses(): Iterable<
    ConnectionUse & {connection: ClientConnection}
  > {
    for (const connection of this.connections.values()) {
      yield {connection, ...describeUse(connection)};
    }
  }

  private canTake(connection: ClientConnection): boolean {
    const {turns, requests} = this.parts;
    const {responses, requestBytes, reader} = connection;
    const step = decideReading({
      openRequests: responses.size,
      requestsAhead: this.requestsAhead,
      maxRequestsAhead: this.limits.requestsAhead,
      hasMemory: () =>
        requests.canSet(requestBytes, requestBytes + minRequestBytes),
      takeTurn: () => turns.take(),
    });
    if (step === ReadingStep.Wait) {
      this.record(Bound.RequestsAhead, Counter.CallersPaused);
    }
    if (step === ReadingStep.NextTurn) turns.add(reader.readOn);
    return step === ReadingStep.Take;
  }

  private accept(call: Omit<ServerCall, 'hasMemory'>): void {
    const {message, response} = call;
    const connection = this.connections.get(message.socket);
    if (connection === undefined) return;
    connection.reader.startMessage(message, response);
    const bytes = computeRequestBytes(message);
    const hasMemory = this.setRequestBytes(
      connection,
      connection.requestBytes + bytes,
    );
    connection.requestCount += 1;
    connection.lastRequestAt = this.parts.getNow();
    connection.responses.add(response);
    if (connection.responses.size > 1) this.requestsAhead += 1;
    response.once('close', () => {
      this.removeResponse(connection, response);
      if (hasMemory) this.releaseWhole(connection, message, bytes);
    });
    this.handler.handleCall({...call, hasMemory});
    if (hasMemory) return;
    this.record(Bound.RequestMemory, undefined);
    // The parser keeps the message until its connection is closed.
    message.rawHeaders = [];
    message.headers = {};
  }

  /** Gives back the bytes of an answered request once its body has ended too. */
  private releaseWhole(
    connection: ClientConnection,
    message: http.IncomingMessage,
    bytes: number,
  ): void {
    const release = () => {
      if (!this.connections.has(connection.socket)) return;
      this.setRequestBytes(connection, connection.requestBytes - bytes);
    };
    if (message.complete) release();
    else message.once('close', release);
  }

  private removeResponse(
    connection: ClientConnection,
    response: http.ServerResponse,
  ): void {
    if (!this.connections.has(connection.socket)) return;
    connection.responses.delete(response);
    if (connection.responses.size > 0) this.requestsAhead -= 1;
    else connection.idleSince = this.parts.getNow();
    const {reader} = connection;
    if (reader.isHolding()) this.parts.turns.add(reader.readOn);
  }

  private setRequestBytes(
    connection: ClientConnection,
    bytes: number,
  ): boolean {
    const isSet = this.parts.requests.set(connection.requestBytes, bytes);
    if (isSet) connection.requestBytes = bytes;
    return isSet;
  }

  private setAheadBytes(connection: ClientConnection, bytes: number): boolean {
    const isOpen = this.connections.has(connection.socket);
    if (!isOpen && bytes > 0) return true; // It was closed while it was read.
    const isSet = this.parts.ahead.set(connection.aheadBytes, bytes);
    if (isSet) connection.aheadBytes = bytes;
    return isSet;
  }

  /** Ends a connection of which nothing more is read. */
  private closeFaulty(socket: Socket, code: string): void {
    // Bytes written now would become part of the answer that is under way.
    if (this.handler.handleReadEnd?.(socket) === true) return;
    const isAnswered = code === ReadFault.BodyTooLarge;
    if (isAnswered || !socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const head = faultHeads[code] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${head}\r\nConnection: close\r\n\r\n`);
  }

  private record(bound: Bound, counter: Counter | undefined): void {
    const {metrics, refusals} = this.parts;
    if (counter !== undefined) metrics.count(counter);
    refusals.record(GatewayEvent.BoundReached, this.listener, bound, {
      listener: this.listener,
      connections: this.connections.size,
      requestsAhead: this.requestsAhead,
    });
  }
}
