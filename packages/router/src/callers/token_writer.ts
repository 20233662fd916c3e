import type http from 'node:http';
import {addTokenHash, emptyTokensHash} from '@zinniaspindle/decisions';
import type {CallerPrefix} from '@zinniaspindle/decisions';
import type {Problem, RequestId} from '@zinniaspindle/shared';
import {sendJson, sendProblem} from '../http/answers.js';

/** How a caller wants the answer. */
export enum AnswerFormat {
  Json = 'json',
  ServerSentEvents = 'serverSentEvents',
}

/** The whole answer as JSON, and the data of the last server-sent event. */
export interface CompletedAnswer {
  readonly request: RequestId;
  readonly answer: string;
  readonly tokens: number;
  /** The whole text; absent from the event, whose text came before. */
  readonly text?: string;
}

const statusOk = 200;

/** A line that readers of server-sent events ignore. */
const handOverComment = ': handed over\n\n';

const eventStreamHeaders: http.OutgoingHttpHeaders = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
};

/**
 * Writes the tokens of one request to one caller. Reads them from the live
 * list of the request, so that a slow caller holds no second copy.
 */
export class TokenWriter {
  private next: number;
  private hash: string;
  private flushing = false;
  private blocked = false;
  private over = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly format: AnswerFormat,
    private readonly request: RequestId,
    /** Tokens so far; grows while the request runs. */
    private readonly tokens: readonly string[],
    /** The tokens that the caller has already. */
    held: CallerPrefix | undefined,
    private readonly coalesceMilliseconds: number,
  ) {
    this.next = held?.tokens ?? 0;
    this.hash = held?.hash ?? emptyTokensHash;
    response.on('drain', () => {
      this.blocked = false;
      this.writeTokens();
    });
  }

  /** Whether the caller has yet to take tokens that are there. */
  get isBehind(): boolean {
    return this.next < this.tokens.length;
  }

  /** Schedules the writing of new tokens. */
  addToken(): void {
    if (this.format === AnswerFormat.Json || this.flushing || this.over) return;
    this.flushing = true;
    const runFlush = () => {
      this.flushing = false;
      this.writeTokens();
    };
    if (this.coalesceMilliseconds === 0) setImmediate(runFlush);
    else setTimeout(runFlush, this.coalesceMilliseconds);
  }

  /** Ends with the whole answer. */
  sendCompleted(answer: string): void {
    const {request, tokens} = this;
    const end = {request, answer, tokens: tokens.length};
    if (this.format === AnswerFormat.Json) {
      sendJson(this.response, statusOk, {...end, text: tokens.join('')});
      this.over = true;
      return;
    }
    this.closeStream('completed', end);
  }

  /** Ends with a problem, as an event once the stream has begun. */
  sendProblem(problem: Problem): void {
    if (this.format === AnswerFormat.Json) {
      const text = this.tokens.join('');
      const body = text === '' ? problem : {...problem, text};
      sendProblem(this.response, body);
      this.over = true;
      return;
    }
    if (!this.response.headersSent && !this.isBehind) {
      sendProblem(this.response, problem);
      this.over = true;
      return;
    }
    this.closeStream('problem', problem);
  }

  /** Breaks the stream off; its headers tell the caller what to go on with. */
  closeUnfinished(): void {
    this.over = true;
    if (this.response.headersSent) {
      this.response.destroy();
      return;
    }
    this.sendHeaders();
    this.response.write(handOverComment, () => this.response.destroy());
  }

  private closeStream(event: string, data: unknown): void {
    if (this.over) return;
    this.blocked = false;
    this.writeTokens();
    this.over = true;
    this.sendHeaders();
    this.response.end(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  private writeTokens(): void {
    if (this.format === AnswerFormat.Json || this.blocked || this.over) return;
    if (!this.isBehind || this.response.destroyed) return;
    let text = '';
    while (this.next < this.tokens.length) {
      const token = this.tokens[this.next]!;
      this.hash = addTokenHash(this.hash, token);
      const data = JSON.stringify({text: token});
      text += `id: ${this.next}-${this.hash}\nevent: token\ndata: ${data}\n\n`;
      this.next += 1;
    }
    this.sendHeaders();
    this.blocked = !this.response.write(text);
  }

  private sendHeaders(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(statusOk, eventStreamHeaders);
  }
}
