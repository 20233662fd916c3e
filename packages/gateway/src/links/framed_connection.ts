import type net from 'node:net';
import {Duplex} from 'node:stream';

/** Each frame begins with the number of its bytes, big-endian. */
const lengthBytes = 4;

/** A frame without bytes: the endpoint has ended its connection. */
export const endFrame = Buffer.alloc(lengthBytes);

/** Encodes bytes of an endpoint as the beginning of a frame, sent before them. */
export function encodeFrameLength(bytes: Buffer): Buffer {
  const head = Buffer.alloc(lengthBytes);
  head.writeUInt32BE(bytes.length);
  return head;
}

/**
 * A connection to an endpoint through a peer that frames the endpoint's bytes. It
 * ends only if the peer says that the endpoint has ended its connection; else, as
 * when the peer itself ends, it fails like a reset connection.
 */
export class FramedConnection extends Duplex {
  /** Bytes of the length of the next frame. */
  private head = Buffer.alloc(0);
  /** Bytes of the current frame that have not come yet. */
  private missing = 0;
  private hasEnd = false;

  constructor(private readonly socket: net.Socket) {
    super({allowHalfOpen: true});
    socket.on('data', (chunk: Buffer) => this.accept(chunk));
    socket.on('error', error => this.destroy(error));
    socket.on('end', () => this.checkEnd());
    socket.on('close', () => this.checkEnd());
    this.on('finish', () => socket.end());
    this.on('close', () => socket.destroy());
  }

  /** Bytes that have come, frames included. */
  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.socket.write(chunk, done);
  }

  private accept(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0 && !this.hasEnd) {
      rest = this.missing > 0 ? this.readBytes(rest) : this.readHead(rest);
    }
  }

  private readBytes(chunk: Buffer): Buffer {
    const bytes = chunk.subarray(0, this.missing);
    this.missing -= bytes.length;
    if (!this.push(bytes)) this.socket.pause();
    return chunk.subarray(bytes.length);
  }

  private readHead(chunk: Buffer): Buffer {
    const wanted = lengthBytes - this.head.length;
    this.head = Buffer.concat([this.head, chunk.subarray(0, wanted)]);
    if (this.head.length === lengthBytes) {
      this.missing = this.head.readUInt32BE();
      this.head = Buffer.alloc(0);
      if (this.missing === 0) {
        this.hasEnd = true;
        this.push(null);
      }
    }
    return chunk.subarray(wanted);
  }

  private checkEnd(): void {
    if (this.hasEnd) return;
    const error = new Error('the peer ended before the endpoint did');
    this.destroy(Object.assign(error, {code: 'ECONNRESET'}));
  }
}
