import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {FrameReader} from '@zinniaspindle/framing';
import {parseAddress} from '@zinniaspindle/shared';
import {reservePort} from '@zinniaspindle/stand-ins';
import {stopSocket} from '../../../platform/stand_ins/link_cuts.js';
import {LoadTracker} from '../src/fleet/load_tracker.js';
import {
  PeerMessageKind,
  PeerPhase,
  type Heartbeat,
  type Hello,
} from '../src/peers/messages.js';
import {PeerMesh} from '../src/peers/peer_mesh.js';

const tickMilliseconds = 40;
const ticksPerHeartbeat = 6;

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

const heartbeat: Heartbeat = {
  ...{kind: PeerMessageKind.Heartbeat, phase: PeerPhase.Ready, sentAt: 0},
  ...{isOwner: false, canRead: true, storeEra: undefined},
  ...{topics: [], loads: [], quarantines: []},
};

interface Vm {
  readonly name: string;
  readonly address: string;
  readonly mesh: PeerMesh;
  /** Whether its process stands still. */
  isFrozen: boolean;
  phase: PeerPhase;
}

/** A connection that this process opened. */
interface OpenSocket {
  readonly socket: net.Socket;
  readonly from: string;
  readonly to: string;
}

/** Meshes on loopback, whose clock a test may put forward. */
export class MeshFleet {
  readonly vms: Vm[] = [];
  /** Tells whether new connections of a VM to another one are silent. */
  isCut: (from: string, to: string) => boolean = () => false;
  /** Milliseconds by which the clock has been put forward. */
  private skew = 0;
  private ticks = 0;
  private readonly open = new Set<OpenSocket>();
  private readonly opened = new Map<string, number>();
  private readonly originalConnect = net.Socket.prototype.connect as Connect;
  private readonly timer = setInterval(() => {
    this.ticks += 1;
    this.runTick(this.ticks % ticksPerHeartbeat === 0);
  }, tickMilliseconds);

  constructor() {
    const openSocket = (socket: net.Socket, args: readonly unknown[]) =>
      this.openSocket(socket, args);
    net.Socket.prototype.connect = function (
      this: net.Socket,
      ...args: unknown[]
    ) {
      return openSocket(this, args);
    } as typeof net.Socket.prototype.connect;
  }

  getNow = (): number => performance.now() + this.skew;

  /** Adds a VM; by default its seed is the first one. */
  async addVm(seeds = this.listFirst()): Promise<Vm> {
    return this.addVmAt(`127.0.0.1:${await reservePort()}`, seeds);
  }

  /** Adds a VM that listens on an address. */
  async addVmAt(address: string, seeds: readonly string[]): Promise<Vm> {
    const name = `vm-${this.vms.length}`;
    const mesh = new PeerMesh(
      {
        ...{vm: name, startedAt: 1, peerAddress: address, linkMegabits: 1},
        callerAddress: '127.0.0.1:1',
      },
      new LoadTracker(),
      () => undefined,
      () => undefined,
      this.getNow,
    );
    const phase = PeerPhase.Ready;
    const vm = {name, address, mesh, isFrozen: false, phase};
    this.vms.push(vm);
    await mesh.open(parseAddress(address), seeds);
    return vm;
  }

  /** Puts the clock forward in steps in which the VMs work. */
  async runFor(milliseconds: number): Promise<void> {
    const stepMilliseconds = 500;
    for (let past = 0; past < milliseconds; past += stepMilliseconds) {
      this.skew += stepMilliseconds;
      this.runTick(true);
      // Messages arrive in real time.
      await waitMilliseconds(5);
    }
  }

  /** Lets open connections go silent for good, while new ones work. */
  injectSilence(isChosen: (from: string, to: string) => boolean): number {
    let silent = 0;
    for (const {socket, from, to} of this.open) {
      if (!isChosen(from, to)) continue;
      stopSocket(socket);
      silent += 1;
    }
    return silent;
  }

  /** Counts the connections that were opened to an address. */
  countOpened(address: string): number {
    return this.opened.get(address) ?? 0;
  }

  /** Lists the VMs that a VM counts as live. */
  listLive(vm: Vm): string[] {
    return vm.mesh
      .listLive()
      .map(one => one.vm)
      .sort();
  }

  /** Counts the pairs of VMs of which the first counts the second as live. */
  countLive(): number {
    let count = 0;
    for (const vm of this.vms) count += vm.mesh.countLive();
    return count;
  }

  /** Waits until all VMs count one another as live; returns whether they do. */
  async waitForAll(milliseconds: number): Promise<boolean> {
    const all = this.vms.length * (this.vms.length - 1);
    const until = performance.now() + milliseconds;
    while (this.countLive() < all) {
      if (performance.now() > until) return false;
      await waitMilliseconds(tickMilliseconds);
    }
    return true;
  }

  close(): void {
    clearInterval(this.timer);
    for (const {mesh} of this.vms) mesh.close();
    const connect = this.originalConnect;
    net.Socket.prototype.connect =
      connect as typeof net.Socket.prototype.connect;
  }

  private listFirst(): readonly string[] {
    return this.vms.slice(0, 1).map(({address}) => address);
  }

  private runTick(sendsHeartbeats: boolean): void {
    for (const {mesh, isFrozen, phase} of this.vms) {
      if (isFrozen) continue;
      mesh.checkSilence();
      if (sendsHeartbeats) mesh.sendAll({...heartbeat, phase});
    }
  }

  private openSocket(socket: net.Socket, args: readonly unknown[]): net.Socket {
    const [options] = (Array.isArray(args[0]) ? args[0] : args) as unknown[];
    const {host, port} = options as {host?: string; port?: number};
    const to = `${host}:${port}`;
    this.opened.set(to, this.countOpened(to) + 1);
    const vm = this.vms.find(({address}) => address === to);
    this.originalConnect.apply(socket, [...args]);
    // Afterwards, since connecting takes back what is set for writing.
    if (vm !== undefined) this.recordGreeting(socket, vm.name);
    return socket;
  }

  /** Learns from the first message on a connection which VM has opened it. */
  private recordGreeting(socket: net.Socket, to: string): void {
    const {write} = socket;
    socket.write = (frame: Buffer) => {
      socket.write = write;
      const [greeting] = new FrameReader().accept(frame).unwrapOr([]);
      const {vm: from} = greeting as Hello;
      const one = {socket, from, to};
      this.open.add(one);
      socket.once('close', () => this.open.delete(one));
      if (this.isCut(from, to)) stopSocket(socket);
      return socket.write(frame);
    };
  }
}
