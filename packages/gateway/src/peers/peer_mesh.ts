import net from 'node:net';
import {
  createDelayWindow,
  IntakeKind,
  kindLimits,
  type DelayWindow,
} from '@zinniaspindle/decisions';
import {FrameReader} from '@zinniaspindle/framing';
import {
  describeError,
  GatewayEvent,
  parseAddress,
  type Address,
  type Instant,
} from '@zinniaspindle/shared';
import type {LoadTracker} from '../fleet/load_tracker.js';
import type {WaiterTable} from '../fleet/waiter_table.js';
import type {WriteEvent} from '../log/event_log.js';
import {RefusalLog} from '../log/refusal_log.js';
import {openServer} from '../open_server.js';
import {
  PeerMessageKind,
  PeerPhase,
  type Heartbeat,
  type Hello,
  type PeerMessage,
  type RelayRequest,
} from './messages.js';
import {isAddress} from './message_checks.js';
import {decodeMessage, encodeMessage} from './message_codec.js';
import {computeRankWeight} from './compute_rank.js';
import {
  computeClosedMessageAt,
  computeSilenceTimeout,
} from './heartbeat_period.js';
import {PeerLink} from './peer_link.js';

/** After this time without a message, a peer is removed and its link closed. */
const retentionMilliseconds = 30_000;

/** Interval at which links that no peer uses are looked for. */
const linkCheckMilliseconds = 1000;

/** What this VM knows about a peer. */
export interface Peer {
  readonly vm: string;
  readonly startedAt: Instant;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly linkMegabits: number;
  /** Processor time that it gets a second, in cores; undefined if unknown. */
  readonly cores?: number | undefined;
  readonly rankWeight: number;
  phase: PeerPhase;
  isOwner: boolean;
  /** Whether the store served its last read. */
  canRead: boolean;
  /** Delays of its messages. */
  readonly delays: DelayWindow;
  lastMessageAt: Instant;
  /** Whether it had sent a message in time at the last check. */
  isReachable: boolean;
}

/** Handles any message from a peer other than a Hello. */
export type HandleMessage = (peer: Peer, message: PeerMessage) => void;

/**
 * The connections to all other VMs: an outgoing and an incoming one for each.
 */
export class PeerMesh {
  private readonly peers = new Map<string, Peer>();
  private readonly links = new Map<string, PeerLink>();
  private readonly linkOpenedAt = new Map<string, Instant>();
  private readonly server = net.createServer(socket => this.accept(socket));
  private nextLinkCheckAt: Instant = 0;
  /** Connections that peers opened to this VM. */
  private readonly inbound = new Set<net.Socket>();
  private readonly refusals: RefusalLog;

  constructor(
    private readonly own: Omit<Hello, 'kind' | 'known'>,
    private readonly loads: LoadTracker,
    private readonly handleMessage: HandleMessage,
    private readonly writeEvent: WriteEvent,
    private readonly getNow: () => Instant,
    /** Takes over a connection that a peer wants passed on. */
    private readonly handleRelay: (
      socket: net.Socket,
      request: RelayRequest,
    ) => void = socket => socket.destroy(),
    /** What peers report of their waiting requests. */
    private readonly waiters?: Pick<WaiterTable, 'setPeer' | 'removePeer'>,
  ) {
    this.refusals = new RefusalLog(writeEvent, getNow);
  }

  /** Listens for peers and connects to the seeds. */
  async open(address: Address, seeds: readonly string[]): Promise<void> {
    await openServer(this.server, address);
    for (const seed of seeds) this.addAddress(seed);
  }

  /** Opens a link to a peer address, unless there is one. */
  addAddress(address: string): void {
    if (address === this.own.peerAddress || this.links.has(address)) return;
    if (!isAddress(address)) {
      this.refuseMessage('addresses', `"${String(address).slice(0, 40)}"`);
      return;
    }
    const {host, port} = parseAddress(address);
    const link = new PeerLink(host, port, () => this.makeHello());
    this.links.set(address, link);
    this.linkOpenedAt.set(address, this.getNow());
  }

  /** Sends a message to all peers. */
  sendAll(message: PeerMessage): void {
    if (this.links.size === 0) return;
    const frame = encodeMessage(message);
    for (const link of this.links.values()) link.send(frame);
  }

  /** Sends a message to one peer. */
  sendTo(peer: Peer, message: PeerMessage): void {
    this.links.get(peer.peerAddress)?.send(encodeMessage(message));
  }

  /** Lists the peers that are reachable and not leaving. */
  listLive(): Peer[] {
    return [...this.peers.values()].filter(isLive);
  }

  /** Counts the peers that are reachable and not leaving. */
  countLive(): number {
    let count = 0;
    for (const peer of this.peers.values()) if (isLive(peer)) count += 1;
    return count;
  }

  /** Tells whether a live peer holds the ownership of orders to endpoints. */
  hasOwner(): boolean {
    return this.listLive().some(({isOwner}) => isOwner);
  }

  /** Lists all peers but those that left: leaving ones that are unreachable. */
  listPresent(): Peer[] {
    return [...this.peers.values()].filter(
      ({phase, isReachable}) => isReachable || phase !== PeerPhase.Leaving,
    );
  }

  /** Lists all peers that are not leaving, including unreachable ones. */
  listStaying(): Peer[] {
    return [...this.peers.values()].filter(
      ({phase}) => phase !== PeerPhase.Leaving,
    );
  }

  /** Marks silent peers as unreachable, and removes those silent for long. */
  checkSilence(): void {
    const now = this.getNow();
    const silenceTimeoutMs = computeSilenceTimeout(this.peers.size);
    for (const [vm, peer] of this.peers) {
      const silentMs = Math.round(now - peer.lastMessageAt);
      if (peer.isReachable && silentMs > silenceTimeoutMs) {
        peer.isReachable = false;
        this.loads.removePeer(vm);
        this.waiters?.removePeer(vm);
        this.writeEvent(GatewayEvent.PeerLost, {peer: vm, silentMs});
      }
      if (silentMs > retentionMilliseconds) this.peers.delete(vm);
    }
    if (now < this.nextLinkCheckAt) return;
    this.nextLinkCheckAt = now + linkCheckMilliseconds;
    const inUse = new Set(
      [...this.peers.values()].map(({peerAddress}) => peerAddress),
    );
    for (const [address, opened] of this.linkOpenedAt) {
      if (inUse.has(address) || now - opened < retentionMilliseconds) continue;
      this.links.get(address)?.close();
      this.links.delete(address);
      this.linkOpenedAt.delete(address);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.inbound) socket.destroy();
    for (const link of this.links.values()) link.close();
  }

  private makeHello(): Hello {
    const known = this.listStaying().map(({peerAddress}) => peerAddress);
    return {kind: PeerMessageKind.Hello, ...this.own, known};
  }

  private accept(socket: net.Socket): void {
    this.inbound.add(socket);
    let peer: Peer | undefined;
    const reader = new FrameReader(frame => {
      const kind = frame > 0 ? IntakeKind.PeerFrame : IntakeKind.PeerGreeting;
      return kindLimits[kind].maxItem;
    });
    const remote = `${socket.remoteAddress}:${socket.remotePort}`;
    const refuse = (detail: string) => {
      this.writeEvent(GatewayEvent.PeerRefused, {remote, detail});
      socket.destroy();
    };
    socket.on('error', () => undefined); // 'close' follows.
    socket.on('close', () => {
      this.inbound.delete(socket);
      if (peer !== undefined) this.handleClosed(peer);
    });
    socket.on('data', chunk => {
      const messages = reader.accept(chunk);
      if (messages.isErr) return refuse(messages.error.message);
      for (const decoded of messages.value) {
        const message = decodeMessage(decoded);
        if (message.isErr) {
          if (peer === undefined) return refuse(message.error.message);
          // Newer builds may send kinds and forms that this one does not know.
          this.refuseMessage(peer.vm, message.error.message);
          continue;
        }
        if (message.value.kind === PeerMessageKind.Relay) {
          socket.removeAllListeners('data');
          return this.handleRelay(socket, message.value);
        }
        try {
          peer = this.acceptMessage(peer, message.value);
        } catch (error) {
          if (peer === undefined) return refuse(describeError(error));
          this.refuseMessage(peer.vm, describeError(error));
        }
        if (peer === undefined) {
          return refuse('its first message is no greeting');
        }
      }
    });
  }

  private refuseMessage(peer: string, reason: string): void {
    const event = GatewayEvent.MessageRefused;
    this.refusals.record(event, peer, reason, {peer});
  }

  private handleClosed(peer: Peer): void {
    const {size} = this.peers;
    const now = this.getNow();
    peer.lastMessageAt = computeClosedMessageAt(peer.lastMessageAt, size, now);
  }

  private acceptMessage(
    peer: Peer | undefined,
    message: PeerMessage,
  ): Peer | undefined {
    if (message.kind === PeerMessageKind.Hello) {
      return this.acceptHello(message);
    }
    if (peer === undefined) return undefined;
    // Ignores a connection from an earlier run of the VM.
    if (this.peers.get(peer.vm) !== peer) return peer;
    peer.lastMessageAt = this.getNow();
    peer.isReachable = true;
    if (message.kind === PeerMessageKind.Heartbeat) this.update(peer, message);
    this.handleMessage(peer, message);
    return peer;
  }

  private acceptHello(hello: Hello): Peer {
    const known = this.peers.get(hello.vm);
    for (const address of hello.known) this.addAddress(address);
    this.addAddress(hello.peerAddress);
    if (known !== undefined && known.startedAt >= hello.startedAt) {
      if (known.startedAt === hello.startedAt) {
        known.lastMessageAt = this.getNow();
        known.isReachable = true;
      }
      return known;
    }
    const peer: Peer = {
      vm: hello.vm,
      startedAt: hello.startedAt,
      peerAddress: hello.peerAddress,
      callerAddress: hello.callerAddress,
      linkMegabits: hello.linkMegabits,
      cores: hello.cores,
      rankWeight: computeRankWeight(hello.vm),
      phase: PeerPhase.Starting,
      isOwner: false,
      canRead: true,
      delays: createDelayWindow(),
      lastMessageAt: this.getNow(),
      isReachable: true,
    };
    this.peers.set(peer.vm, peer);
    const {vm, peerAddress: address} = peer;
    this.writeEvent(GatewayEvent.PeerFound, {peer: vm, address});
    return peer;
  }

  private update(peer: Peer, heartbeat: Heartbeat): void {
    if (
      heartbeat.phase === PeerPhase.Leaving &&
      peer.phase !== heartbeat.phase
    ) {
      this.writeEvent(GatewayEvent.PeerLeaving, {peer: peer.vm});
    }
    peer.phase = heartbeat.phase;
    peer.isOwner = heartbeat.isOwner;
    peer.canRead = heartbeat.canRead;
    this.loads.setPeer(peer.vm, heartbeat.loads);
    this.waiters?.setPeer(peer.vm, heartbeat.demands ?? []);
  }
}

function isLive({isReachable, phase}: Peer): boolean {
  return isReachable && phase !== PeerPhase.Leaving;
}
