import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {isEndOfAsked} from '@zinniaspindle/decisions';
import type {EndpointLinks} from '../links/endpoint_links.js';
import {makeOpener} from '../links/make_opener.js';
import {Counter, type Metrics} from '../log/metrics.js';
import type {EndpointCalls} from '../ports/index.js';
import {getAsked} from './asked_endpoint.js';
import type {EndpointTable} from './endpoint_table.js';
import {handleReply, type EndListeners} from './report_end.js';

/** An endpoint that is ending may reset its connections before it stops listening. */
const confirmDelayMilliseconds = 60;

/** Checks whether endpoints at which attempts broke have ended. */
export class EndCheck {
  private readonly checks = new Map<string, Promise<void>>();

  constructor(
    private readonly table: EndpointTable,
    private readonly calls: Pick<EndpointCalls, 'fetchReport'>,
    private readonly listeners: EndListeners,
    private readonly metrics: Metrics,
    /** Opens connections; undefined to connect to the addresses. */
    private readonly links?: Pick<EndpointLinks, 'open'>,
  ) {}

  /**
   * Checks an endpoint, twice unless it has ended; a check that is in progress is
   * waited for.
   */
  check(id: string): Promise<void> {
    let check = this.checks.get(id);
    if (check === undefined) {
      check = this.runCheck(id).finally(() => this.checks.delete(id));
      this.checks.set(id, check);
    }
    return check;
  }

  private async runCheck(id: string): Promise<void> {
    if (await this.findEnd(id)) return;
    await waitMilliseconds(confirmDelayMilliseconds);
    await this.findEnd(id);
  }

  /** Returns whether an endpoint has ended. */
  private async findEnd(id: string): Promise<boolean> {
    const state = this.table.find(id);
    if (state === undefined) return true;
    const asked = getAsked(state);
    const source = 'check';
    this.metrics.count(Counter.Probes);
    const opener = makeOpener(this.links, asked, source);
    const report = await this.calls.fetchReport(
      asked,
      () => undefined,
      opener.open,
    );
    const isRelayed = opener.isRelayed();
    const call = {asked, isRelayed};
    return isEndOfAsked(handleReply(this.listeners, call, report, source));
  }
}
