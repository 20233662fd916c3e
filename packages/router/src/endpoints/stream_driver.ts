import http from 'node:http';
import {
  describeError,
  EngineRefusal,
  parseAddress,
  StreamEventKind,
} from '@zinniaspindle/shared';
import type {EngineProblem, StreamRequest} from '@zinniaspindle/shared';
import {buildJsonHeaders, parseJson, runOnConnect} from '../http/exchange.js';
import {EndpointError, EndpointErrorCode} from './errors.js';
import {findRefusal} from './find_refusal.js';
import {LineReader} from './line_reader.js';
import {parseStreamEvent} from './parse_stream_event.js';
import type {DriverListener, StopDriver, TokenDriver} from './token_driver.js';

const maxLineLength = 1024 * 1024;
const statusOk = 200;

/** Refusals that an engine gives before any stage runs. */
const refusalsBeforeRun: readonly EngineRefusal[] = [
  EngineRefusal.DeadlinePassed,
  EngineRefusal.Leaving,
  EngineRefusal.ModelNotLoaded,
  EngineRefusal.OldAttempt,
  EngineRefusal.Overloaded,
  EngineRefusal.UnknownStream,
  EngineRefusal.WrongLayers,
];

/**
 * Makes the driver for engines that forward activations themselves: one
 * request to the last stage, which streams tokens back.
 */
export function makeStreamDriver(): TokenDriver {
  // A refusal names no request: on a used connection it may be an earlier one.
  const agent = new http.Agent({keepAlive: false, noDelay: true});
  return (request, listener) => openStream(agent, request, listener);
}

function openStream(
  agent: http.Agent,
  request: StreamRequest,
  listener: DriverListener,
): StopDriver {
  const lead = request.chain[request.chain.length - 1]!;
  const text = JSON.stringify(request);
  const stream = new EngineStream(lead.address, listener);
  const outgoing = http.request({
    ...parseAddress(lead.address),
    method: 'POST',
    path: '/v1/streams',
    agent,
    headers: buildJsonHeaders(text),
  });
  runOnConnect(outgoing, () => stream.setConnected());
  outgoing.on('error', error => stream.failOnError(error));
  outgoing.on('response', response => stream.readResponse(response));
  outgoing.end(text);
  return () => {
    stream.stop();
    outgoing.destroy();
  };
}

/** One open stream; hands on events until the first end or error. */
class EngineStream {
  private over = false;
  private connected = false;
  private readonly reader = new LineReader(maxLineLength, line =>
    this.handleLine(line),
  );

  constructor(
    private readonly address: string,
    private readonly listener: DriverListener,
  ) {}

  setConnected(): void {
    this.connected = true;
  }

  stop(): void {
    this.over = true;
  }

  failOnError(error: Error): void {
    const code = this.connected
      ? EndpointErrorCode.Broken
      : EndpointErrorCode.NotAccepted;
    this.fail(code, describeError(error));
  }

  readResponse(response: http.IncomingMessage): void {
    if (response.statusCode !== statusOk) {
      this.readRefusal(response);
      return;
    }
    response.on('data', (chunk: Buffer) => {
      if (this.reader.accept(chunk)) return;
      this.fail(EndpointErrorCode.Malformed, `line above ${maxLineLength}`);
      response.destroy();
    });
    response.on('error', error => this.failOnError(error));
    response.on('close', () =>
      this.fail(EndpointErrorCode.Broken, 'stream closed without an end'),
    );
  }

  private readRefusal(response: http.IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', error => this.failOnError(error));
    response.on('close', () =>
      this.fail(EndpointErrorCode.Broken, 'refusal cut off'),
    );
    response.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const problem = parseJson(text).unwrapOr(undefined) as
        EngineProblem | undefined;
      const reason = findRefusal(problem, refusalsBeforeRun);
      const detail = problem?.detail ?? `status ${response.statusCode}`;
      // Only an answer that gives such a reason proves that nothing ran.
      const code =
        reason === undefined
          ? EndpointErrorCode.Broken
          : EndpointErrorCode.NotAccepted;
      this.fail(code, detail, reason);
    });
  }

  private handleLine(line: string): void {
    if (this.over) return;
    const parsed = parseStreamEvent(line);
    if (parsed.isErr) {
      this.over = true;
      this.listener.handleError(parsed.error);
      return;
    }
    if (parsed.value.kind !== StreamEventKind.Token) this.over = true;
    this.listener.handleEvent(parsed.value);
  }

  private fail(
    code: EndpointErrorCode,
    detail: string,
    reason?: EngineRefusal,
  ): void {
    if (this.over) return;
    this.over = true;
    const message = `endpoint at ${this.address}: ${detail}`;
    this.listener.handleError(new EndpointError(code, message, reason));
  }
}
