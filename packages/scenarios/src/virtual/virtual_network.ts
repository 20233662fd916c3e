import type {Random, VmId} from '@zinniaspindle/shared';
import type {VirtualClock} from './virtual_clock.js';

/** How messages travel between VMs. */
export interface NetworkOptions {
  /** Share of messages that are lost, 0 to 1. */
  lossShare: number;
  readonly leastDelayMilliseconds: number;
  readonly mostDelayMilliseconds: number;
}

/** Links between VMs that delay, lose and cut messages. */
export class VirtualNetwork {
  private readonly cutLinks = new Set<string>();
  private readonly cutVms = new Set<VmId>();
  messages = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    readonly options: NetworkOptions,
  ) {}

  /** Delivers a message after a delay, unless it is lost. */
  send(from: VmId, to: VmId, deliver: () => void): void {
    this.messages += 1;
    if (!this.isOpen(from, to)) return;
    if (this.random() < this.options.lossShare) return;
    const {leastDelayMilliseconds, mostDelayMilliseconds} = this.options;
    const range = mostDelayMilliseconds - leastDelayMilliseconds;
    const delay = leastDelayMilliseconds + this.random() * range;
    this.clock.runAfter(delay, deliver);
  }

  /** Opens or cuts the link between two VMs, in both directions. */
  setLink(a: VmId, b: VmId, open: boolean): void {
    const key = formatLink(a, b);
    if (open) this.cutLinks.delete(key);
    else this.cutLinks.add(key);
  }

  /** Opens or cuts every link of a VM. */
  setVm(vm: VmId, open: boolean): void {
    if (open) this.cutVms.delete(vm);
    else this.cutVms.add(vm);
  }

  /** Tells whether messages between two VMs pass. */
  isOpen(a: VmId, b: VmId): boolean {
    if (this.cutVms.has(a) || this.cutVms.has(b)) return false;
    return !this.cutLinks.has(formatLink(a, b));
  }
}

function formatLink(a: VmId, b: VmId): string {
  return a < b ? `${a}~${b}` : `${b}~${a}`;
}
