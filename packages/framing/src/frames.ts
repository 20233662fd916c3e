import {describeError} from '@zinniaspindle/shared';
import {addExtension, Decoder, Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import {makePeerError, PeerErrorCode} from './errors.js';
import type {PeerError} from './errors.js';
import {PendingBytes} from './pending_bytes.js';

/** Size of the big-endian length prefix of each frame. */
const lengthBytes = 4;

/** Maximum size of a frame's body; the connection is closed if it is larger. */
export const maxFrameBytes = 8 * 1024 * 1024;

const codecOptions = {useRecords: false, mapsAsObjects: true};
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** Tags of large integers, whose decoding takes the square of their length. */
const largeIntegerTags = [2, 3];

class LargeInteger {}

function refuseLargeInteger(): never {
  throw new Error('large integers are not supported');
}

for (const tag of largeIntegerTags) {
  addExtension({
    Class: LargeInteger,
    tag,
    encode: refuseLargeInteger,
    decode: refuseLargeInteger,
  });
}

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
  private readonly pending = new PendingBytes();

  private frameCount = 0;

  /** Gives the most bytes that a frame may have, by its number from 0. */
  constructor(
    private readonly getMaxBytes: (frame: number) => number = getMaxFrameBytes,
  ) {}

  /** Accepts a chunk and returns the messages that it completes. */
  accept(chunk: Buffer): Result<unknown[], PeerError> {
    this.pending.append(chunk);
    const messages: unknown[] = [];
    let bytes = this.pending.toBuffer();
    for (;;) {
      if (bytes.length < lengthBytes) break;
      const length = bytes.readUInt32BE(0);
      const limit = this.getMaxBytes(this.frameCount);
      if (length > limit) return Result.err(makeTooLongError(length, limit));
      const end = lengthBytes + length;
      if (bytes.length < end) break;
      const message = decodeFrame(bytes.subarray(lengthBytes, end));
      if (message.isErr) return Result.err(message.error);
      messages.push(message.value);
      this.frameCount += 1;
      bytes = bytes.subarray(end);
    }
    if (messages.length === 0) return Result.ok(messages);
    // Messages may refer to the bytes that they came in, which stay as they are.
    this.pending.drop();
    if (bytes.length > 0) this.pending.append(bytes);
    return Result.ok(messages);
  }
}

function getMaxFrameBytes(): number {
  return maxFrameBytes;
}

function decodeFrame(body: Buffer): Result<unknown, PeerError> {
  try {
    return Result.ok(decodeBody(body));
  } catch (error) {
    const detail = `frame of ${body.length} bytes: ${describeError(error)}`;
    return Result.err(makePeerError(PeerErrorCode.Malformed, detail, error));
  }
}

function makeTooLongError(length: number, limit: number): PeerError {
  const detail = `frame of ${length} bytes, limit is ${limit}`;
  return makePeerError(PeerErrorCode.TooLong, detail);
}
