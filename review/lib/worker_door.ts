import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';

const doorMode = 'door';
/** New channels that may wait until the worker takes them. */
const queuedChannels = 1;

/** What the process of a door is told. */
interface BusyMessage {
  readonly busyMilliseconds: number;
}

/**
 * The listener of a worker, as a process of its own: it passes channels on, and
 * takes none while it is busy. Then its queue of new channels gets full, and the
 * kernel drops further opening packets.
 */
export class WorkerDoor {
  private constructor(
    private readonly child: ChildProcess,
    readonly address: string,
  ) {}

  /** Opens a door in front of a port. */
  static async open(targetPort: number): Promise<WorkerDoor> {
    const child = fork(process.argv[1]!, [doorMode, String(targetPort)]);
    const [port] = (await once(child, 'message')) as [number];
    return new WorkerDoor(child, `127.0.0.1:${port}`);
  }

  /** Keeps the door from taking channels for a time. */
  sendBusy(busyMilliseconds: number): void {
    this.child.send({busyMilliseconds} satisfies BusyMessage);
  }

  /** Ends the process. */
  close(): void {
    this.child.kill('SIGKILL');
  }
}

/** Runs the door, if this process is one; returns whether it is. */
export function runDoor(): boolean {
  const [, , mode, target] = process.argv;
  if (mode !== doorMode) return false;
  const server = net.createServer({allowHalfOpen: true}, near => {
    const far = net.connect({
      host: '127.0.0.1',
      port: Number(target),
      allowHalfOpen: true,
    });
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.pipe(far);
    far.pipe(near);
    near.on('error', () => far.resetAndDestroy());
    far.on('error', () => near.resetAndDestroy());
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroy());
  });
  server.listen({host: '127.0.0.1', port: 0, backlog: queuedChannels}, () => {
    process.send!((server.address() as AddressInfo).port);
  });
  const cell = new Int32Array(new SharedArrayBuffer(4));
  process.on('message', ({busyMilliseconds}: BusyMessage) => {
    Atomics.wait(cell, 0, 0, busyMilliseconds);
  });
  process.on('disconnect', () => process.exit(0));
  return true;
}
