import net from 'node:net';
import {describeError, parseAddress} from '@zinniaspindle/shared';
import type {VmId} from '@zinniaspindle/shared';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {makePeerError, PeerErrorCode} from '@zinniaspindle/framing';
import type {PeerError} from '@zinniaspindle/framing';
import {FrameReader} from '@zinniaspindle/framing';
import {parseEnvelope, parseHello} from './messages.js';
import type {PeerEnvelope} from './messages.js';

/** What a peer server does with connections and messages. */
export interface PeerServerOptions {
  /** host:port to listen on. */
  readonly address: string;
  readonly handleMessage: (from: VmId, envelope: PeerEnvelope) => void;
  /** Hears of a connection that was closed for what it sent. */
  readonly handleBadPeer: (remote: string, error: PeerError) => void;
}

/** Accepts connections of other entry VMs until its scope closes. */
export function servePeers(
  options: PeerServerOptions,
): Effect.Effect<net.Server, PeerError, Scope.Scope> {
  const connections = new Set<net.Socket>();
  return Effect.acquireRelease(openServer(options, connections), server =>
    closeServer(server, connections),
  );
}

function openServer(
  options: PeerServerOptions,
  connections: Set<net.Socket>,
): Effect.Effect<net.Server, PeerError> {
  return Effect.callback(resume => {
    const server = net.createServer({noDelay: true}, socket => {
      connections.add(socket);
      socket.on('close', () => connections.delete(socket));
      readConnection(options, socket);
    });
    const {host, port} = parseAddress(options.address);
    server.once('error', error => {
      const detail = `${options.address}: ${describeError(error)}`;
      const code = PeerErrorCode.NotListening;
      resume(Effect.fail(makePeerError(code, detail, error)));
    });
    server.listen(port, host, () => resume(Effect.succeed(server)));
  });
}

function closeServer(
  server: net.Server,
  connections: ReadonlySet<net.Socket>,
): Effect.Effect<void> {
  return Effect.callback<void>(resume => {
    server.close(() => resume(Effect.void));
    for (const socket of connections) socket.destroy();
  });
}

function readConnection(options: PeerServerOptions, socket: net.Socket): void {
  const reader = new FrameReader();
  let from: VmId | undefined;
  const remote = `${socket.remoteAddress}:${socket.remotePort}`;
  const refuse = (error: PeerError) => {
    socket.destroy();
    options.handleBadPeer(remote, error);
  };
  socket.on('error', () => socket.destroy());
  socket.on('data', chunk => {
    const messages = reader.accept(chunk);
    if (messages.isErr) return refuse(messages.error);
    for (const message of messages.value) {
      if (from === undefined) {
        const hello = parseHello(message);
        if (hello.isErr) return refuse(hello.error);
        from = hello.value.vm;
        continue;
      }
      const envelope = parseEnvelope(message);
      if (envelope.isErr) return refuse(envelope.error);
      options.handleMessage(from, envelope.value);
    }
  });
}
