import {
  computeUrgency,
  EndVerdict,
  type IntakeExcess,
} from '@zinniaspindle/decisions';
import type {EndpointEntry, EndpointAnswer} from '../ports/index.js';
import type {PathReservation} from '../fleet/path_table.js';
import {isPast} from '@zinniaspindle/shared';
import {recordReset} from '../fleet/endpoint_state.js';
import {AttemptWatch} from './attempt_watch.js';
import {checkRefusal} from './check_refusal.js';
import {countEvents} from './count_events.js';
import {Opening, openUpstream} from './open_upstream.js';
import type {RequestContext} from './request_context.js';
import {StreamBody, type CompleteEvents} from './stream_body.js';
import type {StreamEnds} from './stream_ends.js';
import {UpstreamEnd, type Upstream} from './upstream.js';

/** Urgency of a resumed stream: it paused already and goes before new ones. */
const resumedUrgency = 1;
/** A request still queued at an endpoint after this time is sent to another one. */
const firstEventMilliseconds = 900;

/** How an attempt ended that was not cancelled. */
export enum StreamEnd {
  /** The stream has ended after its last event. */
  Complete = 'complete',
  /** The endpoint has not run the request. */
  NotRun = 'notRun',
  /** The endpoint may have run the request; its answer is incomplete. */
  Broken = 'broken',
  /** The endpoint answered with a failure. */
  Failed = 'failed',
}

/** What an attempt is sent with. */
export interface StreamStart {
  /** The event after which it resumes; undefined for the first. */
  readonly lastEventId: string | undefined;
  /** Whether the caller has had events of this answer. */
  readonly isResumed: boolean;
  /** Whether another attempt was sent before. */
  readonly isFurther: boolean;
  /** What the attempts at this stream show about its end. */
  readonly ends: StreamEnds;
}

/** Receives what an attempt delivers. */
export interface StreamListener {
  /** Called with the head of an answer other than one of a request not run. */
  handleAnswer(attempt: StreamAttempt): void;
  handleEvents(attempt: StreamAttempt, events: CompleteEvents): void;
  /** Called last, unless the attempt is cancelled. */
  handleEnd(attempt: StreamAttempt, end: StreamEnd, detail: string): void;
  /** Its connection is silent after its link was lost. */
  handleSilence(attempt: StreamAttempt): void;
  /** It has waited long for its first event. */
  handleQueued(attempt: StreamAttempt): void;
}

/** One attempt at a stream, on a path of endpoints. */
export class StreamAttempt {
  /** The head of its answer; undefined until it has one. */
  answer: EndpointAnswer | undefined;
  readonly watch: AttemptWatch;
  private readonly body: StreamBody;
  private readonly upstream: Upstream;
  private readonly queueTimer: NodeJS.Timeout;
  private hasEnded = false;

  constructor(
    private readonly context: RequestContext,
    readonly reservation: PathReservation,
    readonly start: StreamStart,
    private readonly listener: StreamListener,
  ) {
    const {parts} = reservation.path;
    const {lastEventId} = start;
    this.body = new StreamBody(context.server.intake);
    this.watch = new AttemptWatch(context);
    this.watch.recordStart(this.getFirst().id);
    this.queueTimer = setInterval(() => {
      const isQueued = !reservation.hasStarted && this.answer === undefined;
      if (isQueued) listener.handleQueued(this);
    }, firstEventMilliseconds);
    this.upstream = openUpstream(
      context,
      this.getFirst(),
      {urgency: this.computeUrgency(), parts, lastEventId},
      {
        handleAnswer: answer => this.acceptAnswer(answer),
        handleChunk: chunk => this.acceptChunk(chunk),
        // Its path is free, and is not silent while the end is verified.
        handleLastByte: () => context.server.paths.release(reservation),
        handleEnd: (end, detail) => this.acceptEnd(end, detail),
        handleSilence: () => listener.handleSilence(this),
      },
      this.chooseOpening(),
    );
  }

  private computeUrgency(): number | undefined {
    if (this.start.isResumed) return resumedUrgency;
    const {server, account, route} = this.context;
    const {level} = server.waiters.findRank(account, route);
    return computeUrgency(level, server.waiters.countLevels());
  }

  private chooseOpening(): Opening {
    if (this.hasToSettle()) return Opening.Settled;
    return this.context.route.isResumable ? Opening.Kept : Opening.New;
  }

  /**
   * Tells whether it must be certain that the endpoint keeps the connection:
   * another attempt was sent before, or the endpoint reset connections lately.
   */
  private hasToSettle(): boolean {
    if (this.start.isFurther) return true;
    const {endpoints, getNow} = this.context.server;
    const state = endpoints.find(this.getFirst().id);
    return state !== undefined && !isPast(state.resettingUntil, getNow());
  }

  /** Gets the endpoint that it was sent to, the first of its path. */
  getFirst(): Pick<EndpointEntry, 'id' | 'address'> {
    return this.reservation.path.parts[0]!.endpoint;
  }

  /** Gets the body of a failure; empty once the attempt has ended. */
  getFailureBody(): Buffer {
    return this.body.toFailureBody();
  }

  /** Cancels it and releases its place; its listener is not called. */
  cancel(): void {
    if (this.hasEnded) return;
    this.upstream.cancel();
    this.close();
  }

  /** Pauses reading its answer, for backpressure. */
  stopReading(): void {
    // The gap until it reads again is not the path's.
    this.reservation.eventAt = undefined;
    this.upstream.stopReading();
  }

  /** Resumes reading its answer. */
  resumeReading(): void {
    this.reservation.eventAt = undefined;
    this.upstream.resumeReading();
  }

  private acceptAnswer(answer: EndpointAnswer): void {
    this.answer = answer;
    if (!answer.isNotRun) this.listener.handleAnswer(this);
  }

  private isStreamAnswer(): boolean {
    const {answer} = this;
    return answer !== undefined && answer.status === 200 && answer.hasSeal;
  }

  /** Gives the bound that the answer exceeds, if any. */
  private acceptChunk(chunk: Buffer): IntakeExcess | undefined {
    const events = this.body.accept(chunk, this.isStreamAnswer());
    if (events !== undefined) this.acceptEvents(events);
    return this.body.excess;
  }

  private acceptEvents(events: CompleteEvents): void {
    this.watch.handleEvent();
    const count = countEvents(events.bytes);
    this.context.server.paths.recordProgress(this.reservation, count);
    this.listener.handleEvents(this, events);
  }

  private acceptEnd(end: UpstreamEnd, detail: string): void {
    const {server} = this.context;
    const {path, hasStarted} = this.reservation;
    if (end === UpstreamEnd.NotSent) {
      void server.prober.checkRefusal(this.getFirst().id, detail, undefined);
      return this.resolve(StreamEnd.NotRun, detail);
    }
    if (end === UpstreamEnd.Broken) return this.resolveBroken(detail);
    const answer = this.answer!;
    if (answer.isNotRun) {
      const reason = checkRefusal(server, path, answer);
      return this.resolve(StreamEnd.NotRun, reason);
    }
    if (!this.isStreamAnswer()) {
      this.watch.handleAnswer();
      return this.resolve(StreamEnd.Failed, `status ${answer.status}`);
    }
    const {lastEventId, ends} = this.start;
    const isResumed = lastEventId !== undefined;
    const attempt = {path, hasStarted, body: this.body, isResumed};
    const verdict = ends.verify(attempt, this.upstream.isFramed());
    if (verdict !== EndVerdict.Complete) return this.resolveBroken(verdict);
    this.watch.handleAnswer();
    this.resolve(StreamEnd.Complete, 'complete');
  }

  private resolveBroken(detail: string): void {
    this.watch.handleBreak(this.reservation);
    const {endpoints, getNow} = this.context.server;
    const state = endpoints.find(this.getFirst().id);
    const isReset = this.answer === undefined && state !== undefined;
    if (isReset) recordReset(state, getNow());
    this.resolve(StreamEnd.Broken, detail);
  }

  private resolve(end: StreamEnd, detail: string): void {
    this.context.server.paths.release(this.reservation);
    this.listener.handleEnd(this, end, detail);
    this.close();
  }

  private close(): void {
    this.hasEnded = true;
    clearInterval(this.queueTimer);
    this.context.server.paths.release(this.reservation);
    this.start.ends.recordRest(this.body);
    this.body.drop();
  }
}
