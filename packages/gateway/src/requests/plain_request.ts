import {
  canSend,
  FailureCertainty,
  recordFailure,
  recordSend,
  recordSuccess,
} from '@zinniaspindle/decisions';
import {GatewayEvent, isPast, type Deadline} from '@zinniaspindle/shared';
import type {EndpointState} from '../fleet/endpoint_state.js';
import {Counter} from '../log/metrics.js';
import {RouteKind, type EndpointAnswer} from '../ports/index.js';
import {AnswerBuffer} from './answer_buffer.js';
import {FailureReason, type OwnAnswer} from './failure.js';
import {isPromise, isSuccess} from './answer_status.js';
import {openUpstream} from './open_upstream.js';
import {recordDone, refuseUnknown, sendAnswer} from './send_answer.js';
import type {RequestContext} from './request_context.js';
import {UpstreamEnd, type Upstream} from './upstream.js';

/** Sends of one request that no endpoint ran. */
const maxNotRun = 4;
/** A first try of a repeatable request waits this many targets long. */
const firstTryTargets = 2;
const retryAfterMilliseconds = 400;
/** Ranks an endpoint that fails behind all others. */
const failingPenalty = 1000;

/** How one try at an endpoint ended. */
interface TryResult {
  readonly end: UpstreamEnd;
  readonly detail: string;
  readonly answer: EndpointAnswer | undefined;
  readonly buffer: AnswerBuffer;
}

/** Serves a request of a plain service: one answer, sent once it is whole. */
export class PlainRequest {
  private upstream: Upstream | undefined;
  private isAbandoned = false;
  private runs = 0;
  private notRun = 0;
  private readonly tried = new Set<string>();
  /** A failure of an endpoint, relayed when no try does better. */
  private failure: TryResult | undefined;

  constructor(private readonly context: RequestContext) {}

  /** Tries endpoints until one answers or no further try is allowed. */
  async run(): Promise<void> {
    const {route, service, deadline, serving} = this.context;
    serving.budgets.recordFresh(service.name);
    for (;;) {
      const endpoint = this.pickEndpoint();
      if (endpoint === undefined) break;
      const tryDeadline = this.computeTryDeadline();
      const result = await this.sendTo(endpoint, tryDeadline);
      if (this.isAbandoned) return;
      if (this.resolveTry(endpoint, result)) return;
      if (isPast(deadline, serving.getNow())) break;
      if (this.notRun >= maxNotRun || this.runs >= route.maxAttempts) break;
      if (!serving.budgets.takeRepeat(service.name)) break;
      serving.metrics.count(Counter.Retries);
    }
    this.answerFailure();
  }

  /** Ends the work for a caller that left. */
  cancel(): void {
    this.isAbandoned = true;
    this.upstream?.cancel();
  }

  /** Picks the least busy endpoint; one that fails only if no other is left. */
  private pickEndpoint(): EndpointState | undefined {
    const {serving, service} = this.context;
    const now = serving.getNow();
    let best: EndpointState | undefined;
    let least = Infinity;
    for (const state of serving.endpoints.list(service.name)) {
      if (state.entry.isDraining || this.tried.has(state.entry.id)) continue;
      const isFailing = !canSend(state.breaker, now);
      const rank =
        state.running + Math.random() + (isFailing ? failingPenalty : 0);
      if (rank >= least) continue;
      least = rank;
      best = state;
    }
    if (best !== undefined) recordSend(best.breaker, now);
    return best;
  }

  private canRepeat(): boolean {
    const {route} = this.context;
    return route.kind === RouteKind.Safe && this.runs < route.maxAttempts;
  }

  private computeTryDeadline(): Deadline {
    const {route, deadline, serving} = this.context;
    const isLast =
      route.kind !== RouteKind.Safe || this.runs + 1 >= route.maxAttempts;
    if (isLast) return deadline;
    const patience = firstTryTargets * route.targetLatencyMilliseconds;
    return Math.min(deadline, serving.getNow() + patience);
  }

  /** Sends the request; an answer of success goes on as soon as it is whole. */
  private sendTo(
    endpoint: EndpointState,
    tryDeadline: Deadline,
  ): Promise<TryResult> {
    const now = this.context.serving.getNow();
    this.tried.add(endpoint.entry.id);
    endpoint.running += 1;
    return new Promise(resolve => {
      let answer: EndpointAnswer | undefined;
      const buffer = new AnswerBuffer(this.context);
      const closeTry = (end: UpstreamEnd, detail: string) => {
        clearTimeout(timer);
        endpoint.running -= 1;
        resolve({end, detail, answer, buffer});
      };
      // A timer may fire a fraction of a millisecond early.
      const wait = Math.max(1, Math.ceil(tryDeadline - now) + 1);
      const timer = setTimeout(() => {
        upstream.cancel();
        closeTry(UpstreamEnd.Broken, 'no answer in time');
      }, wait);
      const upstream = openUpstream(
        this.context,
        endpoint.entry,
        {urgency: undefined, parts: undefined, lastEventId: undefined},
        {
          handleAnswer: head => (answer = head),
          handleChunk: chunk => buffer.accept(answer!, chunk, upstream),
          handleEnd: closeTry,
        },
      );
      this.upstream = upstream;
    });
  }

  /** Takes a try's result; true when the request has its answer. */
  private resolveTry(endpoint: EndpointState, result: TryResult): boolean {
    const {serving, route} = this.context;
    const {answer, end} = result;
    if (end === UpstreamEnd.NotSent) {
      this.notRun += 1;
      this.reportFailure(endpoint, FailureCertainty.Certain);
      this.reportRetry(endpoint, result.detail);
      return false;
    }
    if (end === UpstreamEnd.Complete && answer!.isNotRun) {
      this.notRun += 1;
      const {endpointId} = answer!;
      const {id} = endpoint.entry;
      if (endpointId !== undefined && endpointId !== id) {
        serving.endpoints.removeReplaced(id);
      }
      this.reportRetry(endpoint, `status ${answer!.status}`);
      return false;
    }
    this.runs += 1;
    if (result.buffer.isPassedOn) return this.closePassedOn(endpoint, result);
    if (end === UpstreamEnd.Broken) {
      this.reportFailure(endpoint, FailureCertainty.Suspected);
      if (!this.canRepeat()) return this.failUnknown(result.detail);
      this.reportRetry(endpoint, result.detail);
      return false;
    }
    const isFailure = answer!.status >= 500;
    if (isFailure && this.canRepeat()) {
      this.failure = result;
      this.reportRetry(endpoint, `status ${answer!.status}`);
      return false;
    }
    if (!isRelayable(answer!, route.kind)) {
      return this.failUnknown(`status ${answer!.status} from the endpoint`);
    }
    recordSuccess(endpoint.breaker, serving.getNow());
    sendAnswer(
      this.context,
      endpoint.entry.id,
      answer!,
      result.buffer.toBody(),
    );
    return true;
  }

  /** Ends an answer that the caller has the beginning of. */
  private closePassedOn(endpoint: EndpointState, result: TryResult): boolean {
    const {response, serving} = this.context;
    if (result.end === UpstreamEnd.Complete) {
      response.end();
      serving.metrics.count(Counter.Answered);
      recordDone(this.context, endpoint.entry.id, result.answer!.status);
    } else {
      // The broken connection tells the caller that the answer is not whole.
      this.reportRetry(endpoint, result.detail);
      response.destroy();
      serving.metrics.count(Counter.Failed);
    }
    return true;
  }

  private reportFailure(
    endpoint: EndpointState,
    certainty: FailureCertainty,
  ): void {
    const now = this.context.serving.getNow();
    recordFailure(endpoint.breaker, certainty, now, Math.random);
  }

  private reportRetry(endpoint: EndpointState, reason: string): void {
    this.context.serving.writeEvent(GatewayEvent.RequestAttemptFailed, {
      request: this.context.request.attemptId,
      endpoint: endpoint.entry.id,
      reason,
    });
  }

  private failUnknown(detail: string): boolean {
    const {serving, request} = this.context;
    serving.writeEvent(GatewayEvent.RequestAttemptFailed, {
      request: request.attemptId,
      endpoint: 'none',
      reason: detail,
    });
    refuseUnknown(this.context);
    return true;
  }

  private answerFailure(): void {
    const {failure, context} = this;
    if (failure !== undefined) {
      sendAnswer(context, 'several', failure.answer!, failure.buffer.toBody());
      return;
    }
    context.refuse(this.chooseFailure());
  }

  private chooseFailure(): OwnAnswer {
    if (this.runs > 0) {
      return {status: 502, reason: FailureReason.OutcomeUnknown};
    }
    const isFull = this.notRun > 0;
    const reason = isFull
      ? FailureReason.EndpointsBusy
      : FailureReason.NoEndpoint;
    return {status: 503, reason, retryAfterMilliseconds};
  }
}

/**
 * Tells whether an endpoint's answer may go on. A status that promises that
 * nothing ran must not stand for a request that may have run.
 */
function isRelayable(answer: EndpointAnswer, kind: RouteKind): boolean {
  const {status} = answer;
  if (isSuccess(status)) return answer.hasSeal;
  return kind === RouteKind.Safe || !isPromise(status);
}
