import {
  computeIdleMilliseconds,
  DropReason,
  findDropReason,
  findEndReason,
  type AnswerEnd,
  type IdleConnection,
  type KeptEndpoint,
} from '@zinniaspindle/decisions';
import {isPast, type Deadline, type Instant} from '@zinniaspindle/shared';
import {Counter, type Metrics} from '../log/metrics.js';
import type {EndpointConnection} from './open_connection.js';

/** Idle connections to one endpoint; it accepts a limited number from all VMs. */
const maxIdlePerEndpoint = 2;
/** Requests on one connection, whose ids are remembered as long as it is kept. */
const maxUses = 64;
/** Idle connections of a VM; each takes a descriptor. */
const maxIdle = 128;
/** Time after an answer without the id of its call in which no other id is tried. */
const unechoedMilliseconds = 30_000;

const dropCounters: Readonly<Record<DropReason, Counter>> = {
  [DropReason.Closed]: Counter.DroppedClosed,
  [DropReason.ExtraBytes]: Counter.DroppedExtraBytes,
  [DropReason.Expired]: Counter.DroppedExpired,
  [DropReason.Replaced]: Counter.DroppedReplaced,
  [DropReason.Unwanted]: Counter.DroppedUnwanted,
  [DropReason.Excess]: Counter.DroppedExcess,
  [DropReason.Failed]: Counter.DroppedFailed,
};

/** The incarnation of an endpoint that connections are kept for. */
export interface KeptTarget {
  readonly id: string;
  readonly address: string;
  readonly bornAt: Instant;
}

/** Takes and keeps the connections to one incarnation of an endpoint. */
export interface ConnectionKeeper {
  /** Takes an idle connection, if there is one, for a single request. */
  take(): EndpointConnection | undefined;
  /** Keeps a connection whose answer is complete, or closes it. */
  accept(connection: EndpointConnection, end: AnswerEnd): void;
  /** Counts that a request on a kept connection got no usable answer. */
  recordFailed(): void;
}

/** Takes and keeps the connections of reports. */
export interface ReportKeeper extends ConnectionKeeper {
  /**
   * Tells whether a connection has had a report. Calls on it carry an id, since that
   * report may come again; elsewhere a process may take a call for a request, and run
   * it if it has an id.
   */
  hasReported(connection: EndpointConnection): boolean;
  /** Records that an answer did not repeat the id of its call. */
  recordUnechoed(): void;
}

/** What kept connections depend on. */
export interface KeptContext {
  /** Finds an endpoint as it is known now. */
  readonly findEndpoint: (id: string) => KeptEndpoint | undefined;
  /** Called when an endpoint has answered on a connection of this VM. */
  readonly recordReached: () => void;
  readonly metrics: Metrics;
  readonly getNow: () => Instant;
}

interface Idle extends IdleConnection {
  readonly id: string;
  readonly connection: EndpointConnection;
  readonly removeListeners: () => void;
}

/** The idle connections to endpoints, for requests that may run more than once. */
export class KeptConnections {
  /** By endpoint, the latest used last. */
  private readonly idle = new Map<string, Idle[]>();
  /** All of them, the latest used last. */
  private readonly all = new Set<Idle>();
  /** Ids of the requests that each connection has had. */
  private readonly used = new WeakMap<object, Set<string>>();
  /** Connections that have had a report. */
  private readonly reported = new WeakSet<object>();
  /** Connections of reports are not kept before this instant. */
  private keepsReportsFrom: Deadline = -Infinity;
  private isClosed = false;

  constructor(private readonly context: KeptContext) {}

  /**
   * Makes what takes and keeps connections to an incarnation of an endpoint.
   * @param request the id that its caller gave the request, and that its answer
   *   carries; a connection that has had a request with it is not taken, since the
   *   earlier answer may come again
   */
  makeKeeper(target: KeptTarget, request: string): ConnectionKeeper {
    return {
      take: () => this.take(target, request),
      accept: (connection, end) => {
        this.recordUse(connection, request);
        this.accept(target, connection, end);
      },
      recordFailed: () => this.context.metrics.count(Counter.DroppedFailed),
    };
  }

  /** Makes the same for reports, whose ids are used once. */
  makeReportKeeper(target: KeptTarget): ReportKeeper {
    const {metrics, getNow} = this.context;
    const hasReported = ({socket}: EndpointConnection) =>
      this.reported.has(socket);
    return {
      take: () => this.take(target, undefined),
      hasReported,
      accept: (connection, end) => {
        const canRepeat = isPast(this.keepsReportsFrom, getNow());
        if (!canRepeat && !hasReported(connection)) connection.socket.destroy();
        else this.accept(target, connection, end);
        this.reported.add(connection.socket);
      },
      recordFailed: () => metrics.count(Counter.DroppedFailed),
      recordUnechoed: () => {
        this.keepsReportsFrom = getNow() + unechoedMilliseconds;
      },
    };
  }

  /** Counts the idle connections, which are as many descriptors. */
  count(): number {
    return this.all.size;
  }

  /** Closes the idle connections that there is a reason to drop. */
  dropStale(): void {
    const now = this.context.getNow();
    for (const idle of [...this.all]) {
      const reason = findDropReason(
        idle,
        this.context.findEndpoint(idle.id),
        now,
      );
      if (reason !== undefined) this.drop(idle, reason);
    }
  }

  /** Closes all idle connections and keeps no further ones. */
  close(): void {
    this.isClosed = true;
    for (const idle of [...this.all]) this.drop(idle, DropReason.Unwanted);
  }

  private recordUse({socket}: EndpointConnection, request: string): void {
    const ids = this.used.get(socket) ?? new Set();
    this.used.set(socket, ids.add(request));
  }

  private hasUsed(socket: object, request: string): boolean {
    return this.used.get(socket)?.has(request) === true;
  }

  private countUses({socket}: EndpointConnection): number {
    return this.used.get(socket)?.size ?? 0;
  }

  private take(
    {id, address, bornAt}: KeptTarget,
    request: string | undefined,
  ): EndpointConnection | undefined {
    const now = this.context.getNow();
    const endpoint = this.context.findEndpoint(id);
    for (;;) {
      const idle = this.idle.get(id)?.at(-1);
      if (idle === undefined) return undefined;
      const isTarget = idle.address === address && idle.bornAt === bornAt;
      const reason = isTarget
        ? findDropReason(idle, endpoint, now)
        : DropReason.Replaced;
      if (reason !== undefined) {
        this.drop(idle, reason);
        continue;
      }
      const {socket} = idle.connection;
      const isUsed = request !== undefined && this.hasUsed(socket, request);
      if (isUsed) return undefined;
      this.remove(idle);
      this.context.metrics.count(Counter.ConnectionsReused);
      return idle.connection;
    }
  }

  private accept(
    target: KeptTarget,
    connection: EndpointConnection,
    end: AnswerEnd,
  ): void {
    const {socket, relay} = connection;
    if (relay === undefined) this.context.recordReached();
    const reason = this.findReason(target, connection, end);
    if (reason !== undefined) {
      if (relay === undefined) this.context.metrics.count(dropCounters[reason]);
      socket.destroy();
      return;
    }
    const milliseconds = computeIdleMilliseconds(end.keepAlive);
    const until = this.context.getNow() + milliseconds;
    const handleBytes = () => this.drop(idle, DropReason.ExtraBytes);
    const handleEnd = () => this.drop(idle, DropReason.Closed);
    socket.on('data', handleBytes);
    socket.on('end', handleEnd);
    socket.on('close', handleEnd);
    const removeListeners = () => {
      socket.off('data', handleBytes);
      socket.off('end', handleEnd);
      socket.off('close', handleEnd);
    };
    const idle: Idle = {...target, until, connection, removeListeners};
    socket.resume();
    this.add(idle);
  }

  private findReason(
    target: KeptTarget,
    connection: EndpointConnection,
    end: AnswerEnd,
  ): DropReason | undefined {
    const {socket, relay} = connection;
    // Connections through a peer occupy that peer as well.
    if (this.isClosed || relay !== undefined) return DropReason.Unwanted;
    const reason = findEndReason(end);
    if (reason !== undefined) return reason;
    if (socket.destroyed || socket.readableEnded) return DropReason.Closed;
    if (this.countUses(connection) >= maxUses) return DropReason.Excess;
    const now = this.context.getNow();
    const fresh = {...target, until: Infinity};
    return findDropReason(fresh, this.context.findEndpoint(target.id), now);
  }

  private add(idle: Idle): void {
    const {id} = idle;
    const own = this.idle.get(id) ?? [];
    this.idle.set(id, own);
    own.push(idle);
    this.all.add(idle);
    if (own.length > maxIdlePerEndpoint) this.drop(own[0]!, DropReason.Excess);
    if (this.all.size <= maxIdle) return;
    const [oldest] = this.all;
    this.drop(oldest!, DropReason.Excess);
  }

  private drop(idle: Idle, reason: DropReason): void {
    if (!this.all.has(idle)) return;
    this.remove(idle);
    this.context.metrics.count(dropCounters[reason]);
    idle.connection.socket.destroy();
  }

  private remove(idle: Idle): void {
    idle.removeListeners();
    this.all.delete(idle);
    const own = this.idle.get(idle.id)!;
    own.splice(own.indexOf(idle), 1);
    if (own.length === 0) this.idle.delete(idle.id);
  }
}
