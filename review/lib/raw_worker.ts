import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';

/** A request as it came on a channel. */
export interface WorkerRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** The value of a header; empty for none. */
  readonly getHeader: (name: string) => string;
  readonly socket: Socket;
}

const headEnd = '\r\n\r\n';

/** Parses the head of a request. */
function parseHead(head: string, socket: Socket): WorkerRequest {
  const [first = '', ...lines] = head.split('\r\n');
  const [method = '', path = ''] = first.split(' ');
  const headers = new Map(
    lines.map(line => {
      const at = line.indexOf(':');
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
  const getHeader = (name: string) => headers.get(name) ?? '';
  return {id: getHeader('attempt-id'), method, path, getHeader, socket};
}

/**
 * A worker that writes the bytes of its answers itself. It serves one request on
 * a channel, as the gateway asks for with `Connection: close`.
 */
export class RawWorker {
  private readonly server: net.Server;
  private readonly sockets = new Set<Socket>();
  readonly bornAt = Date.now() - 60_000;

  constructor(
    readonly id: string,
    private readonly service: string,
    /** Answers a request that has this worker's id. */
    private readonly handle: (request: WorkerRequest) => void,
  ) {
    this.server = net.createServer(socket => this.accept(socket));
  }

  /** Starts to listen on a free port. */
  async start(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
  }

  /** The address that its entry names. */
  getAddress(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Describes the worker for the store. */
  describe(): object {
    return {
      service: this.service,
      address: this.getAddress(),
      zone: 'akl-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: this.bornAt,
    };
  }

  /** Ends all channels. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      const end = text.indexOf(headEnd);
      if (end === -1) return;
      const head = parseHead(text.slice(0, end), socket);
      const bodyBytes = Number(head.getHeader('content-length'));
      if (text.length < end + headEnd.length + bodyBytes) return;
      text = '';
      this.answer(head);
    });
  }

  private answer(request: WorkerRequest): void {
    const {id, socket} = request;
    if (request.path === '/health') {
      socket.end(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\n\r\n`);
    } else if (request.path === '/api/report') {
      const body = JSON.stringify({
        ...{busy: false, sequence: 0, queued: 0, running: 0, kvUsed: 0},
        ...{kvTotal: 0, handles: 0, born: this.bornAt},
      });
      const head = `HTTP/1.1 200 OK\r\nContent-Type: application/json`;
      socket.end(`${head}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    } else if (request.getHeader('expect-instance') !== this.id) {
      const head = `HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${id}`;
      socket.end(
        `${head}\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
    } else this.handle(request);
  }
}
