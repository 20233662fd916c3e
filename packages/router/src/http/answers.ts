import type http from 'node:http';
import {millisecondsPerSecond, problemMediaType} from '@zinniaspindle/shared';
import type {Problem} from '@zinniaspindle/shared';

/** Sends a JSON answer. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Sends a problem document; retryAt becomes a Retry-After header too. */
export function sendProblem(
  response: http.ServerResponse,
  problem: Problem,
): void {
  const headers: http.OutgoingHttpHeaders = {'content-type': problemMediaType};
  if (problem.retryAt !== undefined) {
    const seconds = (problem.retryAt - Date.now()) / millisecondsPerSecond;
    headers['retry-after'] = String(Math.max(0, Math.ceil(seconds)));
  }
  sendJson(response, problem.status, problem, headers);
}
