import type net from 'node:net';
import type {Duplex} from 'node:stream';
import {GatewayEvent} from '@zinniaspindle/shared';
import type {EndpointTable} from '../fleet/endpoint_table.js';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {
  openFramed,
  RelayOutcome,
  type RelayRequest,
} from '../peers/messages.js';
import {checkEnd} from './check_end.js';
import type {EndpointLinks} from './endpoint_links.js';
import {encodeFrameLength, endFrame} from './framed_connection.js';
import {openDirect} from './open_connection.js';

/** A live endpoint accepts within a few milliseconds. */
const connectMilliseconds = 150;
/** Connections that are passed on at once; each takes two descriptors. */
const maxRelayed = 256;
/** Time for the peer to close a connection that its endpoint has ended. */
const lingerMilliseconds = 2000;
/** Time for the peer to read what its endpoint has written before its end. */
const drainMilliseconds = 60_000;

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
  accept(
    near: net.Socket,
    {id, purpose, readsFrames = false}: RelayRequest,
  ): void {
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
      joinSockets(near, result.value.socket, readsFrames);
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

/** Copies bytes, ends and resets between the connections to a peer and an endpoint. */
function joinSockets(near: net.Socket, far: Duplex, isFramed: boolean): void {
  near.write(isFramed ? openFramed : RelayOutcome.Open);
  if (isFramed) writeFrames(far, near);
  else far.pipe(near, {end: false});
  near.pipe(far, {end: false});
  let hasEnded = false;
  far.on('end', () => {
    checkEnd(far, error => {
      if (error !== undefined) return near.resetAndDestroy();
      hasEnded = true;
      closeNear(near, isFramed);
    });
  });
  const handleBreak = () => {
    // A reset after the end must not take back what the peer has yet to read.
    if (!hasEnded) near.resetAndDestroy();
  };
  near.on('end', () => far.end());
  far.on('error', handleBreak);
  near.on('error', () => far.destroy());
  near.on('close', () => far.destroy());
  far.on('close', () => {
    if (far.errored !== null || !far.readableEnded) handleBreak();
  });
}

function writeFrames(far: Duplex, near: net.Socket): void {
  far.on('data', (chunk: Buffer) => {
    near.write(encodeFrameLength(chunk));
    if (near.write(chunk)) return;
    far.pause();
    near.once('drain', () => far.resume());
  });
}

/** Ends the connection to a peer whose endpoint has ended its own. */
function closeNear(near: net.Socket, isFramed: boolean): void {
  const closeNow = () => near.destroy();
  let timer = setTimeout(closeNow, drainMilliseconds).unref();
  near.once('close', () => clearTimeout(timer));
  if (isFramed) near.write(endFrame);
  near.end(() => {
    clearTimeout(timer);
    timer = setTimeout(closeNow, lingerMilliseconds).unref();
  });
}
