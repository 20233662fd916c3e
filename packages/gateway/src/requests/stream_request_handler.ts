import {
  addAttempt,
  applyProgress,
  computeMoveDelay,
  createAttemptPair,
  findMoveDenial,
  findRetryDenial,
  hasRoom,
  isPromise,
  listAttempts,
  recordUnanswered,
  removeAttempt,
  RetryDenial,
  type AttemptLimits,
  type Attempts,
} from '@zinniaspindle/decisions';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {PathReservation} from '../fleet/path_table.js';
import {Counter, Latency} from '../log/metrics.js';
import type {ServiceModel} from '../ports/index.js';
import {FailureReason} from './failure.js';
import {isSuccess} from './answer_status.js';
import {AttemptEnder, AttemptLog} from './attempt_log.js';
import type {AttemptWatch} from './attempt_watch.js';
import {EndedRuns} from './ended_runs.js';
import type {RequestProgress} from './open_requests.js';
import {MoveReason} from './move_reason.js';
import {
  closeEarly,
  recordAnswered,
  recordRetry,
  sendAnswer,
  writeHead,
} from './send_answer.js';
import {refuseFailedStream} from './refuse_failed.js';
import type {RequestContext} from './request_context.js';
import {
  StreamAttempt,
  StreamEnd,
  type StreamListener,
} from './stream_attempt.js';
import type {CompleteEvents} from './stream_body.js';
import {StreamEnds} from './stream_ends.js';
import {computeWaitEnds} from './wait_ends.js';
import {StreamPlaces, type PlaceWait} from './stream_places.js';

/** Attempts of one request that end without the request having run. */
const maxNotRun = 4;

/** What has become of a request none of whose attempts is left. */
enum RequestEnd {
  Answered = 'answered',
  Unanswered = 'unanswered',
}

/** Handles a streaming request over paths of a model's endpoints. */
export class StreamRequestHandler implements StreamListener {
  private readonly running = createAttemptPair<StreamAttempt>();
  private readonly places: StreamPlaces;
  private settle: ((end: RequestEnd) => void) | undefined;
  private lastEventId: string | undefined;
  private hasSentEvents = false;
  private isBackpressured = false;
  /** Whether it has been sent to another endpoint because it was queued. */
  private hasLeftQueue = false;
  private sends = 0;
  /** Attempts since the last progress that did not run. */
  private refusals = 0;
  /** It is not sent beside a running attempt before this instant. */
  private nextMoveAt: Deadline = -Infinity;
  private isAbandoned = false;
  private readonly attempts: Attempts = {runs: 0, notRun: 0};
  private limits: AttemptLimits;
  private readonly endedRuns: EndedRuns;
  private lastEventAt: Instant;
  private readonly log: AttemptLog;
  private readonly ends = new StreamEnds();
  /** That of the last attempt that has ended. */
  private lastWatch: AttemptWatch | undefined;

  constructor(
    private readonly context: RequestContext,
    private readonly model: ServiceModel,
  ) {
    this.lastEventId = context.request.lastEventId;
    this.lastEventAt = context.receivedAt;
    this.log = new AttemptLog(context);
    this.endedRuns = new EndedRuns(context.server);
    this.places = new StreamPlaces(context, model, {
      handleStall: reservation => this.handleStall(reservation),
      isPaused: reservation => this.isPaused(reservation),
    });
    const {isResumable: canRepeat, maxAttempts: maxRuns} = context.route;
    this.limits = {canRepeat, maxRuns, maxNotRun};
  }

  /** Tries paths until the stream is complete or no attempt is left. */
  async run(): Promise<void> {
    const {server, service} = this.context;
    this.startDeadline();
    server.budgets.recordRequest(service.name);
    let reservation = await this.waitForPlace();
    while (reservation !== undefined && !this.isAbandoned) {
      const end = await this.runAttempts(reservation);
      if (end === RequestEnd.Answered) return;
      reservation = await this.findNext();
    }
    if (this.isAbandoned) {
      if (reservation !== undefined) server.paths.release(reservation);
      return;
    }
    this.answerFailure();
  }

  /** Finds the place of a further attempt; undefined if there is none. */
  private async findNext(): Promise<PathReservation | undefined> {
    if (this.isAbandoned) return undefined;
    let denial = this.takeRetry();
    if (denial === RetryDenial.Attempts) {
      this.attempts.runs -= await this.endedRuns.takeEnded();
      if (this.isAbandoned) return undefined;
      denial = this.takeRetry();
    }
    if (denial !== undefined) {
      this.log.logGivenUp(denial);
      return undefined;
    }
    return this.waitForPlace();
  }

  /** Tells how far the stream has come. */
  describeProgress(): RequestProgress {
    const endpoint = this.running.current?.reservation.path.key ?? '';
    return {endpoint, lastEventId: this.lastEventId ?? ''};
  }

  /** Ends the stream with an unknown outcome if it may have run, else unrun. */
  answerNow(): void {
    for (const {answer} of listAttempts(this.running)) {
      if (answer === undefined) this.attempts.runs += 1;
    }
    this.cancel();
    this.answerFailure();
  }

  /** Cancels the stream, whose caller has disconnected. */
  cancel(): void {
    this.cancelAll('caller disconnected');
  }

  private cancelAll(reason: string): void {
    this.isAbandoned = true;
    this.places.cancelWait();
    this.places.cancelMove();
    for (const attempt of listAttempts(this.running)) {
      removeAttempt(this.running, attempt);
      this.dropAttempt(attempt, reason);
    }
    this.settle?.(RequestEnd.Unanswered);
  }

  private startDeadline(): void {
    const {server, response, deadline} = this.context;
    const remaining = Math.max(1, deadline - server.getNow());
    const timer = setTimeout(() => this.expire(), remaining);
    response.on('close', () => clearTimeout(timer));
  }

  /** Ends the stream at its deadline. */
  private expire(): void {
    if (this.places.isWaiting()) this.log.logGivenUp(RetryDenial.Deadline);
    this.cancelAll('deadline passed');
    if (this.hasSentEvents) closeEarly(this.context, 'the deadline passed');
    else this.context.refuse({status: 504, reason: FailureReason.Deadline});
  }

  private handleStall(reservation: PathReservation): void {
    if (this.running.current?.reservation !== reservation) return;
    this.startMove(MoveReason.Silent);
  }

  handleSilence(attempt: StreamAttempt): void {
    this.handleStall(attempt.reservation);
  }

  /**
   * Sends a request that is still queued at its endpoint to another one as well,
   * once. The stall check does not cover this case while other streams of the
   * path make progress.
   */
  handleQueued(attempt: StreamAttempt): void {
    if (attempt !== this.running.current || this.hasLeftQueue) return;
    this.startMove(MoveReason.Queued);
  }

  /**
   * Sends the request to another path as well, once there is a place for it. The
   * attempt without progress goes on, since it may be alive and the next one may
   * fail; the first of the two to make progress is kept.
   */
  private startMove(reason: MoveReason): void {
    const {current} = this.running;
    if (current === undefined || !hasRoom(this.running)) return;
    if (!isPast(this.nextMoveAt, this.context.server.getNow())) return;
    const findDenial = () =>
      findMoveDenial(this.attempts, this.limits, current.answer !== undefined);
    const denial = findDenial();
    if (denial !== undefined) {
      this.log.logStay(denial, this.lastEventAt);
      return;
    }
    const wait = this.makeWait(this.context.deadline);
    this.places.startMove(current.reservation, wait, findDenial, result => {
      if (result.isOk) this.sendBeside(result.value, reason);
      else this.log.logStay(result.error, this.lastEventAt);
    });
    if (!this.places.isMoving()) return;
    this.log.logStay(RetryDenial.Place, this.lastEventAt);
  }

  private sendBeside(reservation: PathReservation, reason: MoveReason): void {
    if (reason === MoveReason.Queued) this.hasLeftQueue = true;
    this.log.logMove(reservation.path.key, reason, this.lastEventAt);
    this.sendTo(reservation);
  }

  /**
   * Waits for a place on a path. A new request waits as long as it can still be
   * answered in time, a started stream until its caller leaves or its deadline.
   */
  private async waitForPlace(): Promise<PathReservation | undefined> {
    const reservation = await this.places.wait(this.makeFirstWait());
    if (reservation === undefined && !this.isAbandoned) {
      this.log.logGivenUp(RetryDenial.Place);
    }
    return reservation;
  }

  private makeFirstWait(): PlaceWait {
    const {context, model, lastEventAt} = this;
    if (this.hasSentEvents) return this.makeWait(context.deadline);
    const ends = computeWaitEnds(context, model, lastEventAt);
    return {...this.makeWait(ends.waitUntil), ...ends};
  }

  private makeWait(waitUntil: Deadline): PlaceWait {
    const {emptyPath: answered} = this.ends;
    return {isResumed: this.hasSentEvents, waitUntil, answered};
  }

  /** Tells whether the stream is paused because the caller reads too slowly. */
  private isPaused(reservation: PathReservation): boolean {
    const isCurrent = this.running.current?.reservation === reservation;
    return isCurrent && this.isBackpressured;
  }

  /** Takes a further attempt from the budget; tells why there is none. */
  private takeRetry(): RetryDenial | undefined {
    const {server, service, deadline} = this.context;
    if (isPast(deadline, server.getNow())) return RetryDenial.Deadline;
    const denial = findRetryDenial(this.attempts, this.limits);
    if (denial !== undefined) return denial;
    if (this.lastWatch?.isSuspect() === true) return RetryDenial.Suspect;
    if (!this.canConfirm()) return RetryDenial.Place;
    if (!server.budgets.takeRetry(service.name)) return RetryDenial.Budget;
    return undefined;
  }

  /** Tells whether an endpoint is listed that can confirm an empty answer. */
  private canConfirm(): boolean {
    const {emptyPath} = this.ends;
    if (emptyPath === undefined) return true;
    const {id} = emptyPath.parts[0]!.endpoint;
    const {server, service} = this.context;
    const listed = server.endpoints.list(service.name);
    return listed.some(({entry}) => entry.id !== id);
  }

  /** Runs an attempt, and those beside it, until none is left. */
  private runAttempts(reservation: PathReservation): Promise<RequestEnd> {
    return new Promise(resolve => {
      this.settle = end => {
        this.settle = undefined;
        this.log.recordEnd();
        resolve(end);
      };
      this.log.recordStart(reservation.path.key);
      this.sendTo(reservation);
    });
  }

  private sendTo(reservation: PathReservation): void {
    const isFurther = this.sends > 0;
    if (isFurther) {
      const first = reservation.path.parts[0]!.endpoint.id;
      recordRetry(this.context, first, this.sends);
      const counter = this.hasSentEvents ? Counter.Resumed : Counter.Retries;
      this.context.server.metrics.count(counter);
    }
    const {lastEventId, hasSentEvents: isResumed, ends} = this;
    const start = {lastEventId, isResumed, isFurther, ends};
    this.sends += 1;
    const attempt = new StreamAttempt(this.context, reservation, start, this);
    addAttempt(this.running, attempt);
  }

  /** Gives up an attempt; one without an answer may have run the request. */
  private dropAttempt(attempt: StreamAttempt, reason: string): void {
    if (attempt.answer === undefined) recordUnanswered(this.attempts);
    attempt.watch.handleMove();
    attempt.cancel();
    this.lastWatch = attempt.watch;
    this.logFailed(attempt, reason, AttemptEnder.Vm);
  }

  private logFailed(
    attempt: StreamAttempt,
    reason: string,
    endedBy?: AttemptEnder,
  ): void {
    const lastEventId = this.lastEventId ?? '';
    const {id} = attempt.getFirst();
    this.log.logFailed(id, reason, {lastEventId}, endedBy);
  }

  handleAnswer(): void {
    this.attempts.runs += 1;
  }

  handleEvents(attempt: StreamAttempt, events: CompleteEvents): void {
    const {response} = this.context;
    const earlier = this.running.current;
    const other = applyProgress(this.running, attempt);
    if (other !== undefined) {
      this.dropAttempt(other, `${attempt.getFirst().id} has made progress`);
    }
    if (attempt !== earlier) {
      this.log.recordStart(attempt.reservation.path.key);
    }
    this.places.recordEvents(attempt.reservation);
    this.recordEvent();
    this.ends.recordEvents();
    if (!this.hasSentEvents) {
      writeHead(this.context, attempt.answer!, undefined);
      this.hasSentEvents = true;
      // It may have no counted run, since its endpoints have ended.
      this.limits = {...this.limits, maxNotRun: Infinity};
    }
    this.lastEventId = events.lastId ?? this.lastEventId;
    if (response.write(events.bytes)) return;
    this.isBackpressured = true;
    attempt.stopReading();
    response.once('drain', () => {
      this.isBackpressured = false;
      attempt.resumeReading();
    });
  }

  private recordEvent(): void {
    const {server} = this.context;
    const now = server.getNow();
    const latency = this.hasSentEvents ? Latency.EventGap : Latency.FirstEvent;
    server.metrics.record(latency, now - this.lastEventAt);
    this.lastEventAt = now;
    this.refusals = 0;
    this.places.cancelMove();
  }

  handleEnd(attempt: StreamAttempt, end: StreamEnd, detail: string): void {
    const isCurrent = attempt === this.running.current;
    if (end === StreamEnd.Complete && isCurrent) {
      return this.answerComplete(attempt);
    }
    if (end === StreamEnd.NotRun) this.recordNotRun();
    else if (attempt.answer === undefined) this.attempts.runs += 1;
    this.lastWatch = attempt.watch;
    if (end === StreamEnd.Broken) this.endedRuns.recordBreak(attempt);
    const left = removeAttempt(this.running, attempt);
    const canForward = end === StreamEnd.Failed && left === undefined;
    if (canForward && this.sendFailure(attempt)) return;
    this.logFailed(attempt, detail);
    if (left === undefined) this.places.cancelMove();
    if (left === undefined) this.settle?.(RequestEnd.Unanswered);
    else if (isCurrent) this.log.recordStart(left.reservation.path.key);
  }

  private recordNotRun(): void {
    this.attempts.notRun += 1;
    const now = this.context.server.getNow();
    this.refusals += 1;
    this.nextMoveAt = now + computeMoveDelay(this.refusals);
    // It is still queued where it was before, if anywhere.
    this.hasLeftQueue = false;
  }

  /** Forwards the failure that ended the last attempt, if the caller may get it. */
  private sendFailure(attempt: StreamAttempt): boolean {
    const {status} = attempt.answer!;
    if (isPromise(status) || isSuccess(status)) return false;
    const denial = findRetryDenial(this.attempts, this.limits);
    if (this.hasSentEvents || denial === undefined) return false;
    const body = attempt.getFailureBody();
    this.places.cancelMove();
    sendAnswer(this.context, attempt.getFirst().id, attempt.answer!, body);
    this.settle?.(RequestEnd.Answered);
    return true;
  }

  private answerComplete(attempt: StreamAttempt): void {
    const {response, server} = this.context;
    const {key} = attempt.reservation.path;
    const other = applyProgress(this.running, attempt);
    removeAttempt(this.running, attempt);
    if (other !== undefined) this.dropAttempt(other, 'the answer is complete');
    this.places.cancelMove();
    if (!this.hasSentEvents) writeHead(this.context, attempt.answer!, 0);
    response.end();
    server.metrics.count(Counter.Answered);
    recordAnswered(this.context, key, attempt.answer!.status);
    this.settle?.(RequestEnd.Answered);
  }

  private answerFailure(): void {
    if (this.hasSentEvents) {
      closeEarly(this.context, 'no further attempt is allowed');
      return;
    }
    refuseFailedStream(this.context, this.attempts, this.model);
  }
}
