import http from 'node:http';
import {describeError} from '@zinniaspindle/shared';
import {makeUnreachable} from '../errors.js';

/** An answer as its asker reads it; body is undefined when there was none. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

/** One request for JSON. */
export interface JsonCall {
  /** host:port */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly agent?: http.Agent;
  readonly signal?: AbortSignal;
}

/** Sends a request and reads the JSON answer; throws when none comes. */
export function sendJson(call: JsonCall): Promise<JsonReply> {
  const [host, port] = call.address.split(':');
  const text = call.body === undefined ? '' : JSON.stringify(call.body);
  return new Promise((resolve, reject) => {
    const fail = (error: unknown) =>
      reject(makeUnreachable(call.address, describeError(error), error));
    const request = http.request(
      {
        host,
        port,
        method: call.method,
        path: call.path,
        agent: call.agent,
        signal: call.signal,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      response => {
        readReply(response).then(resolve, fail);
      },
    );
    request.on('error', fail);
    request.end(text);
  });
}

async function readReply(response: http.IncomingMessage): Promise<JsonReply> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  const body: unknown = text === '' ? undefined : JSON.parse(text);
  return {status: response.statusCode ?? 0, body};
}
