import net from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Instant} from '@zinniaspindle/shared';
import {encodeMessage} from './message_codec.js';
import type {PeerMessage} from './messages.js';

/**
 * A live peer accepts within a few ms; retransmitting a lost packet takes 1 s.
 */
const connectMilliseconds = 1500;
const reconnectMilliseconds = 700;
/** Time for the greeting on a new connection to reach the peer. */
const settleMilliseconds = 500;
/** A link with more unsent bytes is closed and opened again. */
const maxUnsentBytes = 1024 * 1024;

/** An outgoing connection to one peer that reconnects whenever it breaks. */
export class PeerLink {
  private socket: net.Socket | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private isOpen = false;
  private openedAt: Instant = -Infinity;
  private isClosed = false;

  constructor(
    private readonly host: string,
    private readonly port: number,
    /** Makes the first message of each connection. */
    private readonly makeHello: () => PeerMessage,
  ) {
    this.open();
  }

  /** Sends an encoded message, or drops it if the connection is not open. */
  send(frame: Buffer): void {
    const {socket} = this;
    if (socket === undefined || !this.isOpen) return;
    if (socket.writableLength > maxUnsentBytes) {
      socket.destroy();
      return;
    }
    socket.write(frame);
  }

  /** Tells whether the connection has been open for long enough to be silent. */
  canOpenAgain(): boolean {
    const openFor = performance.now() - this.openedAt;
    return !this.isClosed && this.isOpen && openFor > settleMilliseconds;
  }

  /** Replaces the open connection by a new one. */
  openAgain(): void {
    const {socket} = this;
    this.open();
    socket?.destroy();
  }

  /** Connects at once unless the connection is open: the peer can be reached. */
  openNow(): void {
    if (this.isClosed || this.isOpen) return;
    clearTimeout(this.retryTimer);
    this.openAgain();
  }

  /** Closes the connection and stops reconnecting. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.socket?.destroy();
  }

  private open(): void {
    const socket = net.connect({host: this.host, port: this.port});
    this.socket = socket;
    this.isOpen = false;
    socket.setNoDelay(true);
    const timer = setTimeout(() => socket.destroy(), connectMilliseconds);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.isOpen = true;
      this.openedAt = performance.now();
      socket.write(encodeMessage(this.makeHello()));
    });
    socket.on('data', () => undefined); // Peers reply over their own links.
    socket.on('error', () => undefined); // 'close' follows.
    socket.on('close', () => {
      clearTimeout(timer);
      if (this.socket !== socket) return;
      this.isOpen = false;
      if (this.isClosed) return;
      this.retryTimer = setTimeout(() => {
        this.open();
      }, reconnectMilliseconds);
    });
  }
}
