import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  Answerer,
  isEndOfAsked,
  isOfOther,
  SourceState,
} from '@zinniaspindle/decisions';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import type {EndpointLinks} from '../links/endpoint_links.js';
import {makeOpener} from '../links/make_opener.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  EndpointErrorCode,
  type CallTarget,
  type EndpointCalls,
  type EndpointError,
  type EndpointReport,
} from '../ports/index.js';
import type {AskedEndpoint} from './asked_endpoint.js';
import {handleReply, type EndListeners} from './report_end.js';

/** What came on a call to an endpoint. */
interface SourceReply {
  readonly report: Result<EndpointReport, EndpointError>;
  /** Whether the call went through a peer. */
  readonly isRelayed: boolean;
}

/** What an endpoint of a model has shown of itself. */
export interface PartReply {
  readonly state: SourceState;
  /** The report of the process that was asked for; undefined if it gave none. */
  readonly report: EndpointReport | undefined;
}

/** What a check depends on. */
export interface SourceCheckContext {
  readonly calls: Pick<EndpointCalls, 'fetchReport'>;
  readonly links: Pick<EndpointLinks, 'open'>;
  readonly listeners: EndListeners;
  readonly metrics: Metrics;
  readonly getNow: () => Instant;
}

/** Time for an answer; a sound endpoint may be silent for about a second. */
const replyMilliseconds = 1200;
/** Delay after a call without an answer. */
const repeatMilliseconds = 60;
/** What the calls are for, for the log. */
const purpose = 'end of an answer';

/**
 * Checks whether endpoints outlived the ends of their connections. Only the answer
 * to a call that was sent after an end shows that.
 */
export class SourceCheck {
  /** Calls in progress, by endpoint and address; they were sent before ends that come now. */
  private readonly asking = new Map<string, Promise<SourceReply>>();
  /** Calls that begin once those in progress have ended. */
  private readonly waiting = new Map<string, Promise<SourceReply>>();

  constructor(private readonly context: SourceCheckContext) {}

  /** Checks an endpoint; ends of several of its connections share the calls. */
  async check(source: AskedEndpoint): Promise<SourceState> {
    return this.acceptReply(source, await this.ask(source));
  }

  /**
   * Checks an endpoint of a model, which answers with a report. Any other answer may
   * be that of another process at its address.
   */
  async checkPart(source: AskedEndpoint): Promise<PartReply> {
    const reply = await this.ask(source);
    const state = this.acceptReply(source, reply);
    if (state !== SourceState.Alive) return {state, report: undefined};
    const report = reply.report.unwrapOr(undefined);
    return {state: report === undefined ? SourceState.Unknown : state, report};
  }

  /** Finds what a reply shows, and reports an end that it has found. */
  private acceptReply(
    source: AskedEndpoint,
    {report, isRelayed}: SourceReply,
  ): SourceState {
    const {listeners} = this.context;
    const call = {asked: source, isRelayed};
    const answerer = handleReply(listeners, call, report, purpose);
    if (isEndOfAsked(answerer)) return SourceState.Ended;
    if (answerer === Answerer.Asked) return SourceState.Alive;
    if (report.isOk || !isAnswer(report.error)) return SourceState.Unknown;
    const {claims} = report.error;
    const isForeign = claims !== undefined && isOfOther(call, claims);
    return isForeign ? SourceState.Unknown : SourceState.Alive;
  }

  private ask(source: AskedEndpoint): Promise<SourceReply> {
    const key = getKey(source);
    let reply = this.waiting.get(key);
    if (reply !== undefined) return reply;
    const until = this.context.getNow() + replyMilliseconds;
    reply = this.askLater(source, until);
    this.waiting.set(key, reply);
    return reply;
  }

  private async askLater(
    source: AskedEndpoint,
    until: Deadline,
  ): Promise<SourceReply> {
    const key = getKey(source);
    await this.asking.get(key);
    this.waiting.delete(key);
    const reply = this.poll(source, until);
    this.asking.set(key, reply);
    void reply.then(() => {
      if (this.asking.get(key) === reply) this.asking.delete(key);
    });
    return reply;
  }

  /** Asks an endpoint until it answers or refuses connections. */
  private async poll(
    target: CallTarget,
    until: Deadline,
  ): Promise<SourceReply> {
    const {calls, links, metrics, getNow} = this.context;
    const opener = makeOpener(links, target, purpose);
    for (;;) {
      metrics.count(Counter.Probes);
      const report = await calls.fetchReport(
        target,
        () => undefined,
        opener.open,
      );
      const hasReply = report.isOk || isAnswer(report.error);
      const isOver = hasReply || isRefused(report.error);
      if (isOver || isPast(until, getNow())) {
        return {report, isRelayed: opener.isRelayed()};
      }
      await waitMilliseconds(repeatMilliseconds);
    }
  }
}

/** The call of one endpoint tells nothing of another one at its address. */
function getKey({id, address}: CallTarget): string {
  return `${id} ${address}`;
}

/** Tells whether an endpoint has answered, though not with a report. */
function isAnswer({code}: EndpointError): boolean {
  return (
    code === EndpointErrorCode.Malformed || code === EndpointErrorCode.Excessive
  );
}

function isRefused({code}: EndpointError): boolean {
  return code === EndpointErrorCode.NotListening;
}
