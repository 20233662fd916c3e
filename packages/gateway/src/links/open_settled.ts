import {Result} from 'true-myth';
import type {
  CancelConnection,
  EndpointConnection,
  HandleConnection,
  OpenConnection,
} from './open_connection.js';

/** Longer than a round trip between data centres and the reset that follows it. */
const settleMilliseconds = 5;

/**
 * Opens a connection that is still open a few milliseconds later. An endpoint
 * with too many connections accepts further ones and resets them; a request that
 * is sent at once may have been read before the reset, one that waits has not
 * been sent.
 */
export function openSettled(
  open: OpenConnection,
  handle: HandleConnection,
): CancelConnection {
  let isDone = false;
  let timer: NodeJS.Timeout | undefined;
  let connection: EndpointConnection | undefined;
  const resolve = (result: Result<EndpointConnection, Error>): void => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    handle(result);
  };
  const cancelOpen = open(result => {
    if (result.isErr) return resolve(result);
    connection = result.value;
    const {socket} = connection;
    socket.once('error', error => resolve(Result.err(error)));
    socket.once('close', () => {
      resolve(Result.err(new Error('connection was closed when accepted')));
    });
    timer = setTimeout(() => {
      // A reset that has arrived already is read first.
      setImmediate(() => resolve(result));
    }, settleMilliseconds);
  });
  return () => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    cancelOpen();
    connection?.socket.destroy();
  };
}
