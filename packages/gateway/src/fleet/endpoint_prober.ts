import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  Answerer,
  computeMinProbeInterval,
  describeExcess,
  FailureCause,
  IntakeScope,
  isFailing,
  isOfOther,
  recordRefusal,
  type IntakeExcess,
  type ProcessClaims,
  type StagePath,
} from '@zinniaspindle/decisions';
import {
  hasAllLayers,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {EndpointLinks} from '../links/endpoint_links.js';
import type {KeptConnections} from '../links/kept_connections.js';
import {makeOpener} from '../links/make_opener.js';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  EndpointErrorCode,
  makeEndpointError,
  type EndpointCalls,
  type EndpointError,
  type EndpointNotice,
  type EndpointReport,
  type HandleNotice,
} from '../ports/index.js';
import {
  getAsked,
  type AskedEndpoint,
  type KnownEndpoint,
} from './asked_endpoint.js';
import {type EndpointFacts, type EndpointState} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';
import {OverrunLog} from './overrun_log.js';
import {handleReply, type EndListeners} from './report_end.js';

/** Callbacks for the results of probes. */
export interface ProbeListeners extends EndListeners {
  /** An endpoint does not answer, or refuses requests although it has capacity. */
  readonly sendSuspicion: (
    id: string,
    bornAt: Instant,
    cause: FailureCause,
  ) => void;
  /** An endpoint is down: connections to its address fail. */
  readonly handleDown: (id: string) => void;
  /** An endpoint reported a state that was not known. */
  readonly sendFacts: (facts: EndpointFacts) => void;
}

/** Time without new requests after a failed probe; longer than the probe interval. */
const suspicionMilliseconds = 1500;
/** Interval of the probes of a failing endpoint. */
const failedProbeIntervalMilliseconds = 700;
/** Delay before a failed probe is repeated, to rule out a lost packet. */
const confirmDelayMilliseconds = 60;
/** A healthy endpoint answers within 3 ms; a slowed VM takes longer. */
const slowAnswerMilliseconds = 30;
/** Consecutive failed probes that every VM reports; further ones only voters report. */
const unrestrictedSuspicions = 2;
/** Age up to which an answer refutes a peer's suspicion without another probe. */
const freshAnswerMilliseconds = 250;
/** Fewer endpoints may fail together, such as a rack, without a partition of this VM. */
const minPartitioned = 8;
/** Time without new requests after a refusal, until the endpoint's report arrives. */
const refusalSuspicionMilliseconds = 300;
/**
 * Time without new requests after a success without a seal, so that the next
 * attempt is made elsewhere.
 */
const unsealedSuspicionMilliseconds = 300;
/** Time without new requests after refusals by an endpoint with capacity. */
const failingSuspicionMilliseconds = 2500;
/** Time without an answer of a limited endpoint after which it is asked. */
const unheardMilliseconds = 2000;
/** Memory fill from which on refusals for lack of memory are justified. */
const fullMemoryFill = 0.85;
/** Reports show the memory of 200 ms ago (site files); includes a margin. */
const reportLagMilliseconds = 260;

/** How a report was heard. */
interface HeardReport {
  readonly answerer: Answerer;
  /** Whether it came through a peer. */
  readonly isRelayed: boolean;
  /** What its head states; undefined if that was not applied. */
  readonly notice: EndpointNotice | undefined;
  readonly source: string;
}

/** Probes endpoints whose requests stall, fail or are refused. */
export class EndpointProber {
  /** Endpoints with a probe in progress. */
  private readonly probing = new Set<string>();
  /** Endpoints with a check of a refusal in progress. */
  private readonly checkingRefusal = new Set<string>();
  /** When each failing endpoint is probed next. */
  private readonly nextProbeAt = new Map<string, Instant>();
  private readonly overruns: OverrunLog;

  constructor(
    private readonly table: EndpointTable,
    private readonly calls: EndpointCalls,
    private readonly listeners: ProbeListeners,
    private readonly metrics: Metrics,
    /** Whether this VM is one of the few that keep reporting on endpoints in a large fleet. */
    private readonly isVoter: () => boolean,
    private readonly countVms: () => number,
    private readonly getNow: () => Instant,
    writeEvent: WriteEvent = () => undefined,
    /** Opens connections; undefined to connect to the addresses. */
    readonly links?: Pick<EndpointLinks, 'open'>,
    /** Keeps connections of reports; undefined to open one for each. */
    private readonly kept?: Pick<KeptConnections, 'makeReportKeeper'>,
  ) {
    this.overruns = new OverrunLog(table, metrics, getNow, writeEvent);
  }

  /**
   * Probes all endpoints of a path and returns whether all answered. Calls
   * `handleSilence` as soon as one takes longer than a healthy endpoint.
   */
  async probePath(
    path: StagePath,
    handleSilence: () => void,
  ): Promise<boolean> {
    // Endpoints that this VM does not reach are alive by the reports of others.
    const parts = path.parts.filter(({endpoint}) => endpoint.isReachable);
    let waiting = parts.length;
    const timer = setTimeout(handleSilence, slowAnswerMilliseconds);
    const probes = parts.map(async ({endpoint}) => {
      if (!(await this.probe(endpoint.id))) return;
      waiting -= 1;
      if (waiting === 0) clearTimeout(timer);
    });
    await Promise.all(probes);
    return waiting === 0;
  }

  /**
   * Tells whether an endpoint that a peer suspects answers this VM. Only voters
   * send a probe, because a partitioned VM suspects all endpoints.
   */
  async checkSuspicion(state: EndpointState): Promise<boolean> {
    const age = this.getNow() - state.health.answeredAt;
    if (age < freshAnswerMilliseconds) return true;
    return this.isVoter() && this.probe(state.entry.id);
  }

  /**
   * Probes an endpoint, twice if the first probe fails; returns whether it
   * answered. An answer from before `since` does not count.
   */
  async probe(id: string, since: Instant = -Infinity): Promise<boolean> {
    const state = this.table.find(id);
    if (state === undefined) return false;
    if (this.probing.has(id)) return state.health.failedProbes === 0;
    const interval = computeMinProbeInterval(this.countVms());
    const {answeredAt} = state.health;
    const isRecent = this.getNow() - answeredAt < interval;
    if (isRecent && answeredAt > since) return true;
    // A failing endpoint is probed at its interval only, however many VMs suspect it.
    if ((this.nextProbeAt.get(id) ?? 0) > this.getNow()) return false;
    this.probing.add(id);
    try {
      if (await this.probeOnce(state)) return true;
      await waitMilliseconds(confirmDelayMilliseconds);
      if (this.table.find(id) !== state) return false;
      return await this.probeOnce(state);
    } finally {
      this.probing.delete(id);
    }
  }

  /**
   * Checks a refusal. An endpoint that repeatedly refuses although it has capacity
   * and executes no order is draining or broken, even if it answers probes. A
   * refusal because it no longer holds the requested layers does not count.
   */
  async checkRefusal(
    id: string,
    reason: string,
    layers: LayerRange | undefined,
  ): Promise<void> {
    const state = this.table.find(id);
    if (state === undefined) return;
    const refusedAt = this.getNow();
    const suspectUntil = refusedAt + refusalSuspicionMilliseconds;
    this.table.recordSuspicion(state, suspectUntil, reason);
    if (this.checkingRefusal.has(id)) return;
    this.checkingRefusal.add(id);
    const isUnjustified = await this.isUnjustified(state, layers);
    this.checkingRefusal.delete(id);
    if (!isUnjustified) return;
    recordRefusal(state.health, refusedAt);
    const now = this.getNow();
    if (!isFailing(state.health, now)) return;
    const until = now + failingSuspicionMilliseconds;
    this.table.recordSuspicion(
      state,
      until,
      'refuses requests although it has capacity',
    );
    const cause = FailureCause.Refusing;
    this.listeners.sendSuspicion(id, state.bornAt, cause);
  }

  /**
   * Records that an answer of an endpoint exceeded a bound. One that exceeded
   * the bound of the answer itself counts as a failure; that of the VM is
   * reached by the answers of others as well.
   */
  recordOverrun(id: string, excess: IntakeExcess, source: string): void {
    const state = this.table.find(id);
    if (state === undefined) return;
    this.overruns.count(id, describeExcess(excess), source);
    if (excess.scope !== IntakeScope.Item) return;
    const now = this.getNow();
    recordRefusal(state.health, now);
    const until = now + failingSuspicionMilliseconds;
    this.table.recordSuspicion(state, until, describeExcess(excess));
    if (!isFailing(state.health, now)) return;
    const cause = FailureCause.Refusing;
    this.listeners.sendSuspicion(id, state.bornAt, cause);
  }

  /** Records that another endpoint has answered at the address of one. */
  recordReplaced(
    asked: AskedEndpoint,
    claims: ProcessClaims,
    source: string,
  ): void {
    this.listeners.handleReplaced(asked, {claims, source});
  }

  /** Records that an endpoint answered a success that may not be used. */
  recordUnsealed(id: string, detail: string): void {
    const state = this.table.find(id);
    if (state === undefined) return;
    const until = this.getNow() + unsealedSuspicionMilliseconds;
    this.table.recordSuspicion(state, until, detail);
  }

  /**
   * Tells whether an endpoint could have accepted the request that it refused.
   * Reports lag, so that an endpoint that has just filled up still reports
   * capacity; a second report is fetched after that lag.
   */
  private async isUnjustified(
    state: EndpointState,
    layers: LayerRange | undefined,
  ): Promise<boolean> {
    if (!(await this.hasCapacity(state, layers))) return false;
    await waitMilliseconds(reportLagMilliseconds);
    return this.hasCapacity(state, layers);
  }

  private async hasCapacity(
    state: EndpointState,
    layers: LayerRange | undefined,
  ): Promise<boolean> {
    const report = await this.fetchReport(state);
    if (report === undefined) return false;
    if (report.isErr) {
      void this.probe(state.entry.id);
      return false;
    }
    const {isBusy, memoryFill, held} = report.value;
    if (memoryFill >= fullMemoryFill || isBusy) return false;
    if (!hasAllLayers(held, layers)) return false;
    return this.table.findPending(state) === undefined;
  }

  /**
   * Asks the limited endpoints that have answered nothing for a while for their
   * report, since only an answer shows the end of a limit.
   */
  checkLimits(): void {
    for (const id of this.table.limits.listUnheard(unheardMilliseconds)) {
      const state = this.table.find(id);
      if (state !== undefined) void this.fetchReport(state);
    }
  }

  /** Probes the failing endpoints that are due. */
  probeFailing(): void {
    const now = this.getNow();
    for (const [id, probeAt] of this.nextProbeAt) {
      if (probeAt > now) continue;
      if (this.table.find(id) === undefined) this.nextProbeAt.delete(id);
      else void this.probe(id);
    }
  }

  /**
   * Fetches an endpoint's report and applies it to the table; undefined if the
   * endpoint was removed in the meantime.
   */
  async fetchReport(
    state: EndpointState,
  ): Promise<Result<EndpointReport, EndpointError> | undefined> {
    const asked = getAsked(state);
    const {id, address, bornAt} = asked;
    if (this.table.find(id) !== state) return undefined;
    const source = 'report';
    let notice: EndpointNotice | undefined;
    this.metrics.count(Counter.Probes);
    const handleNotice: HandleNotice = (stated, claims) => {
      if (claims !== undefined && isOfOther({asked}, claims)) return;
      notice = stated;
      this.table.acceptNotice(asked, stated, source);
    };
    const opener = makeOpener(this.links, asked, source);
    const report = await this.calls.fetchReport(
      asked,
      handleNotice,
      opener.open,
      this.kept?.makeReportKeeper({id, address, bornAt}),
    );
    if (this.table.find(id) !== state) return undefined;
    const isRelayed = opener.isRelayed();
    const call = {asked, isRelayed};
    const answerer = handleReply(this.listeners, call, report, source);
    if (answerer === Answerer.Other) {
      const detail = `another endpoint answers at ${address}`;
      return Result.err(makeEndpointError(EndpointErrorCode.Replaced, detail));
    }
    if (report.isErr) {
      const {code, message} = report.error;
      const isExcess = code === EndpointErrorCode.Excessive;
      if (isExcess) this.overruns.count(id, message, source);
      return report;
    }
    return this.applyReport(state, asked, report.value, {
      ...{answerer, isRelayed, notice, source},
    });
  }

  /** Applies a report, unless it cannot be told whose it is. */
  private applyReport(
    state: EndpointState,
    asked: KnownEndpoint,
    report: EndpointReport,
    {answerer, isRelayed, notice, source}: HeardReport,
  ): Result<EndpointReport, EndpointError> {
    const {bornAt, orderCount, held, pace} = report;
    if (answerer === Answerer.Unknown && bornAt > asked.bornAt) {
      const detail = `${asked.address} reports for another endpoint`;
      return Result.err(makeEndpointError(EndpointErrorCode.Malformed, detail));
    }
    const isAtAddress = !isRelayed && state.entry.address === asked.address;
    if (isAtAddress) {
      state.addressBornAt = Math.max(state.addressBornAt, bornAt);
    }
    state.pace = pace === undefined ? undefined : {pace, at: this.getNow()};
    const facts = {id: asked.id, bornAt, orderCount, held};
    // The report may be that of an incarnation which was not known.
    if (notice !== undefined) this.table.acceptNotice(facts, notice, source);
    if (this.table.applyReport(facts)) this.listeners.sendFacts(facts);
    return Result.ok(report);
  }

  /** Tells whether this VM, rather than the endpoints, is partitioned. */
  private isPartitioned(): boolean {
    const failed = this.nextProbeAt.size;
    return failed >= minPartitioned && failed > this.table.count() / 2;
  }

  private async probeOnce(state: EndpointState): Promise<boolean> {
    const {id} = state.entry;
    const report = await this.fetchReport(state);
    if (report === undefined) return false;
    if (report.isErr) {
      const isReplaced = report.error.code === EndpointErrorCode.Replaced;
      if (!isReplaced) this.handleProbeFailure(state, report.error);
      return false;
    }
    this.nextProbeAt.delete(id);
    state.health.failedProbes = 0;
    state.health.answeredAt = this.getNow();
    if (!isFailing(state.health, this.getNow())) {
      this.table.removeSuspicion(state);
    }
    return true;
  }

  private handleProbeFailure(state: EndpointState, error: EndpointError): void {
    const {id} = state.entry;
    const now = this.getNow();
    state.health.failedProbes += 1;
    this.nextProbeAt.set(id, now + failedProbeIntervalMilliseconds);
    this.table.recordSuspicion(
      state,
      now + suspicionMilliseconds,
      error.message,
    );
    const isDown =
      error.code === EndpointErrorCode.NotListening ||
      error.code === EndpointErrorCode.Unreachable;
    if (isDown) this.listeners.handleDown(id);
    const isCertain = isDown || isFailing(state.health, now);
    const cause = isCertain ? FailureCause.Silent : FailureCause.Unanswered;
    const isRestricted = state.health.failedProbes > unrestrictedSuspicions;
    if (isRestricted && !this.isVoter()) return;
    if (this.isPartitioned()) return;
    this.listeners.sendSuspicion(id, state.bornAt, cause);
  }
}
