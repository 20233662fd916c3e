import net, {type Socket} from 'node:net';

/** The link of one gateway to a worker, which can be cut. */
export class WorkerLink {
  private readonly sockets = new Set<Socket>();
  private server: net.Server | undefined;
  private port = 0;

  private constructor(private readonly target: string) {}

  static async open(target: string): Promise<WorkerLink> {
    const link = new WorkerLink(target);
    await link.heal();
    return link;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Resets the open channels, and refuses new ones until `heal`. */
  cut(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  async heal(): Promise<void> {
    const server = net.createServer({allowHalfOpen: true});
    server.on('connection', near => this.accept(near));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, '127.0.0.1', resolve);
    });
    this.server = server;
    const address = server.address();
    if (typeof address === 'object') this.port = address?.port ?? 0;
  }

  private accept(near: Socket): void {
    const [host, port] = this.target.split(':');
    const far = net.connect({host, port: Number(port), allowHalfOpen: true});
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      this.sockets.add(from);
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
      from.pipe(to);
    }
  }
}
