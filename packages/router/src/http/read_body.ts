import type http from 'node:http';
import {Result} from 'true-myth';
import {CallerError, CallerErrorCode} from '../callers/errors.js';
import {parseJson} from './exchange.js';

/** Limits on a request's body. */
export interface BodyLimits {
  readonly maxBytes: number;
}

/** Reads a whole JSON body within the limits. */
export function readJsonBody(
  request: http.IncomingMessage,
  limits: BodyLimits,
): Promise<Result<unknown, CallerError>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limits.maxBytes) {
        chunks.push(chunk);
        return;
      }
      request.pause();
      resolve(Result.err(makeTooLargeError(bytes, limits)));
    });
    request.on('end', () => resolve(decodeBody(Buffer.concat(chunks))));
    request.on('close', () => resolve(Result.err(makeCutOffError(bytes))));
  });
}

function decodeBody(bytes: Buffer): Result<unknown, CallerError> {
  return parseJson(bytes.toString('utf8')).mapErr(
    detail =>
      new CallerError(CallerErrorCode.NotJson, `body is not JSON: ${detail}`),
  );
}

function makeTooLargeError(bytes: number, limits: BodyLimits): CallerError {
  return new CallerError(
    CallerErrorCode.BodyTooLarge,
    `body has ${bytes} bytes or more, limit is ${limits.maxBytes}`,
    'body',
  );
}

function makeCutOffError(bytes: number): CallerError {
  return new CallerError(
    CallerErrorCode.TooSlow,
    `body was cut off after ${bytes} bytes`,
    'body',
  );
}
