import {createServer, type Server} from 'node:net';

const loopback = '127.0.0.1';
/**
 * Below the ports that the kernel gives to outgoing connections and to servers
 * that listen on port 0, 32768 and above.
 */
const firstPort = 20_000;
const blockCount = 240;
const portsPerBlock = 50;

/** Ports that only this process gives out, while its guard listens. */
interface PortBlock {
  readonly guard: Server;
  readonly end: number;
  next: number;
}

let block: PortBlock | undefined;

/**
 * Reserves a port on loopback for a server of this process or of a child. Test
 * runs beside each other never get the same one: a process holds a block of
 * ports by listening on the first of them for as long as it lives. A port that
 * was found free by listening on it for a moment could be taken by any
 * connection before its server starts.
 */
export async function reservePort(): Promise<number> {
  for (;;) {
    if (block === undefined || block.next === block.end) {
      block = await openBlock();
    }
    const port = block.next;
    block.next += 1;
    const server = await openServer(port);
    if (server === undefined) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

async function openBlock(): Promise<PortBlock> {
  const start = Math.floor(Math.random() * blockCount);
  for (let i = 0; i < blockCount; i += 1) {
    const first = firstPort + ((start + i) % blockCount) * portsPerBlock;
    const guard = await openServer(first);
    if (guard === undefined) continue;
    guard.unref();
    return {guard, next: first + 1, end: first + portsPerBlock};
  }
  throw new Error(`all ${blockCount} blocks of ports are in use`);
}

/** Listens on a port; undefined if it is in use. */
function openServer(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, loopback, () => resolve(server));
  });
}
