import type {Socket} from 'node:net';

/**
 * Turns of the loop after which the end of a connection has been read that came
 * with the bytes before it: they are read in one turn, and the end in the next.
 */
const turns = 2;

/**
 * Tells whether a caller has closed its connection since it sent the bytes that have
 * just been read. A VM without processor time reads a request seconds after it
 * came; its caller may have left, and nothing may be sent for it any more.
 */
export async function hasLeft(socket: Socket): Promise<boolean> {
  for (let turn = 0; turn < turns; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
    if (socket.destroyed || socket.readableEnded) return true;
  }
  return false;
}
