import {IntakeKind, type IntakeExcess} from '@zinniaspindle/decisions';
import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import {isSuccess} from './answer_status.js';
import {BoundedBody} from './bounded_body.js';
import {EventSplitter} from './event_splitter.js';
import type {RequestContext} from './request_context.js';
import {writeHead} from './send_answer.js';
import type {Upstream} from './upstream.js';

/**
 * Buffers an answer until it is complete, so that a failed attempt can be
 * retried. Large answers, and the events of streams of plain services, are
 * forwarded as they arrive, if they have a seal; then they can no longer be
 * retried.
 */
export class AnswerBuffer {
  private readonly body: BoundedBody;
  private readonly events: EventSplitter;
  /** Whether the head and the bytes so far have been sent to the caller. */
  isForwarding = false;
  /** Whether reading is paused until the caller has taken what was written. */
  private isWaiting = false;

  constructor(
    private readonly context: RequestContext,
    /** Tells whether an answer may be forwarded, as the only one, from now on. */
    private readonly takeCaller: (answer: EndpointAnswer) => boolean,
  ) {
    this.body = new BoundedBody(context.server.intake);
    this.events = new EventSplitter(context.server.intake);
  }

  /**
   * Buffers or forwards a chunk of the body. Gives the bound that an answer
   * exceeds which cannot be forwarded.
   */
  accept(
    answer: EndpointAnswer,
    chunk: Buffer,
    upstream: Upstream,
  ): IntakeExcess | undefined {
    if (!answer.hasSeal) return this.add(IntakeKind.ErrorBody, chunk);
    if (this.context.route.kind === RouteKind.Streaming) {
      return this.acceptStream(answer, chunk, upstream);
    }
    if (!this.isForwarding) {
      const excess = this.add(IntakeKind.BufferedAnswer, chunk);
      if (excess === undefined) return undefined;
      if (!this.takeCaller(answer)) return excess;
    }
    this.sendOn(answer, chunk, upstream);
    return undefined;
  }

  /** Tells whether a stream has brought part of an event since the last whole one. */
  hasPartialEvent(): boolean {
    return this.events.hasPartialEvent();
  }

  /** Forwards the whole events of a stream, and the body of a failure as it is. */
  private acceptStream(
    answer: EndpointAnswer,
    chunk: Buffer,
    upstream: Upstream,
  ): IntakeExcess | undefined {
    const isStream = isSuccess(answer.status);
    const bytes = isStream ? this.events.accept(chunk)?.bytes : chunk;
    if (bytes !== undefined) this.sendOn(answer, bytes, upstream);
    return this.events.excess;
  }

  private sendOn(
    answer: EndpointAnswer,
    bytes: Buffer,
    upstream: Upstream,
  ): void {
    if (!this.isForwarding) {
      writeHead(this.context, answer, undefined);
      this.isForwarding = true;
      if (this.body.length > 0) this.write(this.toBody(), upstream);
      this.body.drop();
    }
    this.write(bytes, upstream);
  }

  /** Returns the buffered body. */
  toBody(): Buffer {
    return this.body.toBuffer();
  }

  /** Drops what is buffered. */
  drop(): void {
    this.body.drop();
    this.events.drop();
  }

  private add(kind: IntakeKind, chunk: Buffer): IntakeExcess | undefined {
    if (this.body.length === 0) {
      this.context.response.once('close', () => this.drop());
    }
    return this.body.add(kind, chunk);
  }

  private write(chunk: Buffer, upstream: Upstream): void {
    const {response} = this.context;
    if (response.write(chunk)) return;
    if (this.isWaiting) return;
    this.isWaiting = true;
    upstream.stopReading();
    response.once('drain', () => {
      this.isWaiting = false;
      upstream.resumeReading();
    });
  }
}
