import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  computeQueueTimeout,
  computeRetryDelay,
  type StagePath,
} from '@zinniaspindle/decisions';
import {GatewayEvent, isPast, type Instant} from '@zinniaspindle/shared';
import type {PathStream, PathReservation} from '../fleet/path_table.js';
import {Counter, Latency} from '../log/metrics.js';
import type {EndpointAnswer, ServiceModel} from '../ports/index.js';
import {EventSplitter} from './event_splitter.js';
import {FailureReason} from './failure.js';
import {isPromise, isSuccess} from './answer_status.js';
import {openUpstream} from './open_upstream.js';
import {
  recordDone,
  refuseUnknown,
  sendAnswer,
  writeHead,
} from './send_answer.js';
import type {RequestContext} from './request_context.js';
import {UpstreamEnd, type Upstream} from './upstream.js';

/** Sends of one request that no endpoint ran. */
const maxNotRun = 4;
/** A stream that paused already goes before new ones, whose urgency is 5. */
const resumedUrgency = 1;
/** A request that waits this long in a queue goes elsewhere, once. */
const firstEventMilliseconds = 900;
/** Callers leave a stream after a gap of 2 s. */
const resumeMilliseconds = 1700;
const pollMilliseconds = 40;

/** How one try on a path ended. */
enum TryEnd {
  Done = 'done',
  NotRun = 'notRun',
  Broken = 'broken',
}

/** Serves a stream of events over paths of a model's endpoints. */
export class StreamRequest implements PathStream {
  private upstream: Upstream | undefined;
  private reservation: PathReservation | undefined;
  private splitter = new EventSplitter();
  private answer: EndpointAnswer | undefined;
  private failureBody: Buffer[] = [];
  private finishTry: ((end: TryEnd, reason: string) => void) | undefined;
  private lastEventId: string | undefined;
  private hasBegun = false;
  private isWaiting = false;
  private hasMoved = false;
  private isAbandoned = false;
  private runs = 0;
  private notRun = 0;
  private lastEventAt: Instant;

  constructor(
    private readonly context: RequestContext,
    private readonly model: ServiceModel,
  ) {
    this.lastEventId = context.request.lastEventId;
    this.lastEventAt = context.receivedAt;
  }

  /** Tries paths until the stream is complete or no try is left. */
  async run(): Promise<void> {
    const {serving, service, deadline} = this.context;
    this.startDeadline();
    serving.budgets.recordFresh(service.name);
    for (;;) {
      const tokens = this.predictTokens();
      const path = await this.findPath(tokens);
      if (this.isAbandoned) return;
      if (path === undefined) break;
      const end = await this.runTry(path, tokens);
      if (this.isAbandoned || end === TryEnd.Done) return;
      if (isPast(deadline, serving.getNow()) || !this.canTryAgain()) break;
      if (!serving.budgets.takeRepeat(service.name)) break;
      serving.metrics.count(this.hasBegun ? Counter.Resumed : Counter.Retries);
    }
    this.answerFailure();
  }

  /** Ends the work for a caller that left. */
  cancel(): void {
    this.isAbandoned = true;
    this.cancelTry(TryEnd.Broken, 'caller left');
  }

  private startDeadline(): void {
    const {serving, response, deadline} = this.context;
    const left = Math.max(1, deadline - serving.getNow());
    const timer = setTimeout(() => this.expire(), left);
    response.on('close', () => clearTimeout(timer));
  }

  /** Ends the stream at its deadline. */
  private expire(): void {
    this.isAbandoned = true;
    this.cancelTry(TryEnd.Broken, 'deadline');
    const {refuse} = this.context;
    if (this.hasBegun) this.closeBroken('the deadline passed');
    else refuse({status: 504, reason: FailureReason.Deadline});
  }

  /**
   * Goes on elsewhere when the path has fallen silent. Without another path it
   * stays: this one may go on, or its endpoint ends the answer itself.
   */
  handleStall(): void {
    if (!this.canLeave() || !this.hasOtherPath()) return;
    this.swapPath('path is silent');
  }

  /**
   * Finds a path. A new request waits for one only while it can still be in
   * time, a stream that has begun until its caller would leave.
   */
  private async findPath(tokens: number): Promise<StagePath | undefined> {
    const {serving, service, route} = this.context;
    for (;;) {
      const path = serving.paths.pick(service.name, this.model, tokens);
      if (path !== undefined || this.isAbandoned) return path;
      const hasPath = serving.paths.hasUsable(service.name, this.model);
      const patience = this.hasBegun
        ? resumeMilliseconds
        : computeQueueTimeout(route.targetLatencyMilliseconds, hasPath);
      const waitUntil = this.lastEventAt + patience;
      if (isPast(waitUntil, serving.getNow())) return undefined;
      await waitMilliseconds(pollMilliseconds);
    }
  }

  /**
   * Tells whether the request may leave an endpoint that has not said that it
   * will not run it; what may run once at most must stay.
   */
  private canLeave(): boolean {
    if (!this.context.route.isResumable || !this.canTryAgain()) return false;
    return this.answer === undefined || this.canRepeat();
  }

  private hasOtherPath(): boolean {
    const {serving, service} = this.context;
    const tokens = this.predictTokens();
    // A path that has stalled is not picked for a while.
    return serving.paths.pick(service.name, this.model, tokens) !== undefined;
  }

  private swapPath(reason: string): void {
    if (this.answer === undefined) this.countUnanswered();
    this.cancelTry(TryEnd.Broken, reason);
  }

  /**
   * Counts a try that is given up without an answer. It may have begun just
   * now; beside a run that is known, one more could exceed the attempts.
   */
  private countUnanswered(): void {
    if (this.runs > 0) this.runs += 1;
    else this.notRun += 1;
  }

  /** Tells whether the caller is slower than the stream. */
  isPaused(): boolean {
    return this.isWaiting;
  }

  private predictTokens(): number {
    const {promptTokens, estimatedAnswerTokens, maxAnswerTokens} =
      this.context.request;
    const usual = estimatedAnswerTokens ?? this.model.meanAnswerTokens;
    return promptTokens + Math.min(usual, maxAnswerTokens);
  }

  private canRepeat(): boolean {
    const {route} = this.context;
    return route.isResumable && this.runs < route.maxAttempts;
  }

  private canTryAgain(): boolean {
    if (this.runs > 0) return this.canRepeat();
    return this.notRun < maxNotRun;
  }

  private runTry(path: StagePath, tokens: number): Promise<TryEnd> {
    const {serving} = this.context;
    const first = path.parts[0]!.endpoint;
    this.splitter = new EventSplitter();
    this.answer = undefined;
    this.failureBody = [];
    const reservation = serving.paths.reserve(path, tokens, this);
    this.reservation = reservation;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.cancelQueued(reservation);
      }, firstEventMilliseconds);
      this.finishTry = (end, reason) => {
        clearTimeout(timer);
        this.finishTry = undefined;
        serving.paths.release(reservation);
        if (end !== TryEnd.Done) this.reportRetry(first.id, reason);
        resolve(end);
      };
      this.upstream = openUpstream(
        this.context,
        first,
        {
          urgency: this.hasBegun ? resumedUrgency : undefined,
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

  /** Leaves a path on which others get events and this request gets none. */
  private cancelQueued(reservation: PathReservation): void {
    if (reservation.hasStarted || this.hasMoved || !this.canLeave()) return;
    if (this.answer !== undefined) return;
    this.hasMoved = true;
    this.swapPath('no first event in time');
  }

  private cancelTry(end: TryEnd, reason: string): void {
    this.upstream?.cancel();
    this.finishTry?.(end, reason);
  }

  private acceptAnswer(answer: EndpointAnswer): void {
    this.answer = answer;
    if (!answer.isNotRun) this.runs += 1;
  }

  private isSuccess(): boolean {
    const {answer} = this;
    return answer !== undefined && answer.status === 200 && answer.hasSeal;
  }

  private acceptChunk(chunk: Buffer): void {
    if (!this.isSuccess()) {
      this.failureBody.push(chunk);
      return;
    }
    const events = this.splitter.accept(chunk);
    if (events === undefined) return;
    const {serving, response} = this.context;
    serving.paths.recordProgress(this.reservation!);
    this.recordEvent();
    if (!this.hasBegun) {
      this.hasBegun = true;
      writeHead(this.context, this.answer!, undefined);
    }
    this.lastEventId = events.lastId ?? this.lastEventId;
    if (response.write(events.bytes)) return;
    const {upstream} = this;
    this.isWaiting = true;
    upstream?.stopReading();
    response.once('drain', () => {
      this.isWaiting = false;
      upstream?.resumeReading();
    });
  }

  private recordEvent(): void {
    const {serving} = this.context;
    const now = serving.getNow();
    const latency = this.hasBegun ? Latency.EventGap : Latency.FirstEvent;
    serving.metrics.record(latency, now - this.lastEventAt);
    this.lastEventAt = now;
  }

  private acceptEnd(end: UpstreamEnd, detail: string): void {
    if (end === UpstreamEnd.NotSent) {
      this.notRun += 1;
      const first = this.reservation!.path.parts[0]!.endpoint.id;
      void this.context.serving.prober.checkRefusal(first, detail, undefined);
      this.finishTry?.(TryEnd.NotRun, detail);
      return;
    }
    if (end === UpstreamEnd.Broken) {
      if (this.answer === undefined) this.runs += 1;
      const {path} = this.reservation!;
      const {prober, paths} = this.context.serving;
      void prober.probePath(path, () => paths.dropStreams(path));
      this.finishTry?.(TryEnd.Broken, detail);
      return;
    }
    const {answer} = this;
    if (answer!.isNotRun) return this.acceptNotRun(answer!);
    if (!this.isSuccess()) return this.acceptFailure(answer!);
    if (this.splitter.hasRest() || !this.hasBegun) {
      this.finishTry?.(TryEnd.Broken, 'ended within an event');
      return;
    }
    this.answerWhole();
  }

  private acceptNotRun(answer: EndpointAnswer): void {
    this.notRun += 1;
    const {serving} = this.context;
    const {parts} = this.reservation!.path;
    const first = parts[0]!.endpoint;
    if (answer.endpointId !== undefined && answer.endpointId !== first.id) {
      serving.endpoints.removeReplaced(first.id);
      this.finishTry?.(TryEnd.NotRun, `${answer.endpointId} has the address`);
      return;
    }
    const address = answer.failedAddress ?? first.address;
    const fault = serving.endpoints.findByAddress(address);
    const reason = `status ${answer.status} at ${address}`;
    if (fault !== undefined) {
      const part = parts.find(({endpoint}) => endpoint.id === fault.entry.id);
      void serving.prober.checkRefusal(fault.entry.id, reason, part?.layers);
    }
    this.finishTry?.(TryEnd.NotRun, reason);
  }

  private acceptFailure(answer: EndpointAnswer): void {
    const reason = `status ${answer.status}`;
    if (this.hasBegun || this.canRepeat()) {
      this.finishTry?.(TryEnd.Broken, reason);
      return;
    }
    if (isPromise(answer.status) || isSuccess(answer.status)) {
      this.finishTry?.(TryEnd.Broken, reason);
      return;
    }
    const first = this.reservation!.path.parts[0]!.endpoint.id;
    sendAnswer(this.context, first, answer, Buffer.concat(this.failureBody));
    this.finishTry?.(TryEnd.Done, reason);
  }

  private answerWhole(): void {
    const {response, serving} = this.context;
    response.end();
    serving.metrics.count(Counter.Answered);
    recordDone(this.context, this.reservation!.path.key, this.answer!.status);
    this.finishTry?.(TryEnd.Done, 'complete');
  }

  private reportRetry(endpoint: string, reason: string): void {
    this.context.serving.writeEvent(GatewayEvent.RequestAttemptFailed, {
      request: this.context.request.attemptId,
      endpoint,
      reason,
      lastEventId: this.lastEventId ?? '',
    });
  }

  private answerFailure(): void {
    const {refuse, deadline, serving} = this.context;
    if (this.hasBegun) {
      this.closeBroken('no further try is allowed');
      return;
    }
    if (this.runs > 0) {
      refuseUnknown(this.context);
      return;
    }
    const reason =
      this.notRun > 0 ? FailureReason.EndpointsBusy : FailureReason.NoEndpoint;
    const after = computeRetryDelay(deadline - serving.getNow(), Math.random);
    refuse({status: 503, reason, retryAfterMilliseconds: after});
  }

  /** Breaks the connection, so that the answer does not look complete. */
  private closeBroken(reason: string): void {
    const {response, serving, request, receivedAt} = this.context;
    response.destroy();
    serving.metrics.count(Counter.Failed);
    serving.writeEvent(GatewayEvent.RequestFailed, {
      request: request.attemptId,
      status: 'broken off',
      ms: Math.round(serving.getNow() - receivedAt),
      reason,
      lastEventId: this.lastEventId ?? '',
    });
  }
}
