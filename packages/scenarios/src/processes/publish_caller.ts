import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
  PublishAnswer,
  type PublishReport,
  type RevisedObject,
} from '@zinniaspindle/decisions';
import type {PublishObservation} from '../ledger/observations.js';
import type {ListEntries} from './directory.js';
import type {EntryStatus} from './entry_fleet.js';
import {fetchReply} from './entry_calls.js';

const retryMilliseconds = 200;
const watchMilliseconds = 100;
const callMilliseconds = 1000;
const statusOk = 200;

/** One field of one published object to change. */
export interface PublishPlan {
  readonly name: string;
  readonly publish: string;
  readonly objectKind: string;
  readonly objectName: string;
  readonly field: string;
  readonly value: unknown;
  readonly token: string;
  /** Instant after which the operator asks no more. */
  readonly deadline: number;
}

/** Publishes one change, finds its fate and watches that it stays in force. */
export class PublishCaller {
  private report: PublishReport | undefined;
  private answeredAt: number | undefined;
  private inForceAt: number | undefined;
  private reverted: string | undefined;
  private isOver = false;
  /** Entry VMs that have shown the publish. */
  private readonly holders = new Set<string>();

  constructor(
    private readonly plan: PublishPlan,
    private readonly listEntries: ListEntries,
    private readonly getElapsed: () => number,
  ) {}

  /** Publishes at an entry VM, asks until the fate is known, then watches. */
  async runPublish(via: string): Promise<void> {
    let report = await this.sendPublish([
      via,
      ...this.listEntries().map(entry => entry.address),
    ]);
    for (let attempt = 0; !isDefinite(report); attempt += 1) {
      if (this.isOver || Date.now() >= this.plan.deadline) return;
      await waitMilliseconds(retryMilliseconds);
      report = await this.fetchReport(attempt);
    }
    this.report = report;
    this.answeredAt = this.getElapsed();
    if (report?.answer !== PublishAnswer.Accepted) return;
    while (!this.isOver) {
      await this.checkInForce(report.offset);
      await waitMilliseconds(watchMilliseconds);
    }
  }

  stop(): void {
    this.isOver = true;
  }

  describe(): PublishObservation {
    const {report, answeredAt, inForceAt, reverted} = this;
    return {
      name: this.plan.name,
      detail: JSON.stringify(report?.faults ?? []),
      ...(report === undefined
        ? {}
        : {accepted: report.answer === PublishAnswer.Accepted}),
      ...(answeredAt === undefined ? {} : {answeredAtMilliseconds: answeredAt}),
      ...(inForceAt === undefined ? {} : {inForceAtMilliseconds: inForceAt}),
      ...(reverted === undefined ? {} : {reverted}),
    };
  }

  /** Publishes at the first entry VM that shows the object. */
  private async sendPublish(
    addresses: readonly string[],
  ): Promise<PublishReport | undefined> {
    for (const address of addresses) {
      const held = await this.fetchObject(address);
      if (held !== undefined) return this.sendChange(address, held);
    }
    return undefined;
  }

  private sendChange(
    address: string,
    held: RevisedObject,
  ): Promise<PublishReport | undefined> {
    const {objectKind: kind, objectName: name, field, value} = this.plan;
    const object = {...held.object, [field]: value};
    const change = {key: {kind, name}, base: held.revision, object};
    const body = {publish: this.plan.publish, changes: [change]};
    return this.fetchBody<PublishReport>(address, '/v1/publishes', body);
  }

  private fetchReport(attempt: number): Promise<PublishReport | undefined> {
    const entries = this.listEntries();
    const {address} = entries[attempt % entries.length]!;
    return this.fetchBody(address, `/v1/publishes/${this.plan.publish}`);
  }

  private fetchObject(address: string): Promise<RevisedObject | undefined> {
    const {objectKind, objectName} = this.plan;
    return this.fetchBody(address, `/v1/objects/${objectKind}/${objectName}`);
  }

  private async checkInForce(offset: number): Promise<void> {
    let seen = 0;
    let isEverywhere = true;
    for (const {name, address} of this.listEntries()) {
      const status = await this.fetchBody<EntryStatus>(address, '/v1/status');
      if (status?.ready !== true) continue;
      const held = await this.fetchObject(address);
      if (held === undefined) continue;
      seen += 1;
      if (held.revision >= offset) this.holders.add(name);
      else if (this.holders.has(name)) {
        this.reverted = `${name} shows offset ${held.revision}, not ${offset}`;
      }
      if (held.revision < offset) isEverywhere = false;
    }
    if (seen > 0 && isEverywhere) this.inForceAt ??= this.getElapsed();
  }

  /** Fetches a body; undefined when the entry VM gives none. */
  private async fetchBody<T>(
    address: string,
    path: string,
    body?: unknown,
  ): Promise<T | undefined> {
    const {token} = this.plan;
    const isPost = body !== undefined;
    const signal = isPost ? undefined : AbortSignal.timeout(callMilliseconds);
    try {
      const reply = await fetchReply({
        address,
        method: isPost ? 'POST' : 'GET',
        path,
        token,
        ...(isPost ? {body} : {}),
        ...(signal === undefined ? {} : {signal}),
      });
      const isReport = reply.status === statusOk || isPost;
      return isReport ? (reply.body as T) : undefined;
    } catch {
      // Not reachable; whoever asked asks again.
      return undefined;
    }
  }
}

function isDefinite(report: PublishReport | undefined): boolean {
  if (report?.answer === undefined) return false;
  return report.answer !== PublishAnswer.Unknown;
}
