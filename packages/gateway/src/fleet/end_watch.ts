import {GatewayEvent, isPast, type Instant} from '@zinniaspindle/shared';
import type {WriteEvent} from '../log/event_log.js';
import {getIncarnationKey, type Incarnation} from './notice_table.js';

/** What shows that an endpoint has ended. */
export enum EndReason {
  NotListening = 'nothing listens at its address',
  Restarted = 'it has started again',
  Replaced = 'another endpoint has its address',
  Peer = 'a peer has found that',
}

/** A request whose attempt at an endpoint broke before its answer was lasting. */
export interface BrokenAttempt {
  readonly request: string;
  /** Digests of the request and ids of the parts of its prompt. */
  readonly traits: readonly string[];
  readonly sentAt: Instant;
  /** Whether its answer, a stream, had begun. */
  readonly hasBegun?: boolean;
}

/** An incarnation that has ended, and the attempts that broke there. */
export interface EndedEndpoint {
  readonly endpoint: Incarnation;
  readonly service: string;
  readonly endedAt: Instant;
  readonly attempts: readonly BrokenAttempt[];
}

/** The broken attempts at one incarnation. */
interface Breaks {
  readonly service: string;
  brokenAt: Instant;
  /** Why the incarnation is known to have ended, if it is. */
  reason: EndReason | undefined;
  readonly attempts: BrokenAttempt[];
  keepUntil: Instant;
}

/** Time within which an end explains an attempt that broke before it is known. */
const matchMilliseconds = 3000;
/** Attempts that are kept for one incarnation. */
const maxAttempts = 64;
/** Requests, and traits of each, that a line names. */
const maxNamed = 8;

/**
 * Matches attempts that broke before their answer was lasting with the ends of their
 * endpoints. A reset alone is no end: the endpoint may have closed a connection,
 * or its path may be cut.
 */
export class EndWatch {
  private readonly breaks = new Map<string, Breaks>();

  constructor(
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    /** Called for each end with broken attempts, and again for later ones. */
    private readonly handleEnd: (ended: EndedEndpoint) => void = () =>
      undefined,
  ) {}

  /** Records an attempt that broke before its answer was lasting. */
  recordBreak(
    endpoint: Incarnation,
    service: string,
    attempt: BrokenAttempt,
  ): void {
    const now = this.getNow();
    const key = getIncarnationKey(endpoint);
    this.expire(now);
    let breaks = this.breaks.get(key);
    if (breaks === undefined) {
      breaks = this.createBreaks(service, now);
      this.breaks.set(key, breaks);
    }
    if (breaks.attempts.length === 0) breaks.brokenAt = now;
    if (breaks.attempts.length >= maxAttempts) return;
    breaks.attempts.push(attempt);
    if (breaks.reason !== undefined) this.report(endpoint, breaks, [attempt]);
  }

  /** Records that an incarnation has ended; later reports of it change nothing. */
  recordEnd(endpoint: Incarnation, service: string, reason: EndReason): void {
    const now = this.getNow();
    const key = getIncarnationKey(endpoint);
    this.expire(now);
    const breaks = this.breaks.get(key) ?? this.createBreaks(service, now);
    if (breaks.reason !== undefined) return;
    breaks.reason = reason;
    breaks.keepUntil = now + matchMilliseconds;
    this.breaks.set(key, breaks);
    if (breaks.attempts.length > 0) {
      this.report(endpoint, breaks, breaks.attempts);
    }
  }

  /** Tells whether an incarnation has ended lately. */
  hasEnded(endpoint: Incarnation): boolean {
    const breaks = this.breaks.get(getIncarnationKey(endpoint));
    return breaks?.reason !== undefined;
  }

  private report(
    endpoint: Incarnation,
    {service, brokenAt, reason}: Breaks,
    attempts: readonly BrokenAttempt[],
  ): void {
    this.writeEvent(GatewayEvent.EndpointEnded, {
      endpoint: endpoint.id,
      reason: reason!,
      broken: attempts.length,
      requests: attempts.slice(0, maxNamed).map(formatAttempt).join(' '),
    });
    const endedAt = brokenAt;
    this.handleEnd({endpoint, service, endedAt, attempts: [...attempts]});
  }

  private createBreaks(service: string, now: Instant): Breaks {
    return {
      service,
      brokenAt: now,
      reason: undefined,
      attempts: [],
      keepUntil: now + matchMilliseconds,
    };
  }

  private expire(now: Instant): void {
    for (const [key, {keepUntil}] of this.breaks) {
      if (isPast(keepUntil, now)) this.breaks.delete(key);
    }
  }
}

function formatAttempt({request, traits}: BrokenAttempt): string {
  return `${request}[${traits.slice(0, maxNamed).join(',')}]`;
}
