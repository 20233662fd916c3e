import {
  AfterAttempt,
  AttemptOutcome,
  canForwardStatus,
  chooseAfterAttempt,
  FailureCertainty,
  findParallelDenial,
  recordOutcome,
  recordSuccess,
  RetryDenial,
  type AttemptLimits,
  type Attempts,
} from '@zinniaspindle/decisions';
import {isPast, type Deadline} from '@zinniaspindle/shared';
import type {EndpointState} from '../fleet/endpoint_state.js';
import {Counter} from '../log/metrics.js';
import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import {isSuccess} from './answer_status.js';
import {canRunAgain} from './can_run_again.js';
import type {RequestProgress} from './open_requests.js';
import {PickDenial, pickEndpoint} from './pick_endpoint.js';
import {PlainAttempt, type AttemptOwner} from './plain_attempt.js';
import {refuseFailed} from './refuse_failed.js';
import type {RequestContext} from './request_context.js';
import {
  closeEarly,
  recordAnswered,
  recordRetry,
  sendAnswer,
} from './send_answer.js';
import {UpstreamEnd} from './upstream.js';

/** Attempts of one request that end without the request having run. */
const maxNotRun = 4;
/**
 * Time after which an attempt that can be repeated gets a second one beside it,
 * in multiples of the route's target latency.
 */
const secondAttemptTargets = 2;
/** Interval at which a slow attempt is checked for another endpoint. */
const secondCheckMilliseconds = 100;
const slowReason = 'no answer in time';

/**
 * Handles a request of a plain service, whose answer is buffered where possible.
 * A slow attempt goes on beside a second one; the first answer is given, and the
 * other attempt is cancelled.
 */
export class PlainRequestHandler implements AttemptOwner {
  private readonly running: PlainAttempt[] = [];
  private readonly ended: PlainAttempt[] = [];
  private readonly attempts: Attempts = {runs: 0, notRun: 0};
  private readonly limits: AttemptLimits;
  private isDone = false;
  private readonly tried = new Set<string>();
  private deadlineTimer: NodeJS.Timeout | undefined;
  private checkTimer: NodeJS.Timeout | undefined;
  /** Why there was no endpoint for the last attempt that was asked for. */
  private denial: PickDenial | undefined;
  /** An attempt whose failed answer is forwarded when no other one succeeds. */
  private lastFailure: PlainAttempt | undefined;

  constructor(private readonly context: RequestContext) {
    const {kind, maxAttempts: maxRuns} = context.route;
    this.limits = {canRepeat: kind === RouteKind.Safe, maxRuns, maxNotRun};
  }

  /** Sends the request to an endpoint, if there is one. */
  run(): void {
    const {service, server, deadline} = this.context;
    server.budgets.recordRequest(service.name);
    this.deadlineTimer = this.startTimer(deadline, () => this.expire());
    this.startNext();
  }

  /** Tells how far the request has come. */
  describeProgress(): RequestProgress {
    return {endpoint: [...this.tried].at(-1) ?? '', lastEventId: ''};
  }

  /** Ends the request with an unknown outcome if it may have run, else unrun. */
  answerNow(): void {
    this.attempts.runs += this.running.length;
    this.close('the VM exits');
    this.answerFailure();
  }

  /** Cancels the request, whose caller has disconnected. */
  cancel(): void {
    this.close('caller disconnected');
  }

  /** Tells whether an attempt may forward its answer; ends the other one then. */
  takeCaller(attempt: PlainAttempt, {status}: EndpointAnswer): boolean {
    const isFailure = status >= 500 && this.running.length > 1;
    if (isFailure) return false;
    clearTimeout(this.checkTimer);
    this.cancelOthers(attempt);
    return true;
  }

  /** Decides what follows the end of an attempt. */
  handleEnd(attempt: PlainAttempt, end: UpstreamEnd, detail: string): void {
    this.running.splice(this.running.indexOf(attempt), 1);
    this.ended.push(attempt);
    const outcome = this.findOutcome(attempt, end);
    recordOutcome(this.attempts, outcome);
    if (end === UpstreamEnd.Complete && outcome !== AttemptOutcome.NotRun) {
      attempt.watch.handleAnswer();
    }
    if (attempt.buffer.isForwarding) {
      return this.closeAnswer(attempt, end, detail);
    }
    this.reportOutcome(attempt, end, outcome, detail);
    switch (chooseAfterAttempt(outcome, this.running.length)) {
      case AfterAttempt.Answer:
        return this.sendAnswer(attempt);
      case AfterAttempt.Wait:
        return this.startCheck();
      case AfterAttempt.Retry:
        return this.sendAgain(attempt);
    }
  }

  private findOutcome(
    {answer}: PlainAttempt,
    end: UpstreamEnd,
  ): AttemptOutcome {
    if (end === UpstreamEnd.NotSent) return AttemptOutcome.NotRun;
    if (end === UpstreamEnd.Broken) return AttemptOutcome.Broken;
    if (answer!.isNotRun) return AttemptOutcome.NotRun;
    if (answer!.status >= 500 && this.canFollow()) return AttemptOutcome.Failed;
    return this.canForward(answer!)
      ? AttemptOutcome.Answered
      : AttemptOutcome.Broken;
  }

  private canForward({status, hasSeal}: EndpointAnswer): boolean {
    if (isSuccess(status)) return hasSeal;
    return canForwardStatus(status, canRunAgain(this.context.route));
  }

  /** Tells whether an answer may follow that of an attempt that has just run. */
  private canFollow(): boolean {
    if (this.running.length > 0) return true;
    const runs = this.attempts.runs + 1;
    return this.limits.canRepeat && runs < this.limits.maxRuns;
  }

  private reportOutcome(
    attempt: PlainAttempt,
    end: UpstreamEnd,
    outcome: AttemptOutcome,
    detail: string,
  ): void {
    if (outcome === AttemptOutcome.Answered) return;
    if (end === UpstreamEnd.Complete) {
      attempt.logFailed(`status ${attempt.answer!.status}`);
      if (outcome === AttemptOutcome.Failed) this.lastFailure = attempt;
      return;
    }
    const isCertain = end === UpstreamEnd.NotSent;
    attempt.reportFailure(
      isCertain ? FailureCertainty.Certain : FailureCertainty.Suspected,
    );
    attempt.logFailed(detail);
  }

  private sendAgain(ended: PlainAttempt): void {
    const denial = this.takeRetry();
    if (denial === undefined) return this.startNext();
    ended.log.logGivenUp(denial);
    this.answerFailure();
  }

  /** Takes a further attempt from the budget; tells why there is none. */
  private takeRetry(): RetryDenial | undefined {
    const {service, deadline, server} = this.context;
    if (isPast(deadline, server.getNow())) return RetryDenial.Deadline;
    const denial = this.findDenial();
    if (denial !== undefined) return denial;
    if (!server.budgets.takeRetry(service.name)) return RetryDenial.Budget;
    return undefined;
  }

  private findDenial(): RetryDenial | undefined {
    const running = this.running.length;
    const denial = findParallelDenial({...this.attempts, running}, this.limits);
    if (denial !== undefined) return denial;
    const isSuspect = this.ended.some(({watch}) => watch.isSuspect());
    return isSuspect ? RetryDenial.Suspect : undefined;
  }

  private startNext(): void {
    const endpoint = this.pickEndpoint(true);
    if (endpoint !== undefined) return this.startAttempt(endpoint);
    this.ended.at(-1)?.log.logGivenUp(RetryDenial.Place);
    this.answerFailure();
  }

  private startAttempt(endpoint: EndpointState): void {
    const earlier = this.running.length + this.ended.length;
    if (earlier > 0) {
      this.context.server.metrics.count(Counter.Retries);
      recordRetry(this.context, endpoint.entry.id, earlier);
    }
    this.tried.add(endpoint.entry.id);
    const attempt = new PlainAttempt(this.context, endpoint, this, earlier > 0);
    this.running.push(attempt);
    attempt.start();
    this.startCheck();
  }

  /** Starts to check whether the only attempt is slow. */
  private startCheck(): void {
    clearTimeout(this.checkTimer);
    const [attempt] = this.running;
    const denial = this.findDenial();
    if (attempt === undefined || denial !== undefined) return;
    const {server, route} = this.context;
    const timeout = secondAttemptTargets * route.targetLatencyMilliseconds;
    const checkAt = Math.max(
      attempt.sentAt + timeout,
      server.getNow() + secondCheckMilliseconds,
    );
    this.checkTimer = this.startTimer(checkAt, () => this.addAttempt(attempt));
  }

  /** Makes a second attempt beside a slow one, if there is a place for it. */
  private addAttempt(slow: PlainAttempt): void {
    if (slow.buffer.isForwarding) return;
    const {server, service} = this.context;
    const taken = server.budgets.takeMove(service.name, () =>
      this.pickEndpoint(false),
    );
    if (taken.isErr) {
      slow.log.logStay(taken.error, slow.sentAt);
      return this.startCheck();
    }
    const endpoint = taken.value;
    slow.watch.handleMove();
    slow.log.logMove(endpoint.entry.id, slowReason, slow.sentAt);
    this.startAttempt(endpoint);
  }

  private pickEndpoint(canFail: boolean): EndpointState | undefined {
    const picked = pickEndpoint(this.context, this.tried, canFail);
    this.denial = picked.isErr ? picked.error : undefined;
    return picked.unwrapOr(undefined);
  }

  private startTimer(until: Deadline, handle: () => void): NodeJS.Timeout {
    // A timer may fire a fraction of a millisecond early.
    const wait = Math.ceil(until - this.context.server.getNow()) + 1;
    return setTimeout(handle, Math.max(1, wait));
  }

  /** Ends the request at its deadline. */
  private expire(): void {
    const forwarding = this.running.find(({buffer}) => buffer.isForwarding);
    for (const attempt of this.running) {
      this.attempts.runs += 1;
      attempt.watch.handleMove();
      attempt.reportFailure(FailureCertainty.Suspected);
    }
    const last = this.running.at(-1);
    this.close(slowReason);
    if (forwarding !== undefined) return closeEarly(this.context, slowReason);
    last?.log.logGivenUp(RetryDenial.Deadline);
    this.answerFailure();
  }

  private sendAnswer(attempt: PlainAttempt): void {
    const {endpoint, answer, buffer} = attempt;
    this.cancelOthers(attempt);
    this.close('');
    recordSuccess(endpoint.breaker);
    sendAnswer(this.context, endpoint.entry.id, answer!, buffer.toBody());
  }

  /** Ends an answer whose beginning has already been forwarded. */
  private closeAnswer(
    attempt: PlainAttempt,
    end: UpstreamEnd,
    detail: string,
  ): void {
    const {response, server} = this.context;
    this.close('');
    if (end === UpstreamEnd.Complete) {
      response.end();
      server.metrics.count(Counter.Answered);
      const {id} = attempt.endpoint.entry;
      recordAnswered(this.context, id, attempt.answer!.status);
      return;
    }
    // The broken connection tells the caller that the answer is incomplete.
    attempt.logFailed(detail);
    closeEarly(this.context, detail);
  }

  /** Cancels the attempts that another one has overtaken. */
  private cancelOthers(winner: PlainAttempt): void {
    for (const attempt of [...this.running]) {
      if (attempt === winner) continue;
      // One that began later has had less time.
      const isSlower = attempt.sentAt < winner.sentAt;
      if (isSlower) attempt.reportFailure(FailureCertainty.Suspected);
      this.running.splice(this.running.indexOf(attempt), 1);
      attempt.cancel('another attempt has answered');
    }
  }

  private close(reason: string): void {
    if (this.isDone) return;
    this.isDone = true;
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.checkTimer);
    for (const attempt of this.running.splice(0)) attempt.cancel(reason);
  }

  private answerFailure(): void {
    const {lastFailure, context} = this;
    this.close('');
    if (lastFailure === undefined) {
      return refuseFailed(context, this.attempts, this.denial);
    }
    const {endpoint, answer, buffer} = lastFailure;
    sendAnswer(context, endpoint.entry.id, answer!, buffer.toBody());
  }
}
