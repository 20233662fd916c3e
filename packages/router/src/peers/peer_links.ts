import net from 'node:net';
import {parseAddress} from '@zinniaspindle/shared';
import type {VmId} from '@zinniaspindle/shared';
import {encodeFrame} from '@zinniaspindle/framing';
import {peerProtocolVersion} from './messages.js';
import type {PeerEnvelope, PeerHello} from './messages.js';

/** Bytes waiting at one connection above which messages are dropped. */
const maxWaitingBytes = 16 * 1024 * 1024;

/** Milliseconds that a connection may stay unused. */
const idleMilliseconds = 60_000;

/** Milliseconds within which a connection must come about. */
const connectMilliseconds = 2_000;

/**
 * Sends messages to other entry VMs, over one connection each. Messages to a
 * VM that cannot be reached are lost; senders repeat what matters.
 */
export class PeerLinks {
  private readonly sockets = new Map<string, net.Socket>();
  private bytes = 0;

  constructor(private readonly vm: VmId) {}

  /** Returns the bytes sent to all peers since the last call. */
  takeSentBytes(): number {
    const sent = this.bytes;
    this.bytes = 0;
    return sent;
  }

  /** Sends one message to the VM at an address. */
  send(address: string, envelope: PeerEnvelope): void {
    const socket = this.sockets.get(address) ?? this.openSocket(address);
    if (socket.writableLength > maxWaitingBytes) return;
    this.writeFrame(socket, envelope);
  }

  /** Closes every connection. */
  close(): void {
    for (const socket of this.sockets.values()) socket.destroy();
    this.sockets.clear();
  }

  private openSocket(address: string): net.Socket {
    const socket = net.connect({...parseAddress(address), noDelay: true});
    this.sockets.set(address, socket);
    socket.setTimeout(connectMilliseconds);
    socket.on('connect', () => socket.setTimeout(idleMilliseconds));
    socket.on('timeout', () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.sockets.get(address) === socket) this.sockets.delete(address);
    });
    const hello: PeerHello = {version: peerProtocolVersion, vm: this.vm};
    this.writeFrame(socket, hello);
    return socket;
  }

  private writeFrame(
    socket: net.Socket,
    message: PeerEnvelope | PeerHello,
  ): void {
    const frame = encodeFrame(message);
    this.bytes += frame.length;
    socket.write(frame);
  }
}
