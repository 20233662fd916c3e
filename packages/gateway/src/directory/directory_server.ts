import http from 'node:http';
import type {Address} from '@zinniaspindle/shared';
import {openServer} from '../open_server.js';
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

/**
 * Serves the directory of caller addresses, the readiness check and metrics.
 */
export class DirectoryServer {
  private readonly servers: http.Server[] = [];

  constructor(
    private readonly codec: DirectoryCodec,
    private readonly view: DirectoryView,
  ) {}

  /** Listens on an address; every address serves the same routes. */
  open(address: Address): Promise<void> {
    const server = http.createServer((request, response) => {
      this.handle(request, response);
    });
    this.servers.push(server);
    return openServer(server, address);
  }

  /** Stops listening. */
  close(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    response.on('error', () => undefined); // The caller disconnected.
    if (this.codec.isReadyCall(request)) {
      response.writeHead(this.view.isReady() ? 200 : 503, {
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    if (this.codec.isDirectoryCall(request)) return this.answer(response);
    if (request.url === '/metrics') {
      const text = this.view.renderMetrics();
      response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
      response.end(text);
      return;
    }
    response.writeHead(404, {'Content-Length': 0});
    response.end();
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
