import http from 'node:http';
import net from 'node:net';
import {describeError, FinalAnswer, parseAddress} from '@zinniaspindle/shared';
import type {Problem} from '@zinniaspindle/shared';
import {Effect} from 'effect';
import type {Scope} from 'effect';
import {CallerError, CallerErrorCode, toProblem} from '../callers/errors.js';
import {sendProblem} from './answers.js';
import {HttpErrorCode, makeHttpError} from './errors.js';
import type {HttpError} from './errors.js';
import type {OpenCalls} from './open_calls.js';
import {findRoute} from './route_table.js';
import type {Route, RouteCall} from './route_table.js';

const statusInternal = 500;

/** Milliseconds for connections to end before they are broken off. */
const closeMilliseconds = 200;

/** Limits and address of an HTTP server. */
export interface HttpServerOptions {
  /** host:port to listen on. */
  readonly address: string;
  readonly maxHeaderBytes: number;
  /** Milliseconds within which a whole request must have arrived. */
  readonly requestMilliseconds: number;
  readonly routes: readonly Route[];
  readonly calls: OpenCalls;
  readonly handleFailure: (error: unknown) => void;
}

/** Serves routes until its scope closes. */
export function serveHttp(
  options: HttpServerOptions,
): Effect.Effect<http.Server, HttpError, Scope.Scope> {
  return Effect.acquireRelease(openServer(options), server =>
    closeServer(server, options.calls),
  );
}

function openServer(
  options: HttpServerOptions,
): Effect.Effect<http.Server, HttpError> {
  return Effect.callback(resume => {
    const server = http.createServer(
      {
        maxHeaderSize: options.maxHeaderBytes,
        requestTimeout: options.requestMilliseconds,
        headersTimeout: options.requestMilliseconds,
        noDelay: true,
      },
      (request, response) => handleCall(options, request, response),
    );
    server.on('connection', socket => options.calls.addConnection(socket));
    const {host, port} = parseAddress(options.address);
    server.once('error', error => {
      const code = HttpErrorCode.NotConnected;
      const detail = `cannot listen: ${describeError(error)}`;
      const failure = makeHttpError(code, options.address, '', detail, error);
      resume(Effect.fail(failure));
    });
    server.listen(port, host, () => resume(Effect.succeed(server)));
  });
}

function closeServer(
  server: http.Server,
  calls: OpenCalls,
): Effect.Effect<void> {
  return Effect.callback<void>(resume => {
    // close() of an HTTP server destroys connections with unwritten answers.
    net.Server.prototype.close.call(server, () => resume(Effect.void));
    calls.closeIdle();
    setTimeout(() => server.closeAllConnections(), closeMilliseconds).unref();
  });
}

function handleCall(
  options: HttpServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.on('error', () => response.destroy());
  if (!options.calls.acceptCall(response, request.socket)) {
    request.resume();
    return;
  }
  const url = parseUrl(request.url ?? '/');
  const match =
    url && findRoute(options.routes, request.method ?? '', url.pathname);
  if (url === undefined || match === undefined) {
    const path = url?.pathname ?? request.url;
    const message = `no route for ${request.method} ${path}`;
    const code = CallerErrorCode.NotFound;
    sendProblem(response, toProblem(new CallerError(code, message)));
    return;
  }
  const call = {request, response, url, params: match.params};
  void runHandler(options, match.route, call);
}

async function runHandler(
  options: HttpServerOptions,
  route: Route,
  call: RouteCall,
): Promise<void> {
  try {
    await route.handle(call);
  } catch (error) {
    if (error instanceof CallerError) {
      sendProblem(call.response, toProblem(error));
      return;
    }
    options.handleFailure(error);
    sendProblem(call.response, makeInternalProblem());
  }
}

function makeInternalProblem(): Problem {
  return {
    type: 'urn:zinniaspindle:problem:internal',
    title: 'internal',
    status: statusInternal,
    detail: 'the entry VM failed on this request; its log says why',
    answer: FinalAnswer.OutcomeUnknown,
  };
}

function parseUrl(text: string): URL | undefined {
  try {
    return new URL(text, 'http://entry');
  } catch {
    return undefined;
  }
}
