import {
  canAskPeers,
  createLink,
  isIsolated,
  isReaching,
  isLinkTrialDue,
  LinkFailure,
  recordGone,
  recordPeerReached,
  recordReached,
  recordTrialEnd,
  recordTrialStart,
  type LinkState,
} from '@zinniaspindle/decisions';
import {GatewayEvent, type Instant} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {WriteEvent} from '../log/event_log.js';
import {Counter, type Metrics} from '../log/metrics.js';
import {askRelays} from './ask_relays.js';
import {
  openDirect,
  type CancelConnection,
  type EndpointConnection,
  type HandleConnection,
} from './open_connection.js';
import type {Relay} from './relay_client.js';
import {RelayChoice} from './relay_choice.js';

/** An endpoint, and what a connection to it is for. */
export interface LinkTarget {
  readonly id: string;
  readonly address: string;
  /** The request or call that needs the connection, for the log. */
  readonly purpose: string;
}

/**
 * Endpoints accept within a few milliseconds; after this time a peer is asked as
 * well, and the first connection is used.
 */
const hedgeMilliseconds = 60;
const trialMilliseconds = 300;
/** Links whose state is kept. */
const maxLinks = 4096;

/**
 * Opens connections to endpoints: directly, or through a peer where those of this
 * VM fail. A connection is only used once it is established, so that the endpoint
 * has seen nothing of a request whose connections all fail.
 */
export class EndpointLinks {
  private readonly links = new Map<string, LinkState>();
  /** Those of them that are cut. */
  private readonly cutLinks = new Map<string, LinkState>();
  /** Called when a link is lost, for what uses its open connections. */
  private readonly watchers = new Map<string, Set<() => void>>();
  /** When a connection of this VM was last established. */
  private reachedAt: Instant = -Infinity;
  private readonly choice: RelayChoice;

  constructor(
    listRelays: () => readonly Relay[],
    private readonly metrics: Metrics,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
  ) {
    this.choice = new RelayChoice(listRelays, getNow, Math.random);
  }

  /** Tells whether connections of this VM to an endpoint fail, as far as known. */
  isCut(id: string): boolean {
    if (this.links.get(id)?.isCut === true) return true;
    return isIsolated(this.cutLinks.size, this.reachedAt, this.getNow());
  }

  /** Opens a connection to an endpoint. */
  open(target: LinkTarget, handle: HandleConnection): CancelConnection {
    const link = this.getLink(target.id);
    if (this.isCut(target.id)) {
      return this.openThroughPeer(target, link, handle);
    }
    return this.openHedged(target, link, handle);
  }

  /**
   * Calls a function when the link to an endpoint is lost; returns one that ends
   * this.
   */
  addWatcher(id: string, handleCut: () => void): () => void {
    const watchers = this.watchers.get(id) ?? new Set();
    this.watchers.set(id, watchers);
    watchers.add(handleCut);
    return () => {
      watchers.delete(handleCut);
      if (watchers.size === 0) this.watchers.delete(id);
    };
  }

  /** Records that an endpoint answered this VM on a kept connection. */
  recordAnswered(): void {
    this.reachedAt = this.getNow();
  }

  /** Tries the links that are cut. */
  runTrials(findAddress: (id: string) => string | undefined): void {
    const now = this.getNow();
    for (const [id, link] of this.cutLinks) {
      const address = findAddress(id);
      if (address === undefined) this.cutLinks.delete(id);
      else if (isLinkTrialDue(link, now)) void this.runTrial(id, address, link);
    }
    for (const id of this.links.keys()) {
      if (this.links.size <= maxLinks) return;
      if (!this.cutLinks.has(id)) this.links.delete(id);
    }
  }

  /**
   * Checks whether connections of this VM are established at all, by the latest
   * ones or one to an endpoint of some at random.
   */
  checkOwn(addresses: readonly string[]): Promise<boolean> {
    if (isReaching(this.reachedAt, this.getNow())) return Promise.resolve(true);
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    if (address === undefined) return Promise.resolve(true);
    return this.openTrial(address);
  }

  private async runTrial(
    id: string,
    address: string,
    link: LinkState,
  ): Promise<void> {
    recordTrialStart(link, this.getNow());
    const isOpen = await this.openTrial(address);
    if (!recordTrialEnd(link, isOpen)) return;
    this.cutLinks.delete(id);
    const cutMs = Math.round(this.getNow() - link.cutAt);
    this.writeEvent(GatewayEvent.LinkRestored, {endpoint: id, cutMs});
  }

  /** Opens and closes a connection of this VM; tells whether it was established. */
  private openTrial(address: string): Promise<boolean> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        cancel();
        resolve(false);
      }, trialMilliseconds);
      const cancel = openDirect(address, result => {
        clearTimeout(timer);
        if (result.isOk) {
          this.reachedAt = this.getNow();
          result.value.socket.destroy();
        }
        resolve(result.isOk);
      });
    });
  }

  /** Opens a connection through a peer, or directly if none has one. */
  private openThroughPeer(
    target: LinkTarget,
    link: LinkState,
    handle: HandleConnection,
  ): CancelConnection {
    let cancel: CancelConnection = () => undefined;
    const openLast = () => {
      cancel = openDirect(target.address, result => {
        if (result.isOk) this.recordReached(link);
        handle(result);
      });
    };
    cancel = askRelays(this.choice, target, result => {
      if (result.isErr) {
        const {error} = result;
        if (link.isCut && error.hasAnswer) return handle(Result.err(error));
        return openLast();
      }
      this.metrics.count(Counter.Relayed);
      handle(Result.ok(result.value));
    });
    return () => cancel();
  }

  /** Opens a connection directly, and through a peer if that fails or takes long. */
  private openHedged(
    target: LinkTarget,
    link: LinkState,
    handle: HandleConnection,
  ): CancelConnection {
    let failure: Error | undefined;
    let isAsking = false;
    let cancelRelays: CancelConnection = () => undefined;
    const closeWith: HandleConnection = result => {
      clearTimeout(timer);
      handle(result);
    };
    const ask = () => {
      if (isAsking) return;
      isAsking = true;
      cancelRelays = askRelays(this.choice, target, result => {
        if (result.isOk) {
          cancelDirect();
          this.recordPeerReached(target.id, link, failure, result.value);
          return closeWith(Result.ok(result.value));
        }
        isAsking = false;
        if (result.error.hasAnswer) recordGone(link, this.getNow());
        if (failure !== undefined) {
          closeWith(Result.err(result.error.translate(failure)));
        }
      });
    };
    const timer = setTimeout(() => {
      // The connection may be established, and this loop late to see it.
      setImmediate(() => {
        if (canAskPeers(link, this.getNow()) && !isDone()) ask();
      });
    }, hedgeMilliseconds);
    let hasReached = false;
    let isCancelled = false;
    const isDone = () => hasReached || isCancelled || failure !== undefined;
    const cancelDirect = openDirect(target.address, result => {
      if (result.isOk) {
        hasReached = true;
        cancelRelays();
        this.recordReached(link);
        return closeWith(result);
      }
      failure = result.error;
      if (isAsking) return;
      if (canAskPeers(link, this.getNow())) ask();
      else closeWith(result);
    });
    return () => {
      isCancelled = true;
      clearTimeout(timer);
      cancelDirect();
      cancelRelays();
    };
  }

  private recordReached(link: LinkState): void {
    this.metrics.count(Counter.ConnectionsOpened);
    this.reachedAt = this.getNow();
    recordReached(link);
  }

  private recordPeerReached(
    id: string,
    link: LinkState,
    error: Error | undefined,
    {relay = ''}: EndpointConnection,
  ): void {
    this.metrics.count(Counter.Relayed);
    const failure =
      error === undefined ? LinkFailure.Hung : LinkFailure.Refused;
    if (!recordPeerReached(link, failure, this.getNow())) return;
    this.cutLinks.set(id, link);
    const reason = error?.message ?? 'connections hang';
    const fields = {endpoint: id, reason, peer: relay};
    this.writeEvent(GatewayEvent.LinkCut, fields);
    for (const handleCut of [...(this.watchers.get(id) ?? [])]) handleCut();
  }

  private getLink(id: string): LinkState {
    let link = this.links.get(id);
    if (link === undefined) {
      link = createLink();
      this.links.set(id, link);
    }
    return link;
  }
}
