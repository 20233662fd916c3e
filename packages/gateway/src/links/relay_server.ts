import type net from 'node:net';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {RelayOutcome, type RelayRequest} from '../peers/messages.js';
import type {EndpointLinks} from './endpoint_links.js';
import {openDirect} from './open_connection.js';

/** A live endpoint accepts within a few milliseconds. */
const connectMilliseconds = 150;
/** Connections that are passed on at once; each takes two descriptors. */
const maxRelayed = 256;
/** Time for the peer to close a connection that its endpoint has ended. */
const lingerMilliseconds = 2000;

/**
 * Passes connections of peers on to endpoints that they do not reach. It only
 * copies bytes; the peer keeps attempts, budgets, limits and deadlines.
 */
export class RelayServer {
  private relayed = 0;

  constructor(
    private readonly endpoints: EndpointTable,
    private readonly links: Pick<EndpointLinks, 'isCut' | 'checkOwn'>,
    private readonly metrics: Metrics,
    private readonly writeEvent: WriteEvent,
  ) {}

  /** Counts the connections that are passed on. */
  count(): number {
    return this.relayed;
  }

  /** Handles a request on a connection that carries nothing else. */
  accept(near: net.Socket, {id, purpose}: RelayRequest): void {
    near.pause();
    const address = this.findAddress(id);
    if (address === undefined) return refuse(near, RelayOutcome.Unavailable);
    this.relayed += 1;
    near.once('close', () => {
      this.relayed -= 1;
      clearTimeout(timer);
      cancel();
    });
    const timer = setTimeout(() => {
      cancel();
      refuse(near, RelayOutcome.Silent);
    }, connectMilliseconds);
    const cancel = openDirect(address, result => {
      clearTimeout(timer);
      if (result.isErr) {
        void this.refuseFailed(near, id, result.error);
        return;
      }
      if (near.destroyed) return void result.value.socket.destroy();
      this.metrics.count(Counter.RelayedForPeers);
      this.writeEvent(GatewayEvent.ConnectionRelayed, {endpoint: id, purpose});
      joinSockets(near, result.value.socket);
    });
  }

  /** Tells how a connection failed, unless that may be the fault of this VM. */
  private async refuseFailed(
    near: net.Socket,
    id: string,
    {code}: NodeJS.ErrnoException,
  ): Promise<void> {
    const isRefused = code === 'ECONNREFUSED';
    const outcome = isRefused ? RelayOutcome.Refused : RelayOutcome.Silent;
    const others = this.endpoints
      .list()
      .filter(({entry}) => entry.id !== id)
      .map(({entry}) => entry.address);
    const isOwnFault = !(await this.links.checkOwn(others));
    refuse(near, isOwnFault ? RelayOutcome.Unavailable : outcome);
  }

  /** Finds the address of an endpoint to which this VM can pass connections on. */
  private findAddress(id: string): string | undefined {
    const state = this.endpoints.find(id);
    if (state === undefined || this.relayed >= maxRelayed) return undefined;
    if (this.links.isCut(id)) return undefined;
    // An endpoint counts what it asked of this VM against what comes from it.
    if (this.endpoints.findPauseEnd(state) !== undefined) return undefined;
    return state.entry.address;
  }
}

function refuse(near: net.Socket, outcome: RelayOutcome): void {
  if (!near.destroyed) near.end(outcome);
}

/** Copies bytes, ends and resets between two connections. */
function joinSockets(near: net.Socket, far: net.Socket): void {
  near.write(RelayOutcome.Open);
  far.pipe(near, {end: false});
  near.pipe(far, {end: false});
  far.on('end', () => {
    near.end();
    setTimeout(() => near.destroy(), lingerMilliseconds).unref();
  });
  near.on('end', () => far.end());
  far.on('error', () => near.resetAndDestroy());
  near.on('error', () => far.destroy());
  near.on('close', () => far.destroy());
  far.on('close', hadError => {
    if (hadError || !far.readableEnded) near.resetAndDestroy();
  });
}
