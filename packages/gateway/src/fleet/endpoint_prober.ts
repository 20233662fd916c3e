import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  computeMinProbeInterval,
  FailureCause,
  isFailing,
  recordRefusal,
  type StagePath,
} from '@zinniaspindle/decisions';
import type {Instant, LayerRange} from '@zinniaspindle/shared';
import type {Result} from 'true-myth';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  EndpointErrorCode,
  type EndpointCalls,
  type EndpointError,
  type EndpointReport,
} from '../ports/index.js';
import {
  hasAllLayers,
  type EndpointFacts,
  type EndpointState,
} from './endpoint_state.js';
import type {EndpointTable} from './endpoint_table.js';

/** What a failed or successful question to an endpoint is told to. */
export interface ProbeListeners {
  /** An endpoint does not answer, or refuses requests though it has room. */
  readonly sendSuspicion: (
    id: string,
    bornAt: Instant,
    cause: FailureCause,
  ) => void;
  /** An endpoint is down: nothing listens at its address. */
  readonly handleDown: (id: string) => void;
  /** An endpoint answered something that was not known. */
  readonly sendFacts: (facts: EndpointFacts) => void;
}

/** An endpoint that does not answer gets no work until it is asked again. */
const suspicionMilliseconds = 1500;
/** Endpoints that fail are asked this often whether they are back. */
const failedProbeIntervalMilliseconds = 700;
/** Gap after which a failed question is repeated, to rule out a lost packet. */
const confirmDelayMilliseconds = 60;
/** An endpoint that is up answers within 3 ms, a slowed VM takes longer. */
const slowAnswerMilliseconds = 30;
/** Unanswered questions of which all VMs tell; a few go on to tell. */
const unrestrictedSuspicions = 2;
/** An endpoint that answered this lately need not be asked again. */
const freshAnswerMilliseconds = 250;
/** Fewer endpoints may well be lost at once, such as a rack of them. */
const minPartitioned = 8;
/** An endpoint that refuses work is left out until its state is known. */
const refusalSuspicionMilliseconds = 300;
/** One that refuses though it has room is left out for longer. */
const failingSuspicionMilliseconds = 2500;
/** Fuller endpoints refuse for want of memory. */
const fullMemoryFill = 0.85;
/** Reports show memory as it was 200 ms before (site files), plus a margin. */
const reportLagMilliseconds = 260;

/** Asks endpoints for their reports when their work does not come back. */
export class EndpointProber {
  private readonly probing = new Set<string>();
  /** Endpoints of which a refusal is being looked into. */
  private readonly checkingRefusal = new Set<string>();
  private readonly nextProbeAt = new Map<string, Instant>();

  constructor(
    private readonly table: EndpointTable,
    private readonly calls: EndpointCalls,
    private readonly listeners: ProbeListeners,
    private readonly metrics: Metrics,
    /** Whether this VM is one of the few that keep reporting on endpoints in a large fleet. */
    private readonly isVoter: () => boolean,
    private readonly countVms: () => number,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Asks all endpoints of a path; handleSilence is called as soon as one of
   * them takes longer to answer than any that is up. Tells whether all did.
   */
  async probePath(
    path: StagePath,
    handleSilence: () => void,
  ): Promise<boolean> {
    // Of those that this VM does not reach, others say that they are up.
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
   * Tells whether an endpoint that a peer found failing answers this VM. Only
   * a few VMs ask: those that are cut off accuse all endpoints.
   */
  async checkSuspicion(state: EndpointState): Promise<boolean> {
    const age = this.getNow() - state.health.answeredAt;
    if (age < freshAnswerMilliseconds) return true;
    return this.isVoter() && this.probe(state.entry.id);
  }

  /** Asks an endpoint, once more after a failure; tells whether it answered. */
  async probe(id: string): Promise<boolean> {
    const state = this.table.find(id);
    if (state === undefined) return false;
    if (this.probing.has(id)) return state.health.failedProbes === 0;
    const fresh = computeMinProbeInterval(this.countVms());
    if (this.getNow() - state.health.answeredAt < fresh) return true;
    // It is asked again in its time, however many speak against it.
    if ((this.nextProbeAt.get(id) ?? 0) > this.getNow()) return false;
    this.probing.add(id);
    try {
      if (await this.probeOnce(state)) return true;
      await waitMilliseconds(confirmDelayMilliseconds);
      return await this.probeOnce(state);
    } finally {
      this.probing.delete(id);
    }
  }

  /**
   * Looks into a refusal: an endpoint that has room, carries out no order and
   * refuses again is leaving or broken, though it answers questions. One that
   * no longer holds the layers it was asked for does neither.
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
    this.table.recordSuspicion(state, until, 'refuses work with room left');
    const cause = FailureCause.Refusing;
    this.listeners.sendSuspicion(id, state.bornAt, cause);
  }

  /**
   * Tells whether an endpoint could have taken the request that it refused. Its
   * report is late: an endpoint that filled up just now still shows room.
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

  /** Asks the endpoints that failed before whether they are back. */
  probeFailing(): void {
    const now = this.getNow();
    for (const [id, askAt] of this.nextProbeAt) {
      if (askAt > now) continue;
      if (this.table.find(id) === undefined) this.nextProbeAt.delete(id);
      else void this.probe(id);
    }
  }

  /**
   * Asks an endpoint for its report and takes what it tells; undefined when the
   * endpoint was taken off the list meanwhile.
   */
  async fetchReport(
    state: EndpointState,
  ): Promise<Result<EndpointReport, EndpointError> | undefined> {
    const {id, address} = state.entry;
    this.metrics.count(Counter.Probes);
    const report = await this.calls.fetchReport(address);
    if (this.table.find(id) !== state) return undefined;
    if (report.isErr) return report;
    const {bornAt, orderCount, held} = report.value;
    const facts = {id, bornAt, orderCount, held};
    if (this.table.applyReport(facts)) this.listeners.sendFacts(facts);
    return report;
  }

  /** Tells whether this VM rather than the endpoints has lost its links. */
  private isPartitioned(): boolean {
    const failed = this.nextProbeAt.size;
    return failed >= minPartitioned && failed > this.table.count() / 2;
  }

  private async probeOnce(state: EndpointState): Promise<boolean> {
    const {id} = state.entry;
    const report = await this.fetchReport(state);
    if (report === undefined) return false;
    if (report.isErr) {
      this.handleProbeFailure(state, report.error);
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
    const isDown = error.code === EndpointErrorCode.Unreachable;
    if (isDown) this.listeners.handleDown(id);
    const isCertain = isDown || isFailing(state.health, now);
    const cause = isCertain ? FailureCause.Silent : FailureCause.Unanswered;
    const isRestricted = state.health.failedProbes > unrestrictedSuspicions;
    if (isRestricted && !this.isVoter()) return;
    if (this.isPartitioned()) return;
    this.listeners.sendSuspicion(id, state.bornAt, cause);
  }
}
