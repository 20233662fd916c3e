import {
  createRequestCredit,
  createRequestLimit,
  findLimit,
  findNextCredit,
  hasCredit,
  LimitOutcome,
  recordLimit,
  takeCredit,
  type RequestCredit,
  type RequestLimit,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  type Deadline,
  type Instant,
  type Random,
} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import type {Incarnation} from './notice_table.js';

/** What this VM knows of the limit of an endpoint, and its share of it. */
interface KnownLimit {
  readonly limit: RequestLimit;
  credit: RequestCredit | undefined;
}

/** What a limit is shared by, and who is told of it. */
export interface LimitFleet {
  /** Number of VMs that may send requests, unreachable ones as well. */
  readonly countVms: () => number;
  /** Tells the peers of a limit; undefined if there is none any more. */
  readonly sendLimit: (
    endpoint: Incarnation,
    perSecond: number | undefined,
  ) => void;
}

const soleVm: LimitFleet = {countVms: () => 1, sendLimit: () => undefined};

/**
 * The limits that endpoints have stated, by id, and this VM's share of each. All
 * VMs have the same share, since callers pick VMs at random.
 */
export class LimitTable {
  private readonly limits = new Map<string, KnownLimit>();

  constructor(
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    private readonly random: Random = Math.random,
    private readonly fleet: LimitFleet = soleVm,
  ) {}

  /** Records what an answer to this VM states of a limit. */
  record(
    endpoint: Incarnation,
    stated: number | undefined,
    source: string,
  ): void {
    const heardAt = this.getNow();
    if (!this.apply(endpoint, stated, heardAt, source)) return;
    this.fleet.sendLimit(endpoint, this.find(endpoint));
  }

  /** Records what an answer to a peer stated of a limit. */
  acceptPeerLimit(
    endpoint: Incarnation,
    stated: number | undefined,
    heardAt: Instant,
    vm: string,
  ): void {
    this.apply(endpoint, stated, heardAt, `peer ${vm}`);
  }

  /** Finds the requests a second that an incarnation takes from all VMs. */
  find({id, bornAt}: Incarnation): number | undefined {
    const known = this.limits.get(id);
    return known === undefined ? undefined : findLimit(known.limit, bornAt);
  }

  /** Tells whether this VM may send a request to an incarnation now. */
  hasCredit(endpoint: Incarnation): boolean {
    const credit = this.findCredit(endpoint);
    return credit === undefined || hasCredit(credit, this.getNow());
  }

  /** Counts a request that is sent to an incarnation. */
  takeCredit(endpoint: Incarnation): void {
    const credit = this.findCredit(endpoint);
    if (credit !== undefined) takeCredit(credit, this.getNow());
  }

  /** Finds when this VM may send a request; undefined if there is no limit. */
  findNextCredit(endpoint: Incarnation): Deadline | undefined {
    const credit = this.findCredit(endpoint);
    return credit && findNextCredit(credit, this.getNow());
  }

  /** Lists the endpoints with a limit of which nothing was heard for a time. */
  listUnheard(milliseconds: number): string[] {
    const since = this.getNow() - milliseconds;
    const unheard: string[] = [];
    for (const [id, {limit}] of this.limits) {
      if (limit.perSecond === undefined || limit.heardAt > since) continue;
      unheard.push(id);
    }
    return unheard;
  }

  /** Removes the limits of endpoints that are not listed any more. */
  expire(isListed: (id: string) => boolean): void {
    for (const id of this.limits.keys()) {
      if (!isListed(id)) this.limits.delete(id);
    }
  }

  private findCredit(endpoint: Incarnation): RequestCredit | undefined {
    const known = this.limits.get(endpoint.id);
    if (known === undefined) return undefined;
    const perSecond = findLimit(known.limit, endpoint.bornAt);
    if (perSecond === undefined) return undefined;
    const share = perSecond / this.fleet.countVms();
    if (known.credit?.perSecond !== share) {
      known.credit = createRequestCredit(share, this.getNow(), this.random);
    }
    return known.credit;
  }

  private apply(
    {id, bornAt}: Incarnation,
    stated: number | undefined,
    heardAt: Instant,
    source: string,
  ): boolean {
    let known = this.limits.get(id);
    if (known === undefined) {
      if (stated === undefined) return false;
      known = {limit: createRequestLimit(), credit: undefined};
      this.limits.set(id, known);
    }
    const {limit} = known;
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
}
