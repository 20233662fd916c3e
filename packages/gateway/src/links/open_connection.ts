import net from 'node:net';
import {parseAddress} from '@zinniaspindle/shared';
import {Result} from 'true-myth';

/** A connection to an endpoint that is established. */
export interface EndpointConnection {
  readonly socket: net.Socket;
  /** The peer VM through which it goes; undefined for none. */
  readonly relay: string | undefined;
}

/** Receives a connection or why there is none, once. */
export type HandleConnection = (
  result: Result<EndpointConnection, Error>,
) => void;

/** Gives up a connection that is not established yet; the handler is not called. */
export type CancelConnection = () => void;

/** Opens a connection to an endpoint. */
export type OpenConnection = (handle: HandleConnection) => CancelConnection;

/** Opens a connection from this VM itself. */
export function openDirect(
  address: string,
  handle: HandleConnection,
): CancelConnection {
  const socket = net.connect({...parseAddress(address), allowHalfOpen: true});
  socket.setNoDelay(true);
  let isDone = false;
  // Stays, since an error may come before its user listens.
  socket.on('error', error => {
    if (isDone) return;
    isDone = true;
    handle(Result.err(error));
  });
  socket.once('connect', () => {
    if (isDone) return;
    isDone = true;
    handle(Result.ok({socket, relay: undefined}));
  });
  return () => {
    if (isDone) return;
    isDone = true;
    socket.destroy();
  };
}
