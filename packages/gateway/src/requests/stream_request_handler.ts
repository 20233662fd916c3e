import {computeQueueTimeout, type IntakeExcess} from '@zinniaspindle/decisions';
import {GatewayEvent, isPast, type Instant} from '@zinniaspindle/shared';
import type {PathStream, PathReservation} from '../fleet/path_table.js';
import {Counter, Latency} from '../log/metrics.js';
import type {EndpointAnswer, ServiceModel} from '../ports/index.js';
import {FailureReason} from './failure.js';
import {isNotRunStatus, isSuccess} from './answer_status.js';
import type {RequestProgress} from './open_requests.js';
import {openUpstream} from './open_upstream.js';
import {predictTokens} from './predict_tokens.js';
import type {PathWaiter} from './path_queue.js';
import {
  closeEarly,
  recordAnswered,
  recordRetry,
  refuseUnknownOutcome,
  refuseUnserved,
  sendAnswer,
  writeHead,
} from './send_answer.js';
import type {RequestContext} from './request_context.js';
import {StreamBody, type CompleteEvents} from './stream_body.js';
import {UpstreamEnd, type Upstream} from './upstream.js';

/** Attempts of one request that end without the request having run. */
const maxNotRun = 4;
/** Urgency of a resumed stream: it paused already and goes before new ones, whose urgency is 5. */
const resumedUrgency = 1;
/** A request still queued at an endpoint after this time is retried, once. */
const firstEventMilliseconds = 900;
/** Callers abandon a stream after a gap of 2 s. */
const resumeTimeoutMilliseconds = 1700;

/** How an attempt on a path ended. */
enum AttemptEnd {
  Done = 'done',
  NotRun = 'notRun',
  Broken = 'broken',
}

/** Handles a streaming request over paths of a model's endpoints. */
export class StreamRequestHandler implements PathStream {
  private upstream: Upstream | undefined;
  private reservation: PathReservation | undefined;
  /** Its place in the queue while it waits for a path. */
  private waiter: PathWaiter | undefined;
  private answer: EndpointAnswer | undefined;
  private body: StreamBody;
  private finishAttempt:
    ((end: AttemptEnd, reason: string) => void) | undefined;
  private lastEventId: string | undefined;
  private hasSentEvents = false;
  private isBackpressured = false;
  private hasSwapped = false;
  private isAbandoned = false;
  /** Attempts that may have run the request. */
  private runs = 0;
  /** Attempts that are not known to have run the request. */
  private notRun = 0;
  private lastEventAt: Instant;

  constructor(
    private readonly context: RequestContext,
    private readonly model: ServiceModel,
  ) {
    this.body = new StreamBody(context.server.intake);
    this.lastEventId = context.request.lastEventId;
    this.lastEventAt = context.receivedAt;
  }

  /** Tries paths until the stream is complete or no attempt is left. */
  async run(): Promise<void> {
    const {server, service, deadline} = this.context;
    this.startDeadline();
    server.budgets.recordRequest(service.name);
    for (;;) {
      const reservation = await this.waitForPlace();
      if (this.isAbandoned) {
        if (reservation !== undefined) server.paths.release(reservation);
        return;
      }
      if (reservation === undefined) break;
      const tries = this.runs + this.notRun;
      const first = reservation.path.parts[0]!.endpoint.id;
      if (tries > 0) recordRetry(this.context, first, tries);
      const end = await this.runAttempt(reservation);
      if (this.isAbandoned || end === AttemptEnd.Done) return;
      if (isPast(deadline, server.getNow()) || !this.canRetry()) break;
      if (!server.budgets.takeRetry(service.name)) break;
      server.metrics.count(
        this.hasSentEvents ? Counter.Resumed : Counter.Retries,
      );
    }
    this.answerFailure();
  }

  /** Tells how far the stream has come. */
  describeProgress(): RequestProgress {
    const endpoint = this.reservation?.path.key ?? '';
    return {endpoint, lastEventId: this.lastEventId ?? ''};
  }

  /** Ends the stream with an unknown outcome if it may have run, else unrun. */
  answerNow(): void {
    if (this.finishAttempt && this.answer === undefined) this.runs += 1;
    this.cancel();
    this.answerFailure();
  }

  /** Cancels the stream, whose caller has disconnected. */
  cancel(): void {
    this.isAbandoned = true;
    this.cancelWait();
    this.cancelAttempt(AttemptEnd.Broken, 'caller disconnected');
  }

  private cancelWait(): void {
    const {waiter} = this;
    if (waiter === undefined) return;
    const {server, service} = this.context;
    server.queue.cancel(service.name, waiter);
    waiter.resolve(undefined);
  }

  private startDeadline(): void {
    const {server, response, deadline} = this.context;
    const remaining = Math.max(1, deadline - server.getNow());
    const timer = setTimeout(() => this.expire(), remaining);
    response.on('close', () => clearTimeout(timer));
  }

  /** Ends the stream at its deadline. */
  private expire(): void {
    this.isAbandoned = true;
    this.cancelWait();
    this.cancelAttempt(AttemptEnd.Broken, 'deadline passed');
    const {refuse} = this.context;
    if (this.hasSentEvents) closeEarly(this.context, 'the deadline passed');
    else refuse({status: 504, reason: FailureReason.Deadline});
  }

  /**
   * Moves a stream off a silent path. Without another path it stays, since the
   * path may recover or its endpoint may end the answer itself.
   */
  handleStall(): void {
    if (!this.canSwap() || !this.hasOtherPath()) return;
    this.swapPath('path is silent');
  }

  /**
   * Waits for a place on a path. A new request waits as long as it can still be
   * answered in time, a started stream until its caller would abandon it.
   */
  private waitForPlace(): Promise<PathReservation | undefined> {
    const {server, service, route, receivedAt} = this.context;
    const {paths, queue} = server;
    const tokens = predictTokens(this.context.request, this.model);
    return new Promise(resolve => {
      this.waiter = {
        isResumed: this.hasSentEvents,
        priority: route.priority,
        receivedAt,
        waitUntil: this.lastEventAt + this.computeTimeout(),
        model: this.model,
        tokens,
        resolve: path => {
          this.waiter = undefined;
          resolve(path && paths.reserve(path, tokens, this));
        },
      };
      queue.add(service.name, this.waiter);
    });
  }

  private computeTimeout(): number {
    if (this.hasSentEvents) return resumeTimeoutMilliseconds;
    const {server, service, route} = this.context;
    return computeQueueTimeout(
      route.targetLatencyMilliseconds,
      server.paths.hasUsable(service.name, this.model),
      server.metrics.findMedian(Latency.FirstEvent),
    );
  }

  /**
   * Tells whether the request may be moved off an endpoint that may be running
   * it. Requests that may run at most once must stay.
   */
  private canSwap(): boolean {
    const {isResumable, maxAttempts} = this.context.route;
    if (!isResumable) return false;
    if (this.answer !== undefined) return this.canRepeat();
    // The attempt that is given up without an answer counts as another one.
    if (this.runs > 0) return this.runs + 1 < maxAttempts;
    return this.notRun + 1 < maxNotRun;
  }

  private hasOtherPath(): boolean {
    const {server, service} = this.context;
    const tokens = predictTokens(this.context.request, this.model);
    // Stalled paths are not picked for a while, so this is another path.
    return server.paths.pick(service.name, this.model, tokens) !== undefined;
  }

  /**
   * Gives an attempt up. The endpoint may have just started one without an
   * answer: after a known run it counts as another run, so that the route's
   * attempts are never exceeded.
   */
  private swapPath(reason: string): void {
    if (this.answer === undefined) {
      if (this.runs > 0) this.runs += 1;
      else this.notRun += 1;
    }
    this.cancelAttempt(AttemptEnd.Broken, reason);
  }

  /** Tells whether the stream is paused because the caller reads too slowly. */
  isPaused(): boolean {
    return this.isBackpressured;
  }

  private canRepeat(): boolean {
    const {route} = this.context;
    return route.isResumable && this.runs < route.maxAttempts;
  }

  private canRetry(): boolean {
    if (this.runs > 0) return this.canRepeat();
    return this.notRun < maxNotRun;
  }

  private runAttempt(reservation: PathReservation): Promise<AttemptEnd> {
    const {server} = this.context;
    const {path} = reservation;
    const first = path.parts[0]!.endpoint;
    this.body = new StreamBody(server.intake);
    this.answer = undefined;
    this.reservation = reservation;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.swapQueuedPath(reservation);
      }, firstEventMilliseconds);
      this.finishAttempt = (end, reason) => {
        clearTimeout(timer);
        this.finishAttempt = undefined;
        server.paths.release(reservation);
        this.body.drop();
        if (end !== AttemptEnd.Done) this.reportFailedAttempt(first.id, reason);
        resolve(end);
      };
      this.upstream = openUpstream(
        this.context,
        first,
        {
          urgency: this.hasSentEvents ? resumedUrgency : undefined,
          parts: path.parts,
          lastEventId: this.lastEventId,
        },
        {
          handleAnswer: answer => this.acceptAnswer(answer),
          handleChunk: chunk => this.acceptChunk(chunk),
          handleEnd: (end, detail) => this.acceptEnd(end, detail),
        },
      );
    });
  }

  /**
   * Ends the attempt of a request that is still queued at its endpoint, once, so
   * that a path is picked again. The stall check does not cover this case while
   * other streams of the path make progress.
   */
  private swapQueuedPath(reservation: PathReservation): void {
    if (reservation.hasStarted || this.hasSwapped || !this.canSwap()) return;
    if (this.answer !== undefined) return;
    this.hasSwapped = true;
    this.swapPath('no first event in time');
  }

  private cancelAttempt(end: AttemptEnd, reason: string): void {
    this.upstream?.cancel();
    this.finishAttempt?.(end, reason);
  }

  private acceptAnswer(answer: EndpointAnswer): void {
    this.answer = answer;
    if (!answer.isNotRun) this.runs += 1;
  }

  private isStreamAnswer(): boolean {
    const {answer} = this;
    return answer !== undefined && answer.status === 200 && answer.hasSeal;
  }

  /** Gives the bound that the answer exceeds, if any. */
  private acceptChunk(chunk: Buffer): IntakeExcess | undefined {
    const events = this.body.accept(chunk, this.isStreamAnswer());
    if (events !== undefined) this.streamEvents(events);
    return this.body.excess;
  }

  private streamEvents(events: CompleteEvents): void {
    const {server, response} = this.context;
    server.paths.recordProgress(this.reservation!);
    this.recordEvent();
    if (!this.hasSentEvents) {
      this.hasSentEvents = true;
      writeHead(this.context, this.answer!, undefined);
    }
    this.lastEventId = events.lastId ?? this.lastEventId;
    if (response.write(events.bytes)) return;
    const {upstream} = this;
    this.isBackpressured = true;
    upstream?.stopReading();
    response.once('drain', () => {
      this.isBackpressured = false;
      upstream?.resumeReading();
    });
  }

  private recordEvent(): void {
    const {server} = this.context;
    const now = server.getNow();
    const latency = this.hasSentEvents ? Latency.EventGap : Latency.FirstEvent;
    server.metrics.record(latency, now - this.lastEventAt);
    this.lastEventAt = now;
  }

  private acceptEnd(end: UpstreamEnd, detail: string): void {
    if (end === UpstreamEnd.NotSent) {
      this.notRun += 1;
      const first = this.reservation!.path.parts[0]!.endpoint.id;
      void this.context.server.prober.checkRefusal(first, detail, undefined);
      this.finishAttempt?.(AttemptEnd.NotRun, detail);
      return;
    }
    if (end === UpstreamEnd.Broken) {
      if (this.answer === undefined) this.runs += 1;
      const {path} = this.reservation!;
      const {prober, paths} = this.context.server;
      void prober.probePath(path, () => paths.dropStreams(path));
      this.finishAttempt?.(AttemptEnd.Broken, detail);
      return;
    }
    const {answer} = this;
    if (answer!.isNotRun) return this.acceptNotRunAnswer(answer!);
    if (!this.isStreamAnswer()) return this.acceptFailureAnswer(answer!);
    if (this.body.hasPartialEvent() || !this.hasSentEvents) {
      this.finishAttempt?.(AttemptEnd.Broken, 'stream ended within an event');
      return;
    }
    this.answerComplete();
  }

  private acceptNotRunAnswer(answer: EndpointAnswer): void {
    this.notRun += 1;
    const {server} = this.context;
    const {parts} = this.reservation!.path;
    const first = parts[0]!.endpoint;
    if (answer.endpointId !== undefined && answer.endpointId !== first.id) {
      server.endpoints.removeReplaced(first.id);
      this.finishAttempt?.(
        AttemptEnd.NotRun,
        `the address belongs to ${answer.endpointId}`,
      );
      return;
    }
    const address = answer.failedAddress ?? first.address;
    const failedEndpoint = server.endpoints.findByAddress(address);
    const reason = `status ${answer.status} at ${address}`;
    // An endpoint that asks for a pause has said why it refuses.
    const isExplained =
      failedEndpoint === undefined ||
      server.endpoints.findPauseEnd(failedEndpoint) !== undefined;
    if (!isExplained) {
      const part = parts.find(
        ({endpoint}) => endpoint.id === failedEndpoint.entry.id,
      );
      void server.prober.checkRefusal(
        failedEndpoint.entry.id,
        reason,
        part?.layers,
      );
    }
    this.finishAttempt?.(AttemptEnd.NotRun, reason);
  }

  private acceptFailureAnswer(answer: EndpointAnswer): void {
    const {status} = answer;
    const reason = `status ${status}`;
    const canForward = !isNotRunStatus(status) && !isSuccess(status);
    if (this.hasSentEvents || this.canRepeat() || !canForward) {
      this.finishAttempt?.(AttemptEnd.Broken, reason);
      return;
    }
    const first = this.reservation!.path.parts[0]!.endpoint.id;
    sendAnswer(this.context, first, answer, this.body.toFailureBody());
    this.finishAttempt?.(AttemptEnd.Done, reason);
  }

  private answerComplete(): void {
    const {response, server} = this.context;
    const {key} = this.reservation!.path;
    response.end();
    server.metrics.count(Counter.Answered);
    recordAnswered(this.context, key, this.answer!.status);
    this.finishAttempt?.(AttemptEnd.Done, 'complete');
  }

  private reportFailedAttempt(endpoint: string, reason: string): void {
    this.context.server.writeEvent(GatewayEvent.RequestAttemptFailed, {
      request: this.context.request.attemptId,
      endpoint,
      reason,
      lastEventId: this.lastEventId ?? '',
    });
  }

  private answerFailure(): void {
    const {server, service} = this.context;
    if (this.hasSentEvents) {
      closeEarly(this.context, 'no further attempt is allowed');
      return;
    }
    if (this.runs > 0) {
      refuseUnknownOutcome(this.context);
      return;
    }
    const returnAt = server.paths.findReturn(service.name, this.model);
    refuseUnserved(this.context, returnAt, this.notRun > 0);
  }
}
