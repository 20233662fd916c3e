import net, {type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '@zinniaspindle/framing';
import type {Play, Vm} from './harness.js';

const lengthBytes = 4;

interface Hello {
  readonly kind: string;
  readonly peerAddress: string;
  readonly known: readonly string[];
}

interface Channel {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether its bytes are dropped, in both directions, for good. */
  isSilent: boolean;
}

/**
 * A proxy in front of the control address of a gateway. It names the addresses of
 * the proxies in greetings, so that all channels between gateways go through them.
 */
export class PeerProxy {
  /** The proxy of each control address. */
  private static readonly addresses = new Map<string, string>();
  private readonly channels = new Set<Channel>();
  /** Channels that were opened. */
  opened = 0;

  private constructor(
    readonly address: string,
    private readonly target: string,
  ) {}

  static async open(address: string, target: string): Promise<PeerProxy> {
    const proxy = new PeerProxy(address, target);
    const server = net.createServer({allowHalfOpen: true}, near =>
      proxy.accept(near),
    );
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    return proxy;
  }

  /** Tells the proxies of one another. */
  static setAddresses(proxies: readonly PeerProxy[]): void {
    for (const {address, target} of proxies) {
      PeerProxy.addresses.set(target, address);
    }
  }

  /** Lets the open channels go silent for good; gives their number. */
  silence(): number {
    for (const channel of this.channels) channel.isSilent = true;
    return this.channels.size;
  }

  private accept(near: Socket): void {
    const [host, port] = this.target.split(':');
    const far = net.connect({host, port: Number(port), allowHalfOpen: true});
    const channel = {near, far, isSilent: false};
    this.opened += 1;
    this.channels.add(channel);
    near.setNoDelay(true);
    far.setNoDelay(true);
    let head: Buffer | undefined = Buffer.alloc(0);
    near.on('data', (chunk: Buffer) => {
      if (channel.isSilent) return;
      if (head === undefined) return void far.write(chunk);
      head = Buffer.concat([head, chunk]);
      if (head.length < lengthBytes) return;
      const end = lengthBytes + head.readUInt32BE(0);
      if (head.length < end) return;
      far.write(this.translate(head.subarray(0, end)));
      if (head.length > end) far.write(head.subarray(end));
      head = undefined;
    });
    far.on('data', (chunk: Buffer) => {
      if (!channel.isSilent) near.write(chunk);
    });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      from.on('end', () => {
        if (!channel.isSilent) to.end();
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (!channel.isSilent) to.destroy();
        if (near.destroyed && far.destroyed) this.channels.delete(channel);
      });
    }
  }

  /** Puts the proxies into a greeting; other first messages stay as they are. */
  private translate(frame: Buffer): Buffer {
    const [message] = new FrameReader().accept(frame).unwrapOr([]);
    const hello = message as Hello | undefined;
    if (hello?.kind !== 'hello') return frame;
    const {peerAddress} = hello;
    return encodeFrame({
      ...hello,
      peerAddress: PeerProxy.addresses.get(peerAddress) ?? peerAddress,
      // A gateway knows itself by its own address.
      known: hello.known.filter(one => one !== this.address),
    });
  }
}

/**
 * Starts the VMs of a play with a proxy in front of each control address, and waits
 * until they are ready; gives the proxies.
 */
export async function startBehindProxies(
  play: Play,
  getStore: (vm: Vm) => string,
): Promise<PeerProxy[]> {
  const proxies: PeerProxy[] = [];
  for (const [index, vm] of play.vms.entries()) {
    const address = `${play.makeIp(101 + index)}:8229`;
    proxies.push(await PeerProxy.open(address, vm.controlAddress));
  }
  PeerProxy.setAddresses(proxies);
  const seeds = proxies.slice(0, 3).map(({address}) => address);
  for (const vm of play.vms) vm.start(getStore(vm), seeds);
  for (const vm of play.vms) await play.waitFor(() => vm.isReady());
  return proxies;
}
