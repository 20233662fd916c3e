import {
  AnswerStage,
  createPartEvidence,
  createQuarantine,
  findAnswered,
  findCulprit,
  formatQuarantine,
  getQuarantineKey,
  hasAll,
  hasMissed,
  isAccused,
  isNewerQuarantine,
  isSuspect,
  isTrialDue,
  closeQuarantine,
  countAnswer,
  matchQuarantine,
  maxQuarantines,
  recordAnswered,
  recordEndpointEnd,
  resumeQuarantine,
  isAnsweredSince,
  type Comparison,
  type Culprit,
  type EndpointEnd,
  type PartEvidence,
  type Quarantine,
  type QuarantineRow,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {AnswerNews} from './answer_news.js';

/** Endpoints that a line names. */
const maxNamed = 8;

/** The clocks of a VM. */
export interface Clocks {
  readonly getNow: () => Instant;
  /** Unix milliseconds, close to the same on all VMs. */
  readonly getWallClock: () => Instant;
}

/**
 * Refuses requests with traits that end endpoints: their digests, or parts of their
 * prompts. All VMs exchange
 * the ends and answers that accuse and clear parts, and decide alike; what they
 * have decided is exchanged as well, for VMs that missed some.
 */
export class PartQuarantine {
  private readonly evidence = new Map<string, PartEvidence>();
  private readonly quarantines = new Map<string, Quarantine>();
  /** Keys of the quarantines that the next request may pass as a trial. */
  private readonly permits = new Set<string>();
  private readonly undecided = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clocks: Clocks,
    private readonly countVms: () => number,
    /** Counts the endpoints of a service that requests are sent to. */
    private readonly countEndpoints: (service: string) => number,
    /**
     * Computes the time from an end to the decision on it, within which other
     * VMs report their attempts there and answers that clear parts.
     */
    private readonly computeSettleTime: () => number,
    /** Tells the peers of answers that reached each stage. */
    private readonly news: Readonly<Record<AnswerStage, AnswerNews>>,
    private readonly metrics: Metrics,
    private readonly writeEvent: WriteEvent,
  ) {}

  /** Records attempts that broke at an endpoint that ended. */
  recordEnd(service: string, end: EndpointEnd): void {
    const evidence = this.getEvidence(service);
    recordEndpointEnd(evidence, end, this.clocks.getNow());
    for (const attempt of end.attempts) {
      for (const stage of Object.values(AnswerStage)) {
        if (hasMissed(attempt, stage)) {
          this.sendKnown(service, attempt.traits, stage);
        }
      }
    }
    this.undecided.add(service);
    this.timer ??= setTimeout(() => this.decide(), this.computeSettleTime());
  }

  /** Records that an answer to a request with some traits was begun at this VM. */
  recordBegun(service: string, traits: readonly string[]): void {
    countAnswer(this.getEvidence(service), this.clocks.getNow());
    this.applyOwnAnswer(service, traits, AnswerStage.Begun);
  }

  /** Records that an answer which had begun at this VM is lasting. */
  recordLasting(service: string, traits: readonly string[]): void {
    this.applyOwnAnswer(service, traits, AnswerStage.Lasting);
  }

  /** Records a whole answer to a request at this VM. */
  recordAnswer(service: string, traits: readonly string[]): void {
    countAnswer(this.getEvidence(service), this.clocks.getNow());
    this.applyOwnAnswer(service, traits, AnswerStage.Lasting);
  }

  /** Records that an answer on a part reached a stage at a peer. */
  acceptAnswer(
    service: string,
    part: string,
    at: Instant,
    stage: AnswerStage,
  ): void {
    this.news[stage].remove(service, part, at);
    this.applyAnswer(service, [part], at, stage);
  }

  private applyOwnAnswer(
    service: string,
    traits: readonly string[],
    stage: AnswerStage,
  ): void {
    if (traits.length === 0) return;
    const news = traits.filter(part => this.isNews(service, part, stage));
    this.applyAnswer(service, traits, this.clocks.getNow(), stage);
    this.sendKnown(service, news, stage);
  }

  /**
   * Tells whether an answer on a part concerns the peers. One that has begun on a
   * quarantined part lifts nothing, and older builds would take it for one that does.
   */
  private isNews(service: string, part: string, stage: AnswerStage): boolean {
    if (this.isQuarantined(service, part)) {
      return stage === AnswerStage.Lasting;
    }
    return isAccused(this.getEvidence(service), part, stage);
  }

  private applyAnswer(
    service: string,
    parts: readonly string[],
    at: Instant,
    stage: AnswerStage,
  ): void {
    recordAnswered(this.getEvidence(service), parts, at, stage);
    if (stage === AnswerStage.Begun) return;
    for (const quarantine of [...this.quarantines.values()]) {
      if (quarantine.service === service) this.removeAnswered(quarantine);
    }
  }

  /** Finds the quarantine that holds for a request with some traits. */
  find(service: string, traits: readonly string[]): Quarantine | undefined {
    if (this.quarantines.size === 0 || traits.length === 0) return undefined;
    for (const [key, quarantine] of this.quarantines) {
      if (quarantine.service !== service || this.permits.has(key)) continue;
      if (matchQuarantine(quarantine, traits)) return quarantine;
    }
    return undefined;
  }

  /** Tells whether one further end would quarantine some of a request's traits. */
  isSuspect(service: string, traits: readonly string[]): boolean {
    const evidence = this.getEvidence(service);
    const isAnyAccused = traits.some(part =>
      isAccused(evidence, part, AnswerStage.Lasting),
    );
    if (!isAnyAccused) return false;
    return isSuspect(evidence, this.makeComparison(service), traits);
  }

  /** Records that a request is sent; one that a trial lets pass ends it. */
  recordSent(
    service: string,
    traits: readonly string[],
    request: string,
  ): void {
    for (const key of this.permits) {
      const quarantine = this.quarantines.get(key);
      if (quarantine?.service !== service) continue;
      if (!matchQuarantine(quarantine, traits)) continue;
      this.permits.delete(key);
      const parts = quarantine.parts.join(' ');
      this.writeEvent(GatewayEvent.QuarantineTrial, {request, parts});
    }
  }

  /** Lists the quarantines whose next trial may begin. */
  listDue(): Quarantine[] {
    const now = this.clocks.getWallClock();
    return [...this.quarantines.values()].filter(one => isTrialDue(one, now));
  }

  /** Lets one request pass as the trial of a quarantine. */
  openTrial(quarantine: Quarantine): void {
    const key = getQuarantineKey(quarantine);
    this.quarantines.set(key, quarantine);
    this.permits.add(key);
  }

  /** Lists all quarantines, lifted ones as well. */
  listRows(): QuarantineRow[] {
    return [...this.quarantines.values()].map(formatQuarantine);
  }

  /** Applies a quarantine that a peer or the store holds. */
  acceptQuarantine(quarantine: Quarantine, source: string): void {
    const key = getQuarantineKey(quarantine);
    const known = this.quarantines.get(key);
    if (!isNewerQuarantine(quarantine, known)) return;
    this.permits.delete(key);
    this.setQuarantine(quarantine, source, []);
    this.removeAnswered(quarantine);
  }

  /** Ends the timers. */
  close(): void {
    clearTimeout(this.timer);
    for (const news of Object.values(this.news)) news.close();
  }

  private decide(): void {
    this.timer = undefined;
    for (const service of this.undecided) {
      const evidence = this.getEvidence(service);
      const known = this.listActive(service).map(({parts}) => parts);
      const culprit = findCulprit(
        evidence,
        this.makeComparison(service),
        known,
      );
      if (culprit !== undefined) this.addCulprit(service, culprit);
    }
    this.undecided.clear();
  }

  private addCulprit(service: string, culprit: Culprit): void {
    const {parts, endpoints} = culprit;
    const since = this.toWallClock(culprit.since);
    this.addQuarantine(service, parts, since, 'own decision', endpoints);
  }

  private addQuarantine(
    service: string,
    parts: readonly string[],
    since: Instant,
    source: string,
    endpoints: readonly string[],
  ): void {
    const now = this.clocks.getWallClock();
    const created = createQuarantine(service, parts, since, now);
    const known = this.quarantines.get(getQuarantineKey(created));
    if (known?.isLifted === false) return;
    const quarantine =
      known === undefined ? created : resumeQuarantine(known, since, now);
    for (const wider of this.listActive(service)) {
      if (hasAll(wider.parts, parts)) {
        this.closeOne(wider, 'fewer parts suffice');
      }
    }
    this.setQuarantine(quarantine, source, endpoints);
  }

  /** Takes parts that were answered on since out of a quarantine. */
  private removeAnswered(quarantine: Quarantine): void {
    const {service, parts, isLifted} = quarantine;
    if (isLifted) return;
    const evidence = this.getEvidence(service);
    const since = this.toLocalClock(quarantine.since);
    const left = parts.filter(
      part => !isAnsweredSince(evidence, part, since, AnswerStage.Lasting),
    );
    if (left.length === parts.length) return;
    this.closeOne(quarantine, 'an answer on some of them is lasting');
    if (left.length === 0) return;
    this.addQuarantine(service, left, quarantine.since, 'parts left', []);
  }

  private closeOne(quarantine: Quarantine, reason: string): void {
    this.setQuarantine(closeQuarantine(quarantine), reason, []);
  }

  private setQuarantine(
    quarantine: Quarantine,
    source: string,
    endpoints: readonly string[],
  ): void {
    const key = getQuarantineKey(quarantine);
    const {service, isLifted} = quarantine;
    const isChange = isLifted !== (this.quarantines.get(key)?.isLifted ?? true);
    this.quarantines.set(key, quarantine);
    if (this.quarantines.size > maxQuarantines) this.dropOldest();
    if (!isChange) return;
    const parts = quarantine.parts.join(' ');
    if (isLifted) {
      const fields = {service, parts, reason: source};
      this.writeEvent(GatewayEvent.QuarantineLifted, fields);
      return;
    }
    this.metrics.count(Counter.Quarantines);
    this.writeEvent(GatewayEvent.PartsQuarantined, {
      service,
      parts,
      source,
      ends: endpoints.length,
      endpoints: endpoints.slice(0, maxNamed).join(' '),
    });
  }

  /** Drops the oldest quarantine, a lifted one first. */
  private dropOldest(): void {
    const entries = [...this.quarantines].sort(
      ([, a], [, b]) =>
        Number(b.isLifted) - Number(a.isLifted) || a.since - b.since,
    );
    this.quarantines.delete(entries[0]![0]);
  }

  private isQuarantined(service: string, part: string): boolean {
    return this.listActive(service).some(({parts}) => parts.includes(part));
  }

  private makeComparison(service: string): Comparison {
    return {
      now: this.clocks.getNow(),
      vms: this.countVms(),
      endpoints: this.countEndpoints(service),
    };
  }

  private listActive(service: string): Quarantine[] {
    return [...this.quarantines.values()].filter(
      one => one.service === service && !one.isLifted,
    );
  }

  /** Tells the peers when answers on parts reached a stage, as far as known. */
  private sendKnown(
    service: string,
    parts: readonly string[],
    stage: AnswerStage,
  ): void {
    const evidence = this.getEvidence(service);
    for (const part of parts) {
      const at = findAnswered(evidence, part, stage);
      if (at !== undefined) this.news[stage].add(service, part, at);
    }
  }

  private getEvidence(service: string): PartEvidence {
    let evidence = this.evidence.get(service);
    if (evidence === undefined) {
      evidence = createPartEvidence();
      this.evidence.set(service, evidence);
    }
    return evidence;
  }

  private toWallClock(instant: Instant): Instant {
    const {getNow, getWallClock} = this.clocks;
    return getWallClock() - (getNow() - instant);
  }

  private toLocalClock(instant: Instant): Instant {
    const {getNow, getWallClock} = this.clocks;
    return getNow() - (getWallClock() - instant);
  }
}
