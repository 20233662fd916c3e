import type http from 'node:http';
import type {ServerCall} from '../connections/bounded_server.js';
import type {CallerLimits} from '../ports/index.js';
import {FailureReason, type LocalAnswer} from './failure.js';
import {findHeaderFault} from './find_head_fault.js';
import type {BodyFailure} from './read_body.js';

/** When callers whose requests or bodies have no memory are to come back. */
const memoryRetryMilliseconds = 500;

/** Checks whether a request can be taken at all. */
export function checkStart({
  message,
  hasMemory,
  expectsUnknown,
}: ServerCall): LocalAnswer | undefined {
  if (!hasMemory) {
    return {
      status: 503,
      reason: FailureReason.RequestsTooMany,
      retryAfterMilliseconds: memoryRetryMilliseconds,
    };
  }
  if (expectsUnknown) {
    return {status: 417, reason: FailureReason.UnknownExpectation};
  }
  const needsHost = message.httpVersion !== '1.0';
  if (needsHost && message.headers.host === undefined) {
    return {status: 400, reason: FailureReason.BadHeaders};
  }
  return undefined;
}

/** Checks the headers of a request, and the sizes that its head states. */
export function checkHead(
  message: http.IncomingMessage,
  limits: CallerLimits,
): LocalAnswer | undefined {
  if (findHeaderFault(message.rawHeaders) !== undefined) {
    return {status: 400, reason: FailureReason.BadHeaders};
  }
  let headerBytes = 0;
  for (const text of message.rawHeaders) headerBytes += text.length + 2;
  if (headerBytes > limits.maxHeaderBytes) {
    return {status: 431, reason: FailureReason.HeadersTooLarge};
  }
  const length = Number(message.headers['content-length'] ?? 0);
  if (length > limits.maxBodyBytes) {
    return {status: 413, reason: FailureReason.BodyTooLarge};
  }
  return undefined;
}

/** Gives the answer to a request whose body was not taken; it has not run. */
export function describeBodyFailure(reason: BodyFailure): LocalAnswer {
  if (reason === FailureReason.BodiesTooMany) {
    const retryAfterMilliseconds = memoryRetryMilliseconds;
    return {status: 503, reason, retryAfterMilliseconds};
  }
  const status = reason === FailureReason.BodyTooLarge ? 413 : 408;
  return {status, reason};
}
