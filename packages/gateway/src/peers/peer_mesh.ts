import net from 'node:net';
import {
  createDelayWindow,
  createLostAddresses,
  createReopening,
  IntakeKind,
  kindLimits,
  recordLostAddress,
  recordPeerSilence,
  takeDueAddress,
  takeReopening,
  type DelayWindow,
  type Reopening,
} from '@zinniaspindle/decisions';
import {FrameReader} from '@zinniaspindle/framing';
import {
  describeError,
  GatewayEvent,
  isPast,
  parseAddress,
  type Address,
  type Deadline,
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
import {InboundConnections} from './inbound_connections.js';
import {PeerLink} from './peer_link.js';

/**
 * After this time without a message, a peer is removed and its link closed. Its
 * address is tried again from then on.
 */
const retentionMilliseconds = 30_000;
/** Time for a lost peer to greet after its address was tried again. */
const retryLinkMilliseconds = 3000;

/** Interval at which links and connections that are not used are looked for. */
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
  /** Whether its build opens a new link when it is told that it is not heard. */
  readonly readsUnheard: boolean;
  readonly reopening: Reopening;
}

/** A link, and when it is closed unless a peer has greeted from its address. */
interface OpenLink {
  readonly link: PeerLink;
  readonly closeAt: Deadline;
}

/** Handles any message from a peer other than a Hello. */
export type HandleMessage = (peer: Peer, message: PeerMessage) => void;

/**
 * The connections to all other VMs: an outgoing and an incoming one for each.
 */
export class PeerMesh {
  private readonly peers = new Map<string, Peer>();
  private readonly links = new Map<string, OpenLink>();
  /** Addresses at which a VM may be reached again. */
  private readonly lost = createLostAddresses();
  private readonly server = net.createServer(socket => this.accept(socket));
  private nextLinkCheckAt: Instant = 0;
  private readonly inbound: InboundConnections;
  private readonly refusals: RefusalLog;

  constructor(
    private readonly own: Omit<Hello, 'kind' | 'known' | 'isUnheard'>,
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
    this.inbound = new InboundConnections(getNow);
  }

  /** Listens for peers and connects to the seeds. */
  async open(address: Address, seeds: readonly string[]): Promise<void> {
    await openServer(this.server, address);
    for (const seed of seeds) this.addAddress(seed);
  }

  /** Opens a link to a peer address, unless there is one. */
  addAddress(address: string): void {
    this.openLink(address, retentionMilliseconds);
  }

  /** Sends a message to all peers. */
  sendAll(message: PeerMessage): void {
    if (this.links.size === 0) return;
    const frame = encodeMessage(message);
    for (const {link} of this.links.values()) link.send(frame);
  }

  /** Sends a message to one peer. */
  sendTo(peer: Peer, message: PeerMessage): void {
    this.links.get(peer.peerAddress)?.link.send(encodeMessage(message));
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

  /**
   * Marks silent peers as unreachable and opens the links to them again, removes
   * those silent for long, and tries to reach lost ones.
   */
  checkSilence(): void {
    const now = this.getNow();
    const silenceTimeoutMs = computeSilenceTimeout(this.peers.size);
    for (const [vm, peer] of this.peers) {
      const silentMs = Math.round(now - peer.lastMessageAt);
      if (peer.isReachable && silentMs > silenceTimeoutMs) {
        peer.isReachable = false;
        recordPeerSilence(peer.reopening, now);
        this.loads.removePeer(vm);
        this.waiters?.removePeer(vm);
        this.writeEvent(GatewayEvent.PeerLost, {peer: vm, silentMs});
      }
      if (silentMs > retentionMilliseconds) this.removePeer(peer);
      else if (!peer.isReachable) {
        this.openLinkAgain(peer, 'the peer is silent');
      }
    }
    if (now < this.nextLinkCheckAt) return;
    this.nextLinkCheckAt = now + linkCheckMilliseconds;
    this.closeUnusedLinks();
    this.inbound.closeSilent();
    const address = takeDueAddress(this.lost, now);
    if (address !== undefined) this.openLink(address, retryLinkMilliseconds);
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    this.inbound.close();
    for (const {link} of this.links.values()) link.close();
  }

  private openLink(address: string, greetingMilliseconds: number): void {
    if (address === this.own.peerAddress || this.links.has(address)) return;
    if (!isAddress(address)) {
      this.refuseMessage('addresses', `"${String(address).slice(0, 40)}"`);
      return;
    }
    const {host, port} = parseAddress(address);
    const link = new PeerLink(host, port, () => this.makeHello(address));
    const closeAt = this.getNow() + greetingMilliseconds;
    this.links.set(address, {link, closeAt});
  }

  private closeLink(address: string): void {
    this.links.get(address)?.link.close();
    this.links.delete(address);
  }

  /**
   * Opens the link to a peer again: its connection may be silent for good, which
   * nothing but the peer's messages can show.
   */
  private openLinkAgain(peer: Peer, reason: string): void {
    const {vm, peerAddress} = peer;
    const link = this.links.get(peerAddress)?.link;
    if (link?.canOpenAgain() !== true) return;
    if (!takeReopening(peer.reopening, this.getNow())) return;
    link.openAgain();
    this.writeEvent(GatewayEvent.PeerLinkReopened, {peer: vm, reason});
  }

  private removePeer({vm, peerAddress, phase, readsUnheard}: Peer): void {
    this.peers.delete(vm);
    if (this.findPeerAt(peerAddress) !== undefined) return;
    this.closeLink(peerAddress);
    if (phase === PeerPhase.Leaving) return;
    recordLostAddress(this.lost, peerAddress, readsUnheard, this.getNow());
  }

  private closeUnusedLinks(): void {
    const now = this.getNow();
    const inUse = new Set(
      [...this.peers.values()].map(({peerAddress}) => peerAddress),
    );
    for (const [address, {closeAt}] of this.links) {
      if (inUse.has(address) || !isPast(closeAt, now)) continue;
      this.closeLink(address);
      recordLostAddress(this.lost, address, true, now);
    }
  }

  private findPeerAt(address: string): Peer | undefined {
    for (const peer of this.peers.values()) {
      if (peer.peerAddress === address) return peer;
    }
    return undefined;
  }

  private makeHello(address: string): Hello {
    const known = this.listStaying().map(({peerAddress}) => peerAddress);
    const isUnheard = this.findPeerAt(address)?.isReachable === false;
    return {kind: PeerMessageKind.Hello, ...this.own, known, isUnheard};
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
      if (peer === undefined) return;
      if (this.inbound.remove(socket, peer.vm)) this.handleClosed(peer);
    });
    socket.on('data', chunk => {
      this.inbound.recordRead(socket);
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
          this.inbound.release(socket);
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
        if (message.value.kind === PeerMessageKind.Hello) {
          this.inbound.recordGreeting(socket, peer.vm);
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
    const known = this.peers.get(peer.vm);
    // A paused VM removes its peers before it reads what they have sent.
    if (known === undefined) this.addPeer(peer);
    // Ignores a connection from an earlier run of the VM.
    else if (known !== peer) return peer;
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
        this.links.get(known.peerAddress)?.link.openNow();
        if (hello.isUnheard === true) {
          this.openLinkAgain(known, 'the peer hears nothing');
        }
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
      readsUnheard: hello.isUnheard !== undefined,
      reopening: createReopening(),
    };
    this.addPeer(peer);
    return peer;
  }

  private addPeer(peer: Peer): void {
    const {vm, peerAddress: address} = peer;
    this.peers.set(vm, peer);
    this.lost.delete(address);
    this.addAddress(address);
    this.writeEvent(GatewayEvent.PeerFound, {peer: vm, address});
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
