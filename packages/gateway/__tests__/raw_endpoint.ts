import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {KeptConnections} from '../src/links/kept_connections.js';
import {Metrics} from '../src/log/metrics.js';

/** A request as it arrived. */
export interface RawRequest {
  readonly socket: net.Socket;
  /** Connections and requests are counted from 1. */
  readonly connection: number;
  /** Number of the request on its connection. */
  readonly request: number;
  readonly text: string;
  readonly attemptId: string;
}

/** Answers requests byte by byte as a test says, on connections that stay open. */
export class RawEndpoint {
  connections = 0;
  /** Connections that are open. */
  readonly sockets = new Set<net.Socket>();
  readonly requests: RawRequest[] = [];
  private readonly server = net.createServer(socket => this.accept(socket));

  constructor(public answer: (request: RawRequest) => void) {}

  async open(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: net.Socket): void {
    this.connections += 1;
    const connection = this.connections;
    let request = 0;
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      const text = chunk.toString();
      if (text.trim() === '') return;
      request += 1;
      const [, attemptId = ''] = /attempt-id: (\S+)/i.exec(text) ?? [];
      const received = {socket, connection, request, text, attemptId};
      this.requests.push(received);
      this.answer(received);
    });
  }
}

/** Connections kept to a single endpoint, with their counters. */
export class KeptBench {
  readonly metrics = new Metrics();
  bornAt = 1;
  readonly kept: KeptConnections;

  constructor(readonly address: string) {
    this.kept = new KeptConnections({
      findEndpoint: () => ({address, bornAt: this.bornAt, isWanted: true}),
      recordReached: () => undefined,
      metrics: this.metrics,
      getNow: () => performance.now(),
    });
  }

  makeKeeper(request: string) {
    return this.kept.makeKeeper(this.getTarget(), request);
  }

  makeReportKeeper() {
    return this.kept.makeReportKeeper(this.getTarget());
  }

  private getTarget() {
    const {address, bornAt} = this;
    return {id: 'e1', address, bornAt};
  }

  readCount(name: string): number {
    const pattern = new RegExp(`connections_${name}_total (\\d+)`);
    return Number(pattern.exec(this.metrics.render())![1]);
  }
}
