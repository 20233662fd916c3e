import http from 'node:http';
import {describeError, parseAddress} from '@zinniaspindle/shared';
import type {Deadline} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import {HttpErrorCode, makeHttpError} from './errors.js';
import type {HttpError} from './errors.js';

/** Bytes of an answer's body above which the exchange is broken off. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** One HTTP request to another system. */
export interface ExchangeOptions {
  /** host:port */
  readonly address: string;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  readonly deadline: Deadline;
  readonly agent: http.Agent;
}

/** A whole answer: status and parsed JSON body, undefined when empty. */
export interface ExchangeAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** The outcome of an exchange. */
export type ExchangeResult = Result<ExchangeAnswer, HttpError>;

/** Runs one request and reads its whole answer; never rejects. */
export function runExchange(options: ExchangeOptions): Promise<ExchangeResult> {
  return new Promise(resolve => startExchange(options, resolve));
}

function startExchange(
  options: ExchangeOptions,
  resolve: (result: ExchangeResult) => void,
): void {
  const {address, path} = options;
  const text =
    options.body === undefined ? undefined : JSON.stringify(options.body);
  let connected = false;
  let settled = false;
  const report = (result: ExchangeResult) => {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    resolve(result);
  };
  const fail = (code: HttpErrorCode, detail: string, cause?: unknown) =>
    report(Result.err(makeHttpError(code, address, path, detail, cause)));
  const request = http.request({
    ...parseAddress(address),
    method: options.method,
    path,
    agent: options.agent,
    headers: buildJsonHeaders(text),
  });
  const timer = setTimeout(
    () => {
      const code = connected
        ? HttpErrorCode.TimedOut
        : HttpErrorCode.NotConnected;
      fail(code, 'no answer by the deadline');
      request.destroy();
    },
    Math.max(0, options.deadline - Date.now()),
  );
  runOnConnect(request, () => (connected = true));
  request.on('error', error => {
    const code = connected ? HttpErrorCode.Broken : HttpErrorCode.NotConnected;
    fail(code, describeError(error), error);
  });
  request.on('response', response => readAnswer(response, report, fail));
  request.end(text);
}

function readAnswer(
  response: http.IncomingMessage,
  report: (result: ExchangeResult) => void,
  fail: (code: HttpErrorCode, detail: string, cause?: unknown) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxAnswerBytes) {
      fail(HttpErrorCode.BadAnswer, `answer above ${maxAnswerBytes} bytes`);
      response.destroy();
      return;
    }
    chunks.push(chunk);
  });
  response.on('error', error =>
    fail(HttpErrorCode.Broken, describeError(error), error),
  );
  response.on('close', () => {
    if (!response.complete) fail(HttpErrorCode.Broken, 'answer cut off');
  });
  response.on('end', () => {
    const status = response.statusCode ?? 0;
    const text = Buffer.concat(chunks).toString('utf8');
    const body = parseJson(text);
    if (body.isErr) {
      fail(HttpErrorCode.BadAnswer, `answer is not JSON: ${body.error}`);
      return;
    }
    report(Result.ok({status, body: body.value}));
  });
}

/** Runs a call once a request has a connection, new or kept. */
export function runOnConnect(
  request: http.ClientRequest,
  run: () => void,
): void {
  request.on('socket', socket => {
    if (socket.connecting) socket.once('connect', run);
    else run();
  });
}

/** Parses JSON; the empty text gives undefined. */
export function parseJson(text: string): Result<unknown, string> {
  if (text === '') return Result.ok(undefined);
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Result.err(describeError(error));
  }
}

/** Builds the headers of a request with a JSON body, or with none. */
export function buildJsonHeaders(
  text: string | undefined,
): http.OutgoingHttpHeaders {
  if (text === undefined) return {};
  return {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  };
}
