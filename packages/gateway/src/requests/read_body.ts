import type http from 'node:http';
import {IntakeKind} from '@zinniaspindle/decisions';
import {PendingBytes} from '@zinniaspindle/framing';
import {Result} from 'true-myth';
import type {HeldBytes} from '../intake/intake.js';
import {FailureReason} from './failure.js';

/** Why reading a body failed. */
export type BodyFailure =
  | FailureReason.BodyTooLarge
  | FailureReason.BodiesTooMany
  | FailureReason.BodyTimeout;

/** What bounds the reading of a body. */
export interface BodyBounds {
  readonly maxBytes: number;
  readonly idleMilliseconds: number;
  /** Time that is left until the deadline of the request. */
  readonly leftMilliseconds: number;
  /** Counts the body as long as it is kept; whoever drops it releases this. */
  readonly held: HeldBytes;
  /** Called with each piece that is kept. */
  readonly handleChunk: (chunk: Buffer) => void;
}

/** Reads a whole body; undefined when the caller disconnects meanwhile. */
export function readBody(
  request: http.IncomingMessage,
  bounds: BodyBounds,
): Promise<Result<Buffer, BodyFailure> | undefined> {
  const {maxBytes, idleMilliseconds, leftMilliseconds, held} = bounds;
  return new Promise(resolve => {
    const pending = new PendingBytes();
    const stopReading = (result: Result<Buffer, BodyFailure> | undefined) => {
      clearTimeout(timer);
      clearTimeout(deadlineTimer);
      request.off('data', accept);
      request.off('end', acceptEnd);
      request.off('close', handleClose);
      resolve(result);
    };
    const fail = (reason: BodyFailure) => {
      pending.drop();
      held.release();
      stopReading(Result.err(reason));
    };
    const accept = (chunk: Buffer) => {
      timer.refresh();
      const bytes = pending.length + chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        return fail(FailureReason.BodyTooLarge);
      }
      if (held.set(IntakeKind.CallerBody, bytes) !== undefined) {
        fail(FailureReason.BodiesTooMany);
        return dropRest(request, maxBytes - bytes, leftMilliseconds);
      }
      pending.append(chunk);
      bounds.handleChunk(chunk);
    };
    const acceptEnd = () => stopReading(Result.ok(pending.take()));
    const handleClose = () => {
      held.release();
      stopReading(undefined);
    };
    const expire = () => {
      request.pause();
      fail(FailureReason.BodyTimeout);
    };
    const timer = setTimeout(expire, idleMilliseconds);
    const deadlineTimer = setTimeout(expire, leftMilliseconds);
    request.on('data', accept);
    request.on('end', acceptEnd);
    request.on('close', handleClose);
  });
}

/**
 * Drops what still comes of a refused body, so that the answer reaches a caller
 * that sends first. A body beyond its bounds loses its connection.
 */
function dropRest(
  request: http.IncomingMessage,
  maxBytes: number,
  leftMilliseconds: number,
): void {
  let bytes = 0;
  const closeConnection = () => request.socket.destroy();
  const timer = setTimeout(closeConnection, leftMilliseconds);
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) closeConnection();
  });
  request.on('end', () => clearTimeout(timer));
  request.on('close', () => clearTimeout(timer));
}
