import net from 'node:net';
import {encodeMessage} from './message_codec.js';
import type {PeerMessage} from './messages.js';

/** A peer that is up accepts within a few ms; a lost packet costs a second. */
const connectMilliseconds = 1500;
const reconnectMilliseconds = 700;
/** A peer that does not read this much is cut off and asked anew. */
const maxUnsentBytes = 1024 * 1024;

/** An outgoing connection to one peer, opened again whenever it breaks. */
export class PeerLink {
  private socket: net.Socket | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private isOpen = false;
  private isClosed = false;

  constructor(
    private readonly host: string,
    private readonly port: number,
    /** Makes the first message of a connection. */
    private readonly makeHello: () => PeerMessage,
  ) {
    this.open();
  }

  /** Sends a message if the connection is open; it is dropped otherwise. */
  send(frame: Buffer): void {
    const {socket} = this;
    if (socket === undefined || !this.isOpen) return;
    if (socket.writableLength > maxUnsentBytes) {
      socket.destroy();
      return;
    }
    socket.write(frame);
  }

  /** Closes the connection for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.socket?.destroy();
  }

  private open(): void {
    const socket = net.connect({host: this.host, port: this.port});
    this.socket = socket;
    socket.setNoDelay(true);
    const timer = setTimeout(() => socket.destroy(), connectMilliseconds);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.isOpen = true;
      socket.write(encodeMessage(this.makeHello()));
    });
    socket.on('data', () => undefined); // Peers answer on their own links.
    socket.on('error', () => undefined); // Followed by close.
    socket.on('close', () => {
      clearTimeout(timer);
      this.isOpen = false;
      if (this.isClosed) return;
      this.retryTimer = setTimeout(() => {
        this.open();
      }, reconnectMilliseconds);
    });
  }
}
