/**
 * A fleet of VMs, each a journal and a configuration, on virtual time with a
 * log, a network and faults. Every run checks what must always hold.
 */
import {
  AppendFailure,
  JournalCommandKind,
  JournalEventKind,
  PublishAnswer,
} from '@zinniaspindle/decisions';
import {
  toId,
  type DataCentreId,
  type Instant,
  type Random,
  type VmId,
} from '@zinniaspindle/shared';
import {LogFault} from '@zinniaspindle/stand-ins';
import {FleetLedger, FleetViolation} from './config_fleet_ledger.js';
import {FleetLog} from './config_fleet_log.js';
import {FleetNetwork} from './config_fleet_network.js';
import {
  FleetFaultKind,
  type FleetFault,
  type FleetPlan,
  type FleetReport,
} from './config_fleet_plan.js';
import {FleetOperators, rootAccount} from './config_fleet_operators.js';
import {FleetVm, type FleetVmOutput} from './config_fleet_vm.js';
import {makeSeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';

const tickMilliseconds = 100;
const gossipMilliseconds = 1000;
const checkMilliseconds = 500;
/** The VM's own bound of 12 s, and what is on its way or between checks. */
const silentMilliseconds = 16_000;
/** Time after a silence in which a VM must not serve what it knew before. */
const returnMilliseconds = 3000;
const membershipLagMilliseconds = 2000;
const peerMilliseconds = 3;
const peerLossShare = 0.01;
/** Longest time that a state transfer is on its way. */
const transferMilliseconds = 1500;
/** Room after the last fault for the fleet to settle. */
const settleMilliseconds = 45_000;
const firstPublishAt = 500;

/** Runs one plan and reports every invariant that did not hold. */
export function runConfigFleet(plan: FleetPlan): FleetReport {
  return new ConfigFleet(plan).run();
}

class ConfigFleet {
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly network = new FleetNetwork();
  private readonly log: FleetLog;
  private readonly operators: FleetOperators;
  private readonly ledger = new FleetLedger(rootAccount);
  private readonly vms = new Map<VmId, FleetVm>();
  private readonly silentSince = new Map<FleetVm, number>();
  private readonly returnedAt = new Map<FleetVm, number>();
  private readonly traffic = {appends: 0, reads: 0, relays: 0, questions: 0};
  private nextVm = 0;

  constructor(private readonly plan: FleetPlan) {
    this.random = makeSeededRandom(plan.seed);
    this.operators = new FleetOperators(
      this.clock,
      this.random,
      this.ledger,
      pick => this.pickVm(pick),
    );
    const {retentionMilliseconds, appendsPerSecond} = plan;
    this.log = new FleetLog(
      {retentionMilliseconds, appendsPerSecond},
      this.clock,
      this.network,
      this.random,
    );
  }

  run(): FleetReport {
    const {plan, clock, ledger} = this;
    for (let index = 0; index < plan.vms; index += 1) this.startVm();
    this.runEvery(tickMilliseconds, () => this.runTicks());
    this.runEvery(gossipMilliseconds, () => this.runGossip());
    this.runEvery(checkMilliseconds, () => this.checkAll());
    clock.runAt(firstPublishAt, () => this.operators.publishRoot());
    for (const fault of plan.faults) {
      clock.runAt(fault.startsAt, () => this.startFault(fault));
    }
    for (const publish of plan.publishes) {
      clock.runAt(publish.at, () => this.operators.publishPlanned(publish));
    }
    const ends = [
      ...plan.faults.map(fault => fault.endsAt),
      ...plan.publishes.map(publish => publish.at),
    ];
    const end = Math.max(0, ...ends) + settleMilliseconds;
    const violation = this.runToEnd(end);
    return {
      violation,
      accepted: ledger.countFirst(PublishAnswer.Accepted),
      refused: ledger.countFirst(PublishAnswer.Refused),
      notAccepted: ledger.countFirst(PublishAnswer.NotAccepted),
      unknown: ledger.countFirst(PublishAnswer.Unknown),
      records: this.log.everything.length,
      traffic: this.traffic,
      longestSpreadMilliseconds: ledger.longestSpread,
    };
  }

  private runToEnd(end: Instant): string | undefined {
    try {
      this.clock.runUntil(end);
      this.ledger.checkEnd([...this.vms.values()], this.log.everything, end);
      return undefined;
    } catch (error) {
      if (error instanceof FleetViolation) return error.message;
      throw error;
    }
  }

  private runEvery(milliseconds: number, call: () => void): void {
    this.clock.runAfter(milliseconds, () => {
      call();
      this.runEvery(milliseconds, call);
    });
  }

  private startVm(): void {
    const index = this.nextVm;
    this.nextVm += 1;
    const vm = new FleetVm(
      {
        vm: toId<VmId>(`vm${index}`),
        dataCentre: toId<DataCentreId>(`dc${index % this.plan.dataCentres}`),
        bootstrapOperator: rootAccount,
        retentionMilliseconds: this.plan.retentionMilliseconds,
        guards: this.plan.guards ?? {},
      },
      this.clock,
      this.random,
      this.makeOutput(),
    );
    this.vms.set(vm.vm, vm);
    this.updateMembership();
  }

  private makeOutput(): FleetVmOutput {
    return {
      sendAppend: (vm, append, texts) => {
        this.traffic.appends += 1;
        const failed = JournalEventKind.AppendFailed;
        const answered = JournalEventKind.AppendAnswered;
        this.log.append(vm.vm, texts, {
          handleOffset: firstOffset => {
            vm.run(() => {
              vm.handleJournal({kind: answered, append, firstOffset});
            });
          },
          handleFailure: (failure: AppendFailure) => {
            vm.run(() => vm.handleJournal({kind: failed, append, failure}));
          },
        });
      },
      sendRead: (vm, command) => {
        this.traffic.reads += 1;
        const {read, from, max, waitMilliseconds} = command;
        const answered = JournalEventKind.ReadAnswered;
        const failed = JournalEventKind.ReadFailed;
        this.log.read(vm.vm, from, max, waitMilliseconds, {
          handleRecords: response => {
            vm.run(() => vm.handleJournal({kind: answered, read, response}));
          },
          handleFailure: detail => {
            vm.run(() => vm.handleJournal({kind: failed, read, detail}));
          },
        });
      },
      sendRelay: (vm, to, relay) => {
        this.traffic.relays += 1;
        this.ledger.recordRelay(vm);
        this.sendToPeer(vm, to, peer => {
          peer.handleJournal({kind: JournalEventKind.Relayed, relay});
        });
      },
      sendQuestion: (vm, to, from) => {
        this.traffic.questions += 1;
        this.sendToPeer(vm, to, peer => {
          const kind = JournalEventKind.PeerAsked;
          peer.handleJournal({kind, peer: vm.vm, from});
        });
      },
      sendStateRequest: (vm, to) => this.sendStateRequest(vm, to),
      answerOperator: (_vm, report) => this.operators.acceptAnswer(report),
      recordDelivery: (vm, command) => {
        if (command.kind !== JournalCommandKind.Deliver) return;
        this.ledger.recordDelivery(vm, command.record);
      },
    };
  }

  private sendToPeer(
    from: FleetVm,
    to: VmId,
    handle: (peer: FleetVm) => void,
  ): void {
    const peer = this.vms.get(to);
    if (peer === undefined || this.random() < peerLossShare) return;
    this.clock.runAfter(1 + this.random() * peerMilliseconds, () => {
      if (!this.network.canReach(from.vm, to)) return;
      peer.run(() => {
        peer.handlePeer();
        handle(peer);
      });
    });
  }

  private sendStateRequest(vm: FleetVm, to: VmId): void {
    this.sendToPeer(vm, to, asked => {
      const transfer = asked.makeTransfer();
      if (transfer === undefined) return;
      this.clock.runAfter(this.random() * transferMilliseconds, () => {
        this.sendToPeer(asked, vm.vm, asker => asker.handleTransfer(transfer));
      });
    });
  }

  private runTicks(): void {
    for (const vm of this.vms.values()) {
      if (!vm.isPaused) vm.run(() => vm.handleTick());
    }
  }

  private runGossip(): void {
    for (const vm of this.vms.values()) {
      const peer = this.pickVm(Math.floor(this.random() * 1000));
      if (vm.isPaused || peer === undefined || peer === vm) continue;
      this.sendToPeer(vm, peer.vm, () => undefined);
    }
  }

  /** Membership follows kills, cuts and pauses after a lag. */
  private updateMembership(): void {
    this.clock.runAfter(membershipLagMilliseconds, () => {
      for (const vm of this.vms.values()) {
        const peers = [...this.vms.values()]
          .filter(peer => !peer.isPaused)
          .filter(peer => this.network.canReach(vm.vm, peer.vm))
          .map(peer => ({vm: peer.vm, dataCentre: peer.options.dataCentre}));
        vm.run(() => vm.handlePeers(peers));
      }
    });
  }

  private startFault(fault: FleetFault): void {
    const stop = this.openFault(fault);
    this.updateMembership();
    if (stop === undefined) return;
    this.clock.runAt(fault.endsAt, () => {
      stop();
      this.updateMembership();
      // Another cut may follow before the next check.
      this.checkAll();
    });
  }

  /** Starts a fault and returns what ends it; undefined if it can't be. */
  private openFault(fault: FleetFault): (() => void) | undefined {
    const {kind, pick} = fault;
    const vm = this.pickVm(pick);
    if (vm === undefined) return undefined;
    switch (kind) {
      case FleetFaultKind.CutFromLog:
        return this.network.dropLogLink(vm.vm);
      case FleetFaultKind.Isolate:
        if (!this.canLose(vm)) return undefined;
        return this.network.dropLinks(vm.vm);
      case FleetFaultKind.Kill:
        if (!this.canLose(vm)) return undefined;
        vm.isAlive = false;
        this.vms.delete(vm.vm);
        return () => this.startVm();
      case FleetFaultKind.KillAll:
        return this.stopAll();
      case FleetFaultKind.LogDelaysAppends:
        return this.log.addAppendDelay();
      case FleetFaultKind.LogDown:
        return this.log.addFault(LogFault.Down);
      case FleetFaultKind.LogLosesAnswers:
        return this.log.addFault(LogFault.LosesAnswers);
      case FleetFaultKind.LogSlow:
        return this.log.addSlowness();
      case FleetFaultKind.Partition:
        return this.network.dropBetween(
          name => ((pick >> (Number(name.slice(2)) % 8)) & 1) === 1,
        );
      case FleetFaultKind.Pause:
        if (!this.canLose(vm)) return undefined;
        vm.stopUntil(fault.endsAt);
        return () => undefined;
    }
  }

  /** Kills every VM and returns what starts as many others. */
  private stopAll(): () => void {
    const count = this.vms.size;
    for (const vm of this.vms.values()) vm.isAlive = false;
    this.vms.clear();
    return () => {
      for (let index = 0; index < count; index += 1) this.startVm();
    };
  }

  /** Tells whether enough VMs that know the state act without this one. */
  private canLose(vm: FleetVm): boolean {
    const others = this.listOthers(vm).filter(
      other =>
        other.isReady &&
        !other.isPaused &&
        this.listOthers(other).some(peer =>
          this.network.canReach(other.vm, peer.vm),
        ),
    );
    return others.length >= 2;
  }

  private checkAll(): void {
    const {now} = this.clock;
    for (const vm of this.vms.values()) {
      const canAct = vm.isAlive && !vm.isPaused;
      const isWell =
        canAct && this.log.canRead() && this.network.canReachLog(vm.vm);
      this.ledger.checkVm(vm, isWell, now);
      this.checkSilence(vm, canAct);
    }
    this.ledger.dropSpread([...this.vms.values()]);
  }

  private checkSilence(vm: FleetVm, canAct: boolean): void {
    const {now} = this.clock;
    const hearsPeer = this.listOthers(vm).some(
      peer => !peer.isPaused && this.network.canReach(vm.vm, peer.vm),
    );
    const hearsLog = this.log.canRead() && this.network.canReachLog(vm.vm);
    const hears = canAct && (hearsPeer || hearsLog);
    const since = this.silentSince.get(vm) ?? now;
    if (hears && now - since > silentMilliseconds) {
      this.returnedAt.set(vm, now);
    }
    this.silentSince.set(vm, hears ? now : since);
    if (!hears && canAct && now - since > silentMilliseconds) {
      this.ledger.checkSilent(vm, now);
    }
    const returnedAt = this.returnedAt.get(vm) ?? -Infinity;
    if (canAct && now - returnedAt <= returnMilliseconds) {
      this.ledger.checkReturn(vm, now);
    }
  }

  private listOthers(vm: FleetVm): FleetVm[] {
    return [...this.vms.values()].filter(peer => peer !== vm);
  }

  private pickVm(pick: number): FleetVm | undefined {
    const vms = [...this.vms.values()];
    return vms[pick % Math.max(1, vms.length)];
  }
}
