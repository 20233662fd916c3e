import net from 'node:net';
import {parseAddress} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {encodeMessage} from '../peers/message_codec.js';
import {makeRelayRequest, openFramed, RelayOutcome} from '../peers/messages.js';
import {FramedConnection} from './framed_connection.js';
import {
  EndProof,
  type CancelConnection,
  type HandleConnection,
} from './open_connection.js';

/** A peer that can pass connections on. */
export interface Relay {
  readonly vm: string;
  readonly peerAddress: string;
}

/** The endpoint that a connection is for, and the request or call that needs it. */
export interface RelayTarget {
  readonly id: string;
  readonly purpose: string;
}

/** Why a peer made no connection. */
export class RelayError extends Error {
  constructor(
    readonly vm: string,
    readonly outcome: RelayOutcome,
  ) {
    super(`VM ${vm}: ${outcome}`);
  }
}

const outcomes = new Set<string>(Object.values(RelayOutcome));

/**
 * Opens a connection through a peer. Its answer is one byte; what follows are
 * bytes of the endpoint, in frames unless the peer is an older build.
 */
export function openRelayed(
  {vm, peerAddress}: Relay,
  {id, purpose}: RelayTarget,
  handle: HandleConnection,
): CancelConnection {
  const {host, port} = parseAddress(peerAddress);
  const socket = net.connect({host, port, allowHalfOpen: true});
  socket.setNoDelay(true);
  let isDone = false;
  const fail = (outcome: RelayOutcome) => {
    if (isDone) return;
    isDone = true;
    socket.destroy();
    handle(Result.err(new RelayError(vm, outcome)));
  };
  // Both stay, since an error may come before its user listens.
  socket.on('error', () => fail(RelayOutcome.NoRelay));
  socket.on('close', () => fail(RelayOutcome.NoRelay));
  socket.once('connect', () => {
    const request = makeRelayRequest(id, purpose);
    socket.write(encodeMessage({...request, readsFrames: true}));
  });
  const acceptOutcome = () => {
    if (isDone) return;
    const byte = socket.read(1) as Buffer | null;
    if (byte === null) return;
    socket.off('readable', acceptOutcome);
    const text = byte.toString('latin1');
    if (text === openFramed) {
      isDone = true;
      const framed = new FramedConnection(socket);
      handle(Result.ok({socket: framed, endProof: EndProof.Peer, relay: vm}));
      return;
    }
    const outcome = outcomes.has(text) ? text : RelayOutcome.NoRelay;
    if (outcome !== (RelayOutcome.Open as string)) {
      return fail(outcome as RelayOutcome);
    }
    isDone = true;
    handle(Result.ok({socket, endProof: EndProof.None, relay: vm}));
  };
  socket.on('readable', acceptOutcome);
  socket.on('end', () => fail(RelayOutcome.NoRelay));
  return () => {
    if (isDone) return;
    isDone = true;
    socket.destroy();
  };
}
