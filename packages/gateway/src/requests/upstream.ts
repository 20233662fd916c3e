import http from 'node:http';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {parseAddress, type Deadline} from '@zinniaspindle/shared';
import type {
  EndpointAnswer,
  ExchangeCodec,
  RawHeaders,
} from '../ports/index.js';

/** Endpoints accept within 2 ms; a lost packet is sent again after a second. */
const connectMilliseconds = 500;

/** Bytes between requests that any server skips. */
const emptyLine = '\r\n';

/** How far a request to an endpoint came before it ended. */
export enum UpstreamEnd {
  /** The answer is complete. */
  Complete = 'complete',
  /** No connection was made: the endpoint has seen nothing. */
  NotSent = 'notSent',
  /** The endpoint may have run it; the answer is missing or broken. */
  Broken = 'broken',
}

/** What a request to an endpoint is made of. */
export interface UpstreamRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** The answer must bear this id. */
  readonly attemptId: string;
  readonly deadline: Deadline;
}

/** Hears what comes back; handleEnd comes last, and once. */
export interface UpstreamListener {
  handleAnswer(answer: EndpointAnswer): void;
  handleChunk(chunk: Buffer): void;
  handleEnd(end: UpstreamEnd, detail: string): void;
}

/**
 * One request to an endpoint on a connection of its own, so that bytes of
 * another answer can never be taken for its own.
 */
export class Upstream {
  private readonly request: http.ClientRequest;
  private readonly connectTimer: NodeJS.Timeout;
  private message: http.IncomingMessage | undefined;
  private isConnected = false;
  private hasEnded = false;

  constructor(
    private readonly sent: UpstreamRequest,
    private readonly codec: ExchangeCodec,
    private readonly listener: UpstreamListener,
  ) {
    this.request = http.request({
      createConnection: () => this.openConnection(),
      method: sent.method,
      path: sent.path,
      headers: sent.headers as unknown as http.OutgoingHttpHeaders,
    });
    const left = sent.deadline - performance.now();
    const wait = Math.max(1, Math.min(connectMilliseconds, left));
    this.connectTimer = setTimeout(() => {
      this.close(UpstreamEnd.NotSent, 'no connection in time');
    }, wait);
    this.handleEvents();
    this.request.end(sent.body.length > 0 ? sent.body : undefined);
  }

  /** Ends the request; the endpoint sees the connection close. */
  cancel(): void {
    this.hasEnded = true;
    clearTimeout(this.connectTimer);
    this.request.destroy();
  }

  /** Stops reading the answer until it is resumed. */
  stopReading(): void {
    this.message?.pause();
  }

  /** Goes on reading the answer. */
  resumeReading(): void {
    this.message?.resume();
  }

  private openConnection(): net.Socket {
    const address = parseAddress(this.sent.address);
    const socket = net.connect({...address, allowHalfOpen: true});
    socket.setNoDelay(true);
    socket.once('connect', () => {
      this.isConnected = true;
      clearTimeout(this.connectTimer);
    });
    socket.on('end', () => {
      if (this.message !== undefined && !hasLength(this.message)) {
        this.checkReset(socket);
      }
    });
    return socket;
  }

  /**
   * Settles an answer that ends with its connection. A reset may be reported
   * as a plain end; it shows when the connection is written to once more.
   */
  private checkReset(socket: net.Socket): void {
    socket.write(emptyLine, error => {
      if (error == null) this.close(UpstreamEnd.Complete, 'complete');
      else this.close(UpstreamEnd.Broken, error.message);
    });
  }

  private handleEvents(): void {
    const {request} = this;
    request.on('error', error => {
      const end = this.isConnected ? UpstreamEnd.Broken : UpstreamEnd.NotSent;
      this.close(end, error.message);
    });
    request.on('close', () => {
      if (this.message === undefined) {
        this.close(UpstreamEnd.Broken, 'closed without an answer');
      }
    });
    request.on('response', message => this.accept(message));
  }

  private accept(message: http.IncomingMessage): void {
    if (this.hasEnded) return;
    this.message = message;
    const answer = this.codec.decodeAnswer(message);
    if (answer.attemptId !== this.sent.attemptId && !answer.isNotRun) {
      this.close(UpstreamEnd.Broken, `answer has id "${answer.attemptId}"`);
      return;
    }
    message.on('data', (chunk: Buffer) => {
      if (!this.hasEnded) this.listener.handleChunk(chunk);
    });
    message.on('error', error => this.close(UpstreamEnd.Broken, error.message));
    message.on('end', () => {
      if (!hasLength(message)) return; // The end of its connection tells.
      if (message.complete) this.close(UpstreamEnd.Complete, 'complete');
      else this.close(UpstreamEnd.Broken, 'answer broke off');
    });
    message.on('close', () => {
      if (!hasLength(message) && message.complete) return;
      this.close(UpstreamEnd.Broken, 'answer broke off');
    });
    this.listener.handleAnswer(answer);
  }

  private close(end: UpstreamEnd, detail: string): void {
    if (this.hasEnded) return;
    this.cancel();
    this.listener.handleEnd(end, detail);
  }
}

/** Tells whether an answer says itself where it ends. */
function hasLength({headers, statusCode}: http.IncomingMessage): boolean {
  if (statusCode === 204 || statusCode === 304) return true;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
