import {lastingMilliseconds} from '@zinniaspindle/decisions';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import type {Incarnation} from '../fleet/notice_table.js';
import type {PathReservation} from '../fleet/path_table.js';
import type {RequestContext} from './request_context.js';

/** Interval at which an answer that goes on clears its traits again. */
const clearMilliseconds = 100;

/** The endpoint that an attempt was sent to. */
interface AttemptTarget {
  readonly id: string;
  /** Start of its incarnation; undefined if the endpoint is not known. */
  readonly bornAt: Instant | undefined;
  readonly sentAt: Instant;
}

/** Follows the attempts of one request for attempts that break. */
export class AttemptWatch {
  private target: AttemptTarget | undefined;
  /** Whether the last attempt broke before its answer was lasting. */
  private hasBrokenEarly = false;
  /** When an answer that goes on is lasting; undefined before its first event. */
  private lastingAt: Deadline | undefined;
  /** Whether an event has come since then. */
  private isLasting = false;
  private nextClearAt: Deadline = -Infinity;
  /** Whether the last attempt is recorded as broken. */
  private hasRecorded = false;

  constructor(private readonly context: RequestContext) {}

  /** Records that an attempt is sent to an endpoint. */
  recordStart(id: string): void {
    const {endpoints, getNow} = this.context.server;
    const bornAt = endpoints.find(id)?.bornAt;
    this.target = {id, bornAt, sentAt: getNow()};
    this.hasBrokenEarly = false;
    this.lastingAt = undefined;
    this.isLasting = false;
    this.hasRecorded = false;
  }

  /** Finds the incarnation that the attempt was sent to, if it was known. */
  findTarget(): Incarnation | undefined {
    const {target} = this;
    if (target?.bornAt === undefined) return undefined;
    return {id: target.id, bornAt: target.bornAt};
  }

  /** Records an event of the attempt. */
  handleEvent(): void {
    const {server, traits, service} = this.context;
    const now = server.getNow();
    if (this.lastingAt === undefined) {
      this.lastingAt = now + lastingMilliseconds;
      server.quarantine.recordBegun(service.name, traits);
    } else if (isPast(this.lastingAt, now)) {
      this.isLasting = true;
      if (!isPast(this.nextClearAt, now)) return;
      this.nextClearAt = now + clearMilliseconds;
      server.quarantine.recordLasting(service.name, traits);
    }
  }

  /** Records a whole answer of any status, which shows that the request is sound. */
  handleAnswer(): void {
    const {server, traits, service} = this.context;
    const {quarantine} = server;
    if (this.lastingAt === undefined) {
      quarantine.recordAnswer(service.name, traits);
    } else {
      quarantine.recordLasting(service.name, traits);
    }
  }

  /** Checks the endpoints of a path on which the attempt has broken. */
  handleBreak({path}: PathReservation): void {
    const {prober, paths, getNow} = this.context.server;
    void prober.probePath(path, () => paths.dropStreams(path));
    this.hasBrokenEarly = !this.isLasting;
    if (!this.hasBrokenEarly) return;
    this.recordBreak();
    // An answer from before the break does not show that the endpoint lives.
    if (this.target !== undefined) void prober.probe(this.target.id, getNow());
  }

  /** Checks the endpoint at which an attempt without a path has broken. */
  handleBrokenAnswer(): void {
    this.hasBrokenEarly = !this.isLasting;
    if (this.hasBrokenEarly) this.recordBreak();
    const {target, context} = this;
    if (target !== undefined) void context.server.endCheck.check(target.id);
  }

  /**
   * Records an attempt beside which, or in place of which, another is made. Its
   * endpoint may have ended before its own connection has broken.
   */
  handleMove(): void {
    const {target, context} = this;
    if (this.isLasting || target?.bornAt === undefined) return;
    const {id, bornAt} = target;
    if (context.server.ends.hasEnded({id, bornAt})) this.recordBreak();
  }

  private recordBreak(): void {
    const {target, context} = this;
    if (target?.bornAt === undefined || this.hasRecorded) return;
    this.hasRecorded = true;
    const {server, request, service, traits} = context;
    const {id, bornAt, sentAt} = target;
    const hasBegun = this.lastingAt !== undefined;
    const attempt = {request: request.attemptId, traits, sentAt, hasBegun};
    server.ends.recordBreak({id, bornAt}, service.name, attempt);
  }

  /**
   * Tells whether the last attempt broke as those of earlier requests did that
   * ended their endpoints; a further one would end another.
   */
  isSuspect(): boolean {
    const {server, traits, service} = this.context;
    if (!this.hasBrokenEarly) return false;
    return server.quarantine.isSuspect(service.name, traits);
  }
}
