import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import type {RequestContext} from './request_context.js';
import {writeHead} from './send_answer.js';
import type {Upstream} from './upstream.js';

/** Larger answers are forwarded as they arrive and can no longer be retried. */
const maxBufferedBytes = 256 * 1024;

/**
 * Buffers an answer until it is complete, so that a failed attempt can be
 * retried. Large answers and streams of plain services are forwarded as they
 * arrive, if they have a seal.
 */
export class AnswerBuffer {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  /** Whether the head and the bytes so far have been sent to the caller. */
  isForwarding = false;

  constructor(private readonly context: RequestContext) {}

  /** Buffers or forwards a chunk of the body. */
  accept(answer: EndpointAnswer, chunk: Buffer, upstream: Upstream): void {
    if (this.isForwarding) {
      this.write(chunk, upstream);
      return;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    const {kind} = this.context.route;
    const bufferLimit = kind === RouteKind.Streaming ? 0 : maxBufferedBytes;
    if (this.bytes <= bufferLimit || !answer.hasSeal) return;
    this.isForwarding = true;
    writeHead(this.context, answer, undefined);
    this.write(this.toBody(), upstream);
  }

  /** Returns the buffered body. */
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
