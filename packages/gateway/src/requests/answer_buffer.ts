import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import type {RequestContext} from './request_context.js';
import {writeHead} from './send_answer.js';
import type {Upstream} from './upstream.js';

/** Larger answers are passed on while they come, and not tried again. */
const maxBufferedBytes = 256 * 1024;

/**
 * Holds an answer until it is whole, or passes it on when it is large or a
 * stream of a plain service.
 */
export class AnswerBuffer {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  /** Whether the answer is on its way to the caller. */
  isPassedOn = false;

  constructor(private readonly context: RequestContext) {}

  /** Takes a part of the body. */
  accept(answer: EndpointAnswer, chunk: Buffer, upstream: Upstream): void {
    if (this.isPassedOn) {
      this.write(chunk, upstream);
      return;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    const {kind} = this.context.route;
    const held = kind === RouteKind.Streaming ? 0 : maxBufferedBytes;
    if (this.bytes <= held || !answer.hasSeal) return;
    this.isPassedOn = true;
    writeHead(this.context, answer, undefined);
    this.write(this.toBody(), upstream);
  }

  /** Gives what is held. */
  toBody(): Buffer {
    return this.chunks.length === 1
      ? this.chunks[0]!
      : Buffer.concat(this.chunks);
  }

  private write(chunk: Buffer, upstream: Upstream): void {
    const {response} = this.context;
    if (response.write(chunk)) return;
    upstream.stopReading();
    response.once('drain', () => upstream.resumeReading());
  }
}
