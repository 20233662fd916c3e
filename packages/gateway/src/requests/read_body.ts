import type http from 'node:http';
import {Result} from 'true-myth';
import {FailureReason} from './failure.js';

/** Why reading a body failed. */
export type BodyFailure =
  FailureReason.BodyTooLarge | FailureReason.BodyTimeout;

/** Reads a whole body; undefined when the caller disconnects meanwhile. */
export function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  idleMilliseconds: number,
): Promise<Result<Buffer, BodyFailure> | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => {
      resolve(Result.err(FailureReason.BodyTimeout));
    }, idleMilliseconds);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      timer.refresh();
      if (bytes <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      clearTimeout(timer);
      request.pause();
      resolve(Result.err(FailureReason.BodyTooLarge));
    });
    request.on('end', () => {
      clearTimeout(timer);
      resolve(
        Result.ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)),
      );
    });
    request.on('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
  });
}
