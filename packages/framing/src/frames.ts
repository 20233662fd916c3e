import {describeError} from '@zinniaspindle/shared';
import {Decoder, Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import {makePeerError, PeerErrorCode} from './errors.js';
import type {PeerError} from './errors.js';

/** Size of the big-endian length prefix of each frame. */
const lengthBytes = 4;

/** Maximum size of a frame's body; the connection is closed if it is larger. */
export const maxFrameBytes = 8 * 1024 * 1024;

const codecOptions = {useRecords: false, mapsAsObjects: true};
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** Encodes a value as the body of a frame. */
export function encodeBody(value: unknown): Buffer {
  return encoder.encode(value);
}

/** Decodes a value; throws if the bytes are malformed. */
export function decodeBody(bytes: Uint8Array): unknown {
  return decoder.decode(bytes) as unknown;
}

/** Encodes one message as a frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = encodeBody(message);
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return frame;
}

/** Decodes the frames of a byte stream. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Accepts a chunk and returns the messages that it completes. */
  accept(chunk: Buffer): Result<unknown[], PeerError> {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const messages: unknown[] = [];
    for (;;) {
      if (this.pending.length < lengthBytes) break;
      const length = this.pending.readUInt32BE(0);
      if (length > maxFrameBytes) return Result.err(makeTooLongError(length));
      const end = lengthBytes + length;
      if (this.pending.length < end) break;
      const message = decodeFrame(this.pending.subarray(lengthBytes, end));
      if (message.isErr) return Result.err(message.error);
      messages.push(message.value);
      this.pending = this.pending.subarray(end);
    }
    return Result.ok(messages);
  }
}

function decodeFrame(body: Buffer): Result<unknown, PeerError> {
  try {
    return Result.ok(decodeBody(body));
  } catch (error) {
    const detail = `frame of ${body.length} bytes: ${describeError(error)}`;
    return Result.err(makePeerError(PeerErrorCode.Malformed, detail, error));
  }
}

function makeTooLongError(length: number): PeerError {
  const detail = `frame of ${length} bytes, limit is ${maxFrameBytes}`;
  return makePeerError(PeerErrorCode.TooLong, detail);
}
