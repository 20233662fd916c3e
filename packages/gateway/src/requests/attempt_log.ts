import type {RetryDenial} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import type {EventFields} from '../log/event_log.js';
import type {RequestContext} from './request_context.js';

/** Which side ended an attempt that failed. */
export enum AttemptEnder {
  /** Its answer, or the end of its connection, did. */
  Endpoint = 'endpoint',
  /** This VM gave it up. */
  Vm = 'VM',
}

/** Logs what becomes of the attempts of one request. */
export class AttemptLog {
  /** The path or endpoint of the last attempt. */
  private path = '';
  /** When the last attempt ended; undefined before the first one has. */
  private endedAt: Instant | undefined;
  /** Why the running attempt last kept its request. */
  private stayDenial: RetryDenial | undefined;

  constructor(private readonly context: RequestContext) {}

  /** Records that an attempt begins. */
  recordStart(path: string): void {
    this.path = path;
    this.stayDenial = undefined;
  }

  /** Records that the attempt has ended. */
  recordEnd(): void {
    this.endedAt = this.context.server.getNow();
  }

  /** Logs that an attempt failed or was given up. */
  logFailed(
    endpoint: string,
    reason: string,
    more: EventFields = {},
    endedBy = AttemptEnder.Endpoint,
  ): void {
    const {server, request} = this.context;
    server.writeEvent(GatewayEvent.RequestAttemptFailed, {
      request: request.attemptId,
      endpoint,
      endedBy,
      reason,
      ...more,
    });
  }

  /** Logs that the request is sent to another path as well as the running attempt's. */
  logMove(next: string, reason: string, progressAt: Instant): void {
    const {server, request} = this.context;
    server.writeEvent(GatewayEvent.RequestMoves, {
      request: request.attemptId,
      path: this.path,
      next,
      silentMs: Math.round(server.getNow() - progressAt),
      reason,
    });
  }

  /** Logs why a request whose attempt has ended gets no further one. */
  logGivenUp(denial: RetryDenial): void {
    const {path, endedAt} = this;
    if (endedAt === undefined) return;
    const {server, request} = this.context;
    server.writeEvent(GatewayEvent.RequestGivenUp, {
      request: request.attemptId,
      path,
      denial,
      sinceMs: Math.round(server.getNow() - endedAt),
    });
  }

  /**
   * Logs why a request has no further attempt beside one without progress; each
   * reason once an attempt, since it is checked again and again.
   */
  logStay(denial: RetryDenial, progressAt: Instant): void {
    if (this.stayDenial === denial) return;
    this.stayDenial = denial;
    const {server, request} = this.context;
    server.writeEvent(GatewayEvent.RequestStays, {
      request: request.attemptId,
      path: this.path,
      denial,
      silentMs: Math.round(server.getNow() - progressAt),
    });
  }
}
