import net from 'node:net';
import type {Duplex} from 'node:stream';
import {parseAddress} from '@zinniaspindle/shared';
import {Result} from 'true-myth';

/** What shows that an endpoint has ended a connection in the regular way. */
export enum EndProof {
  /** The end, if a write after it succeeds. */
  Write = 'write',
  /** The end: the peer that passes the connection on confirms it. */
  Peer = 'peer',
  /** Nothing: the connection also ends when the peer does. */
  None = 'none',
}

/** A connection to an endpoint that is established. */
export interface EndpointConnection {
  readonly socket: Duplex & {readonly bytesRead: number};
  readonly endProof: EndProof;
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
    handle(Result.ok({socket, endProof: EndProof.Write, relay: undefined}));
  });
  return () => {
    if (isDone) return;
    isDone = true;
    socket.destroy();
  };
}
