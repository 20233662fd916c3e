import {
  EndVerdict,
  FailureCertainty,
  recordFailure,
  verifyPlainStreamEnd,
  type IntakeExcess,
} from '@zinniaspindle/decisions';
import type {Instant} from '@zinniaspindle/shared';
import {getIncarnation, type EndpointState} from '../fleet/endpoint_state.js';
import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import {isSuccess} from './answer_status.js';
import {AnswerBuffer} from './answer_buffer.js';
import {AttemptEnder, AttemptLog} from './attempt_log.js';
import {AttemptWatch} from './attempt_watch.js';
import {Opening, openUpstream} from './open_upstream.js';
import type {RequestContext} from './request_context.js';
import {UpstreamEnd, type Upstream} from './upstream.js';

/** The request that an attempt is made for. */
export interface AttemptOwner {
  /** Tells whether an answer may be forwarded, as the only one, from now on. */
  takeCaller(attempt: PlainAttempt, answer: EndpointAnswer): boolean;
  /** Called once, unless the attempt is cancelled. */
  handleEnd(attempt: PlainAttempt, end: UpstreamEnd, detail: string): void;
}

/** One attempt of a plain request at an endpoint. */
export class PlainAttempt {
  readonly sentAt: Instant;
  readonly buffer: AnswerBuffer;
  readonly log: AttemptLog;
  readonly watch: AttemptWatch;
  answer: EndpointAnswer | undefined;
  private upstream: Upstream | undefined;

  constructor(
    private readonly context: RequestContext,
    readonly endpoint: EndpointState,
    private readonly owner: AttemptOwner,
    /** Whether the request was sent before. */
    private readonly isFurther: boolean,
  ) {
    this.sentAt = context.server.getNow();
    this.buffer = new AnswerBuffer(context, answer =>
      owner.takeCaller(this, answer),
    );
    this.log = new AttemptLog(context);
    this.watch = new AttemptWatch(context);
  }

  /**
   * Chooses the connection. A kept one may end as the request comes, so it is for
   * the first attempt only, where another endpoint can take the request then.
   */
  private chooseOpening(): Opening {
    const {server, service, route} = this.context;
    const isKept =
      route.kind === RouteKind.Safe &&
      !this.isFurther &&
      server.endpoints.list(service.name).length > 1;
    return isKept ? Opening.Kept : Opening.New;
  }

  /** Sends the request. */
  start(): void {
    const {context, endpoint} = this;
    const {entry} = endpoint;
    const {lastEventId} = context.request;
    context.server.endpoints.limits.takeCredit(getIncarnation(endpoint));
    endpoint.running += 1;
    this.log.recordStart(entry.id);
    this.watch.recordStart(entry.id);
    const upstream = openUpstream(
      context,
      entry,
      {urgency: undefined, parts: undefined, lastEventId},
      {
        handleAnswer: answer => (this.answer = answer),
        handleChunk: chunk => this.acceptChunk(chunk, upstream),
        handleEnd: (end, detail) => this.acceptEnd(end, detail),
      },
      this.chooseOpening(),
    );
    this.upstream = upstream;
  }

  private acceptChunk(
    chunk: Buffer,
    upstream: Upstream,
  ): IntakeExcess | undefined {
    const excess = this.buffer.accept(this.answer!, chunk, upstream);
    const isStream = this.context.route.kind === RouteKind.Streaming;
    if (isStream && this.buffer.isForwarding) this.watch.handleEvent();
    return excess;
  }

  /** Ends the attempt for a reason of this VM. */
  cancel(reason: string): void {
    this.upstream?.cancel();
    this.release(UpstreamEnd.Broken);
    this.logFailed(reason, AttemptEnder.Vm);
  }

  /** Logs that the attempt failed or was given up. */
  logFailed(reason: string, endedBy = AttemptEnder.Endpoint): void {
    this.log.logFailed(this.endpoint.entry.id, reason, {}, endedBy);
  }

  /** Counts a failure against the endpoint. */
  reportFailure(certainty: FailureCertainty): void {
    const now = this.context.server.getNow();
    recordFailure(this.endpoint.breaker, certainty, now, Math.random);
  }

  private acceptEnd(end: UpstreamEnd, detail: string): void {
    const verdict = this.verifyEnd(end);
    if (verdict !== EndVerdict.Complete) {
      return this.resolve(UpstreamEnd.Broken, verdict);
    }
    this.resolve(end, detail);
  }

  private resolve(end: UpstreamEnd, detail: string): void {
    this.release(end);
    if (end === UpstreamEnd.Broken) this.watch.handleBrokenAnswer();
    this.owner.handleEnd(this, end, detail);
  }

  /** Verifies that an answer which ended in the regular way is a whole stream. */
  private verifyEnd(end: UpstreamEnd): EndVerdict {
    const {answer, buffer, upstream, context} = this;
    const isStream =
      end === UpstreamEnd.Complete &&
      context.route.kind === RouteKind.Streaming &&
      answer !== undefined &&
      !answer.isNotRun &&
      isSuccess(answer.status);
    if (!isStream) return EndVerdict.Complete;
    return verifyPlainStreamEnd({
      isFramed: upstream?.isFramed() ?? false,
      hasEvents: buffer.isForwarding,
      hasPartialEvent: buffer.hasPartialEvent(),
    });
  }

  private release(end: UpstreamEnd): void {
    this.endpoint.running -= 1;
    this.log.recordEnd();
    const isOver = end === UpstreamEnd.Broken || this.buffer.isForwarding;
    if (isOver) this.buffer.drop();
  }
}
