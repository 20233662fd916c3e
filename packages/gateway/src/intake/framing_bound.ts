import type http from 'node:http';
import type {Duplex} from 'node:stream';
import {
  checkItem,
  IntakeKind,
  type IntakeExcess,
} from '@zinniaspindle/decisions';

/** Bytes that frame one byte of a body at most, as in chunks of one byte each. */
const maxFramePerByte = 16;

/**
 * Bounds the bytes of an answer that are no part of its body. The parser takes some
 * of them without end and gives nothing of them, such as the size of a chunk.
 */
export class FramingBound {
  private bodyBytes = 0;
  private receivedBytes = 0;

  constructor(
    request: http.ClientRequest,
    handleExcess: (excess: IntakeExcess) => void,
  ) {
    const accept = (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
      const rest = this.receivedBytes - maxFramePerByte * this.bodyBytes;
      const excess = checkItem(IntakeKind.Framing, rest);
      if (excess !== undefined) handleExcess(excess);
    };
    request.once('socket', (socket: Duplex) => {
      socket.on('data', accept);
      request.once('close', () => socket.off('data', accept));
    });
  }

  /** Counts bytes of the body. */
  addBody(bytes: number): void {
    this.bodyBytes += bytes;
  }
}
