import {
  createRequestLimit,
  findLimit,
  LimitOutcome,
  recordLimit,
  type RequestLimit,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import type {Incarnation} from './notice_table.js';

/** The limits that endpoints have stated, by id. */
export class LimitTable {
  private readonly limits = new Map<string, RequestLimit>();

  constructor(private readonly writeEvent: WriteEvent) {}

  /**
   * Records what an answer states of the limit of an incarnation; returns
   * whether that changes it.
   */
  record(
    {id, bornAt}: Incarnation,
    stated: number | undefined,
    heardAt: Instant,
    source: string,
  ): boolean {
    const known = this.limits.get(id);
    if (known === undefined && stated === undefined) return false;
    const limit = known ?? createRequestLimit();
    this.limits.set(id, limit);
    const outcome = recordLimit(limit, bornAt, stated, heardAt);
    if (outcome === LimitOutcome.Same) return false;
    if (outcome === LimitOutcome.Ended) {
      this.writeEvent(GatewayEvent.LimitEnded, {endpoint: id, source});
      return true;
    }
    this.writeEvent(GatewayEvent.EndpointLimited, {
      endpoint: id,
      perSecond: limit.perSecond ?? Infinity,
      stated: String(stated),
      source,
    });
    return outcome === LimitOutcome.Changed;
  }

  /** Finds the requests a second that an incarnation takes from all VMs. */
  find({id, bornAt}: Incarnation): number | undefined {
    const limit = this.limits.get(id);
    return limit === undefined ? undefined : findLimit(limit, bornAt);
  }

  /** Removes the limits of endpoints that are not listed any more. */
  expire(isListed: (id: string) => boolean): void {
    for (const id of this.limits.keys()) {
      if (!isListed(id)) this.limits.delete(id);
    }
  }
}
