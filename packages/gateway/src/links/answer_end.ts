import type {IncomingMessage} from 'node:http';
import type {AnswerEnd} from '@zinniaspindle/decisions';
import type {EndpointNotice} from '../ports/index.js';

/**
 * Tells whether the head of an answer states where its body ends, by a length or
 * chunks, or that it has none.
 */
export function hasStatedEnd(
  {headers, statusCode}: IncomingMessage,
  method: string,
): boolean {
  if (method === 'HEAD') return true;
  if (statusCode === 204 || statusCode === 304) return true;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Describes what decides whether the connection of an answer is kept. */
export function describeAnswerEnd(
  message: IncomingMessage,
  method: string,
  {isLeaving, pauseMilliseconds}: EndpointNotice,
  hasExtraBytes = false,
): AnswerEnd {
  const {connection, 'keep-alive': keepAlive} = message.headers;
  return {
    isFramed: hasStatedEnd(message, method),
    connection,
    keepAlive: Array.isArray(keepAlive) ? keepAlive.join(',') : keepAlive,
    isUnwanted: isLeaving || pauseMilliseconds !== undefined,
    hasExtraBytes,
  };
}
