import {
  createEndpointNotices,
  findPauseEnd,
  isLeaving,
  PauseOutcome,
  recordLeaving,
  recordPause,
  type EndpointNotices,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  isPast,
  type Deadline,
  type Instant,
} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';

/** An incarnation of an endpoint. */
export interface Incarnation {
  readonly id: string;
  readonly bornAt: Instant;
}

/** Makes a text that identifies an incarnation. */
export function getIncarnationKey({id, bornAt}: Incarnation): string {
  return `${id}@${bornAt}`;
}

/**
 * What endpoints have stated about themselves, by id. It outlasts their entries,
 * which may be removed and written again.
 */
export class NoticeTable {
  private readonly notices = new Map<string, EndpointNotices>();

  constructor(
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
  ) {}

  /** Records that an endpoint leaves; returns whether that is news. */
  recordLeaving({id, bornAt}: Incarnation, source: string): boolean {
    if (!recordLeaving(this.open(id), bornAt, this.getNow())) return false;
    this.writeEvent(GatewayEvent.EndpointLeaving, {endpoint: id, source});
    return true;
  }

  /** Tells whether an endpoint has stated that it leaves. */
  isLeaving({id, bornAt}: Incarnation): boolean {
    const notices = this.notices.get(id);
    return notices !== undefined && isLeaving(notices, bornAt);
  }

  /**
   * Records that an endpoint asks this VM for a pause; returns whether one
   * begins or goes on.
   */
  recordPause(
    {id, bornAt}: Incarnation,
    milliseconds: number,
    source: string,
  ): boolean {
    const now = this.getNow();
    const notices = this.open(id);
    const outcome = recordPause(notices, bornAt, milliseconds, now);
    const isNews =
      outcome === PauseOutcome.Started || outcome === PauseOutcome.Faulty;
    if (isNews) {
      const until = findPauseEnd(notices, bornAt, now) ?? now;
      this.writeEvent(GatewayEvent.EndpointPausing, {
        endpoint: id,
        pauseMs: Math.round(until - now),
        askedMs: String(milliseconds),
        source,
      });
    }
    return findPauseEnd(notices, bornAt, now) !== undefined;
  }

  /** Finds until when an endpoint wants no requests; undefined if it takes them. */
  findPauseEnd({id, bornAt}: Incarnation): Deadline | undefined {
    const notices = this.notices.get(id);
    if (notices === undefined) return undefined;
    return findPauseEnd(notices, bornAt, this.getNow());
  }

  /** Lists the incarnations that have stated that they leave. */
  listLeaving(): Incarnation[] {
    const leaving: Incarnation[] = [];
    for (const [id, {leavingBornAt}] of this.notices) {
      const bornAt = leavingBornAt;
      if (Number.isFinite(bornAt)) leaving.push({id, bornAt});
    }
    return leaving;
  }

  /** Removes the notices of endpoints that are gone for long. */
  expire(isListed: (id: string) => boolean): void {
    const now = this.getNow();
    for (const [id, {keepUntil}] of this.notices) {
      if (isPast(keepUntil, now) && !isListed(id)) this.notices.delete(id);
    }
  }

  private open(id: string): EndpointNotices {
    let notices = this.notices.get(id);
    if (notices === undefined) {
      notices = createEndpointNotices();
      this.notices.set(id, notices);
    }
    return notices;
  }
}
