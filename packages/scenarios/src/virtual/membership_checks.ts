import {isReachable, PeerState} from '@zinniaspindle/decisions';
import type {EndpointId, Instant, VmId} from '@zinniaspindle/shared';
import type {MembershipFleet} from './membership_host.js';
import type {MembershipVm} from './membership_vm.js';

/** How soon what must hold holds again after the last fault. */
export interface MembershipBounds {
  /** A VM that answers probes is held in use by every other. */
  readonly heldMilliseconds: number;
  /** A dead VM is held dead by every other. */
  readonly deathMilliseconds: number;
  /** No directory answer names a dead VM. */
  readonly deadListedMilliseconds: number;
  /** An endpoint that leaves is known to every reachable VM. */
  readonly noticeMilliseconds: number;
  /** No directory answer names a leaving VM. */
  readonly leavingListedMilliseconds: number;
}

/** The bounds of the default options at today's size. */
export const defaultMembershipBounds: MembershipBounds = {
  heldMilliseconds: 6000,
  deathMilliseconds: 8000,
  deadListedMilliseconds: 3500,
  noticeMilliseconds: 3000,
  leavingListedMilliseconds: 3500,
};

/** Checks what must always hold of membership, directory and planned stops. */
export class MembershipChecks {
  readonly violations: string[] = [];

  constructor(
    private readonly fleet: MembershipFleet,
    readonly bounds: MembershipBounds = defaultMembershipBounds,
  ) {}

  /** Checks what VMs hold of one another now. */
  checkViews(): void {
    const running = this.fleet.listRunning();
    for (const a of running) {
      if (!this.isCalm(a, this.bounds.heldMilliseconds)) continue;
      for (const b of running) {
        if (a === b) continue;
        if (!this.isCalm(b, this.bounds.heldMilliseconds)) continue;
        this.checkHeld(a, b);
      }
      this.checkDead(a);
    }
  }

  /** Checks that every reachable VM knows of a leaving endpoint. */
  checkEndpoint(endpoint: EndpointId, teller: MembershipVm): void {
    const calm = this.bounds.heldMilliseconds + this.bounds.noticeMilliseconds;
    if (!teller.running || !this.isCalm(teller, calm)) return;
    for (const vm of this.fleet.listRunning()) {
      if (!this.isCalm(vm, calm) || vm.leavingEndpoints.has(endpoint)) continue;
      const text = `${vm.identity.vm} does not know that ${endpoint} leaves`;
      this.report(this.fleet.clock.now, text);
    }
  }

  /** Checks every answer that callers were given so far. */
  checkAnswers(): void {
    const {answers, stops, killedAt} = this.fleet;
    for (const {at, by, entry, useUntil} of answers) {
      const killed = killedAt.get(entry.vm);
      if (killed !== undefined) {
        const bound = killed + this.bounds.deadListedMilliseconds;
        if (at > bound) this.report(at, `${by} lists dead ${entry.vm}`);
      }
      for (const stop of stops) {
        if (stop.vm !== entry.vm || at < stop.startedAt) continue;
        const run = this.fleet.vms.get(stop.vm)!.identity.startedAt;
        if (run !== stop.startedAt) continue;
        const bound = stop.leavingAt + this.bounds.leavingListedMilliseconds;
        if (at > bound) this.report(at, `${by} lists leaving ${entry.vm}`);
        if (at <= stop.endedAt && useUntil > stop.endedAt) {
          this.report(at, `${by} gave ${entry.vm} past its end`);
        }
      }
    }
    for (const {vm, endedAt, cut} of stops) {
      if (cut > 0) this.report(endedAt, `${vm} cut ${cut} requests`);
    }
  }

  private checkHeld(a: MembershipVm, b: MembershipVm): void {
    const peer = a.membership.peers.get(b.identity.vm);
    const sameRun = peer?.update.startedAt === b.identity.startedAt;
    if (peer !== undefined && sameRun && isReachable(peer.update.state)) return;
    const {now} = this.fleet.clock;
    // A suspicion may stand for a moment; it is refuted before it ends.
    if (sameRun && peer.update.state === PeerState.Suspect) return;
    const held = peer === undefined ? 'nothing' : peer.update.state;
    this.report(now, `${a.identity.vm} holds ${held} of ${b.identity.vm}`);
  }

  private checkDead(a: MembershipVm): void {
    const {now} = this.fleet.clock;
    for (const [vm, killed] of this.fleet.killedAt) {
      const since = Math.max(killed, this.getDisturbance(a.identity.vm));
      if (now < since + this.bounds.deathMilliseconds) continue;
      const state = a.getPeerState(vm);
      if (state === undefined || !isReachable(state)) continue;
      this.report(now, `${a.identity.vm} holds ${state} of dead ${vm}`);
    }
  }

  private isCalm(vm: MembershipVm, milliseconds: number): boolean {
    const {now} = this.fleet.clock;
    return now >= this.getDisturbance(vm.identity.vm) + milliseconds;
  }

  private getDisturbance(vm: VmId): Instant {
    return this.fleet.disturbedAt.get(vm) ?? 0;
  }

  private report(at: Instant, text: string): void {
    if (this.violations.length < 20) this.violations.push(`${at}: ${text}`);
  }
}
