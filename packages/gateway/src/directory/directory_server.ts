import type http from 'node:http';
import type {Listener} from '@zinniaspindle/decisions';
import type {Address} from '@zinniaspindle/shared';
import type {
  BoundedServer,
  BuildServer,
  ServerCall,
} from '../connections/bounded_server.js';
import type {DirectoryCodec} from '../ports/index.js';

/**
 * How long callers may use an answer, in seconds. Some use it three times as
 * long, so a planned stop must take longer than that and still leave time to
 * finish the requests in flight.
 */
export const directoryTtlSeconds = 1;

/** Source of the data that the directory server answers with. */
export interface DirectoryView {
  readonly listAddresses: () => readonly string[];
  readonly isReady: () => boolean;
  readonly renderMetrics: () => string;
}

/** Bounds on what a client sends, since calls have small heads and no body. */
const maxHeadBytes = 16 * 1024;
const headMilliseconds = 5000;
const idleMilliseconds = 5000;

/**
 * Serves the directory of caller addresses, the readiness check and metrics.
 */
export class DirectoryServer {
  private readonly servers: BoundedServer[] = [];
  private metrics: string | undefined;

  constructor(
    private readonly codec: DirectoryCodec,
    private readonly view: DirectoryView,
    private readonly buildServer: BuildServer,
  ) {}

  /** Listens on an address; every address serves the same routes. */
  open(listener: Listener, address: Address): Promise<void> {
    const server = this.buildServer(listener, {
      handleCall: call => this.handle(call),
    });
    server.setTimeouts(headMilliseconds, idleMilliseconds);
    server.setBounds({maxHeadBytes, maxLeftBytes: maxHeadBytes});
    this.servers.push(server);
    return server.open(address);
  }

  /** Closes connections of clients that leave too much of their answers unread. */
  closeUnread(): void {
    for (const server of this.servers) server.closeUnread();
  }

  /** Stops listening. */
  close(): void {
    for (const server of this.servers) server.close();
  }

  private handle({message: request, response, hasMemory}: ServerCall): void {
    response.on('error', () => undefined); // The caller disconnected.
    if (!hasMemory) {
      response.writeHead(503, {'Content-Length': 0, Connection: 'close'});
      response.end();
      return;
    }
    if (this.codec.isReadyCall(request)) {
      response.writeHead(this.view.isReady() ? 200 : 503, {
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    if (this.codec.isDirectoryCall(request)) return this.answer(response);
    if (request.url === '/metrics') {
      const text = this.renderMetrics();
      response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
      response.end(text);
      return;
    }
    response.writeHead(404, {'Content-Length': 0});
    response.end();
  }

  /** Renders the metrics once a turn of the loop. */
  private renderMetrics(): string {
    if (this.metrics === undefined) {
      this.metrics = this.view.renderMetrics();
      setImmediate(() => (this.metrics = undefined));
    }
    return this.metrics;
  }

  private answer(response: http.ServerResponse): void {
    const addresses = this.view.listAddresses();
    const body = this.codec.encodeDirectoryAnswer({
      addresses,
      lifetimeSeconds: directoryTtlSeconds,
    });
    response.writeHead(addresses.length > 0 ? 200 : 503, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    response.end(body);
  }
}
