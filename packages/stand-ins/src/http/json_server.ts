import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describeError, CodedError} from '@zinniaspindle/shared';
import {makeBadRequest, StandInErrorCode} from '../errors.js';
import {applySwitches, type HttpFaults} from './http_faults.js';

import {waitMilliseconds} from './wait.js';

const maxBodyBytes = 16 * 1024 * 1024;
const loopback = '127.0.0.1';

/** A running stand-in. */
export interface StandIn {
  /** host:port of its HTTP port. */
  readonly address: string;
  /** Closes the port and every connection. */
  stop(): Promise<void>;
}

/** One request as a stand-in handles it. */
export interface Exchange {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** The parsed JSON body; an empty object without a body. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** An answer in JSON; no body at all when body is undefined. */
export interface JsonAnswer {
  readonly status: number;
  readonly body?: unknown;
}

/** Handles a request; undefined when it wrote the response by itself. */
export type HandleExchange = (
  exchange: Exchange,
) => Promise<JsonAnswer | undefined> | JsonAnswer | undefined;

/** How a JSON server is set up. */
export interface JsonServerOptions {
  /** Port on the loopback address; 0 or undefined for any free port. */
  readonly port: number | undefined;
  /** The switches that POST /control may set; other fields are refused. */
  readonly faults: HttpFaults;
  readonly handle: HandleExchange;
  /** Takes the message of POST /control in place of the switches. */
  readonly applyControl?: (message: Readonly<Record<string, unknown>>) => void;
  /** Makes the body of GET /control. */
  readonly describe: () => unknown;
}

/** Starts an HTTP server with a control path and switchable faults. */
export async function startJsonServer(
  options: JsonServerOptions,
): Promise<StandIn> {
  const server = http.createServer((request, response) => {
    void serveRequest(options, request, response);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, loopback, resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `${loopback}:${port}`,
    stop: () => closeServer(server),
  };
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function serveRequest(
  options: JsonServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  // A caller that went away shows on the next write; nothing is to be done.
  response.on('error', () => undefined);
  try {
    const exchange = await readExchange(request, response);
    if (exchange.path === '/control') {
      writeAnswer(response, answerControl(options, exchange));
      return;
    }
    await serveWithFaults(options, exchange);
  } catch (error) {
    writeAnswer(response, answerError(error));
  }
}

function answerControl(
  options: JsonServerOptions,
  exchange: Exchange,
): JsonAnswer {
  if (exchange.method === 'POST') {
    const apply =
      options.applyControl ??
      (message => applySwitches(options.faults, message));
    apply(exchange.body);
  }
  return {status: 200, body: options.describe()};
}

async function serveWithFaults(
  options: JsonServerOptions,
  exchange: Exchange,
): Promise<void> {
  const {faults} = options;
  if (faults.delayMilliseconds > 0) {
    await waitMilliseconds(faults.delayMilliseconds);
  }
  if (faults.hangs) return;
  if (faults.losesRequests) {
    exchange.response.destroy();
    return;
  }
  if (faults.down) {
    writeAnswer(exchange.response, answerProblem(503, 'the service is down'));
    return;
  }
  const answer = await options.handle(exchange);
  if (answer === undefined) return;
  if (faults.losesAnswers) {
    exchange.response.destroy();
    return;
  }
  writeAnswer(exchange.response, answer);
}

/** Makes the answer that tells why nothing was done. */
export function answerProblem(status: number, detail: string): JsonAnswer {
  return {status, body: {detail}};
}

/** Makes the answer to a path that does not exist. */
export function answerNotFound(exchange: Exchange): JsonAnswer {
  return answerProblem(404, `no ${exchange.method} ${exchange.path} here`);
}

function answerError(error: unknown): JsonAnswer {
  const isBad =
    error instanceof CodedError && error.code === StandInErrorCode.BadRequest;
  return answerProblem(isBad ? 400 : 500, describeError(error));
}

function writeAnswer(response: http.ServerResponse, answer: JsonAnswer): void {
  if (response.destroyed || response.headersSent) return;
  if (answer.body === undefined) {
    response.writeHead(answer.status).end();
    return;
  }
  const text = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readExchange(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<Exchange> {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  const text = await readBody(request);
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    body: text === '' ? {} : parseBody(text),
    request,
    response,
  };
}

function parseBody(text: string): Readonly<Record<string, unknown>> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw makeBadRequest(`the body is not JSON: ${describeError(error)}`);
  }
  if (typeof value !== 'object' || value === null) {
    throw makeBadRequest('the body is not a JSON object');
  }
  return value as Readonly<Record<string, unknown>>;
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > maxBodyBytes) {
      throw makeBadRequest(`the body is over ${maxBodyBytes} bytes`);
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
