import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {findSourceState, SourceState} from '@zinniaspindle/decisions';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {EndpointLinks} from '../links/endpoint_links.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  EndpointErrorCode,
  type EndpointCalls,
  type EndpointReport,
} from '../ports/index.js';
import {EndReason} from './end_watch.js';
import type {Incarnation} from './notice_table.js';

/** The endpoint that gave an answer. */
export interface AnswerSource {
  readonly id: string;
  readonly address: string;
  /** The start of the process that the request was sent to, if it was known. */
  readonly bornAt: Instant | undefined;
}

/** An endpoint's report, if its answer is one, or why there is no answer of it. */
type SourceReply = Result<
  EndpointReport | undefined,
  SourceState.Ended | SourceState.Unknown
>;

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
  readonly handleEnded: (ended: Incarnation, reason: EndReason) => void;
  readonly metrics: Metrics;
  readonly getNow: () => Instant;
}

/** Time for an answer; a sound endpoint may be silent for about a second. */
const replyMilliseconds = 1200;
/** Delay after a call without an answer. */
const repeatMilliseconds = 60;

/**
 * Checks whether endpoints outlived the ends of their connections. Only the answer
 * to a call that was sent after an end shows that.
 */
export class SourceCheck {
  /** Calls in progress, by address; they were sent before ends that come now. */
  private readonly asking = new Map<string, Promise<SourceReply>>();
  /** Calls that begin once those in progress have ended. */
  private readonly waiting = new Map<string, Promise<SourceReply>>();

  constructor(private readonly context: SourceCheckContext) {}

  /** Checks an endpoint; ends of several of its connections share the calls. */
  async check(source: AnswerSource): Promise<SourceState> {
    return this.acceptReply(source, await this.ask(source));
  }

  /**
   * Checks an endpoint of a model, which answers with a report. Any other answer is
   * that of another process at its address.
   */
  async checkPart(source: AnswerSource): Promise<PartReply> {
    const reply = await this.ask(source);
    const state = this.acceptReply(source, reply);
    if (state !== SourceState.Alive) return {state, report: undefined};
    const report = reply.unwrapOr(undefined);
    return {state: report === undefined ? SourceState.Unknown : state, report};
  }

  /** Finds what a reply shows, and reports an end that it has found. */
  private acceptReply(
    {id, bornAt}: AnswerSource,
    reply: SourceReply,
  ): SourceState {
    const state = reply.isErr
      ? reply.error
      : findSourceState(bornAt, reply.value?.bornAt);
    if (state !== SourceState.Ended || bornAt === undefined) return state;
    const reason = reply.isErr ? EndReason.NotListening : EndReason.Restarted;
    this.context.handleEnded({id, bornAt}, reason);
    return state;
  }

  private ask(source: AnswerSource): Promise<SourceReply> {
    const {address} = source;
    let reply = this.waiting.get(address);
    if (reply !== undefined) return reply;
    const until = this.context.getNow() + replyMilliseconds;
    reply = this.askLater(source, until);
    this.waiting.set(address, reply);
    return reply;
  }

  private async askLater(
    source: AnswerSource,
    until: Deadline,
  ): Promise<SourceReply> {
    const {address} = source;
    await this.asking.get(address);
    this.waiting.delete(address);
    const reply = this.poll(source, until);
    this.asking.set(address, reply);
    void reply.then(() => {
      if (this.asking.get(address) === reply) this.asking.delete(address);
    });
    return reply;
  }

  /** Asks an endpoint until it answers or refuses connections. */
  private async poll(
    {id, address}: AnswerSource,
    until: Deadline,
  ): Promise<SourceReply> {
    const {calls, links, metrics, getNow} = this.context;
    const purpose = 'end of an answer';
    for (;;) {
      metrics.count(Counter.Probes);
      const report = await calls.fetchReport(
        address,
        () => undefined,
        handle => links.open({id, address, purpose}, handle),
      );
      if (report.isOk) return Result.ok(report.value);
      switch (report.error.code) {
        case EndpointErrorCode.NotListening:
          return Result.err(SourceState.Ended);
        case EndpointErrorCode.Malformed:
        case EndpointErrorCode.Excessive:
          return Result.ok(undefined);
        default:
      }
      if (isPast(until, getNow())) return Result.err(SourceState.Unknown);
      await waitMilliseconds(repeatMilliseconds);
    }
  }
}
