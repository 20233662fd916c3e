import http from 'node:http';
import {describeError} from '@zinniaspindle/shared';
import type {EndpointAnswer, RawHeaders} from '../ports/index.js';

const minFinalStatus = 200;
const maxStatus = 599;

/**
 * Finds the fault of headers that cannot be sent on. The parsers take names that
 * may not be written.
 */
export function findHeaderFault(headers: RawHeaders): string | undefined {
  try {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      http.validateHeaderName(headers[i]!);
      http.validateHeaderValue(headers[i]!, headers[i + 1]!);
    }
  } catch (error) {
    return describeError(error);
  }
  return undefined;
}

/** Finds why the head of an answer is none that a caller may get. */
export function findHeadFault({
  status,
  forwardedHeaders,
}: Pick<EndpointAnswer, 'status' | 'forwardedHeaders'>): string | undefined {
  const isFinal = status >= minFinalStatus && status <= maxStatus;
  if (!isFinal) return `the status ${status} ends no request`;
  return findHeaderFault(forwardedHeaders);
}
