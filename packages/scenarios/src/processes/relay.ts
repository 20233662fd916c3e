import net from 'node:net';
import type {AddressInfo} from 'node:net';

const loopback = '127.0.0.1';

/** A link that a scenario can cut: a port that passes bytes to another. */
export class Relay {
  private readonly sockets = new Set<net.Socket>();
  private isCut = false;

  private constructor(
    private readonly server: net.Server,
    private readonly target: string,
  ) {
    server.on('connection', socket => this.joinTarget(socket));
  }

  /** Starts a relay to host:port. */
  static start(target: string): Promise<Relay> {
    const server = net.createServer();
    const relay = new Relay(server, target);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, loopback, () => resolve(relay));
    });
  }

  /** host:port to connect to in the target's place. */
  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `${loopback}:${port}`;
  }

  /** Cuts the link, or mends it; a cut closes every connection. */
  setCut(isCut: boolean): void {
    this.isCut = isCut;
    if (!isCut) return;
    for (const socket of this.sockets) socket.destroy();
  }

  stop(): Promise<void> {
    this.setCut(true);
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private joinTarget(inner: net.Socket): void {
    if (this.isCut) {
      inner.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const outer = net.connect(Number(port), host);
    this.addSocket(inner, outer);
    this.addSocket(outer, inner);
    inner.pipe(outer);
    outer.pipe(inner);
  }

  private addSocket(socket: net.Socket, other: net.Socket): void {
    this.sockets.add(socket);
    // The other side sees the end of the connection.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      other.destroy();
    });
  }
}
