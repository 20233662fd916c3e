import type {ActionRequest} from '@zinniaspindle/decisions';
import {toId, type ActionKey, type Instant} from '@zinniaspindle/shared';
import {LogFault, LogStore} from '@zinniaspindle/stand-ins';
import {ActionsVm, type ActionsWorld} from './actions_host.js';
import {ActionsLedger, type ActionsVerdict} from './actions_ledger.js';
import {
  ActionsStepKind,
  keyIntervalMilliseconds,
  scheduleMilliseconds,
  type ActionsSchedule,
  type ActionsStep,
} from './actions_schedule.js';
import {FakeService, ServiceFault} from './fake_service.js';
import {makeSeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';

const startOfRun: Instant = 1_700_000_000_000;
const retentionMilliseconds = 12_000;
const settleMilliseconds = 25_000;
const callMilliseconds = 1000;
/** Two ticks and the skew of a VM's clock. */
const answerSlackMilliseconds = 400;

type AskStep = Extract<ActionsStep, {kind: ActionsStepKind.Ask}>;

/** Runs a schedule in virtual time and compares all answers with the truth. */
export function runActionsSchedule(schedule: ActionsSchedule): ActionsVerdict {
  return new ActionsRun(schedule).run();
}

class ActionsRun {
  private readonly world: ActionsWorld;
  private readonly vms: ActionsVm[] = [];
  private readonly keysAsked = new Set<string>();
  private readonly askedAt: ActionsVm[] = [];
  private vmsStarted = 0;
  private nextRequest = 0;

  constructor(private readonly schedule: ActionsSchedule) {
    const clock = new VirtualClock(startOfRun);
    const random = makeSeededRandom(schedule.seed);
    this.world = {
      clock,
      random,
      log: new LogStore({retentionMilliseconds, appendsPerSecond: 300}),
      service: new FakeService(clock, random),
      ledger: new ActionsLedger(),
      retentionMilliseconds,
      maxAppendMilliseconds: 20,
      guardsOff: new Set(schedule.guardsOff),
      skipsWindow: schedule.skipsWindow ?? false,
      usesRealJournal: schedule.usesRealJournal ?? false,
    };
  }

  /** Plays all steps, lets the world recover and checks the ledger. */
  run(): ActionsVerdict {
    const {clock, ledger, service} = this.world;
    for (let i = 0; i < this.schedule.vmCount; i += 1) {
      this.vms.push(this.startVm());
    }
    for (const step of this.schedule.steps) {
      clock.runAt(startOfRun + step.at, () => this.applyStep(step));
    }
    clock.runAt(startOfRun + scheduleMilliseconds, () => this.dropFaults());
    clock.runUntil(startOfRun + scheduleMilliseconds + settleMilliseconds);
    return ledger.check(service.executions);
  }

  private applyStep(step: ActionsStep): void {
    const {clock, log, service} = this.world;
    switch (step.kind) {
      case ActionsStepKind.Ask:
        this.applyAsk(step);
        return;
      case ActionsStepKind.Cut: {
        const {vm} = this.vms[step.vm % this.vms.length]!;
        vm.dropLogUntil(clock.now + step.milliseconds);
        return;
      }
      case ActionsStepKind.Kill:
        this.swapVm(step.vm % this.vms.length);
        return;
      case ActionsStepKind.KillAll:
        for (const index of this.vms.keys()) this.swapVm(index);
        return;
      case ActionsStepKind.Leave:
        this.applyLeave(step.ask);
        return;
      case ActionsStepKind.Log:
        log.setFault(step.fault);
        return;
      case ActionsStepKind.LogDelay:
        this.world.maxAppendMilliseconds = step.maxMilliseconds;
        return;
      case ActionsStepKind.Pause:
        this.applyPause(step.vm, clock.now + step.milliseconds);
        return;
      case ActionsStepKind.Service:
        service.fault = step.fault;
        return;
    }
  }

  private applyAsk(step: AskStep): void {
    const {clock, ledger} = this.world;
    const vm = this.vms[step.vm % this.vms.length]!;
    const key = formatKey(step.key);
    const request: ActionRequest = {
      request: this.nextRequest,
      account: toId('lens'),
      key,
      service: toId('orders'),
      digest: `body${step.body}`,
      deadline: clock.now + step.waitMilliseconds,
      callMilliseconds,
      hasLookup: step.hasLookup,
      repeats: this.keysAsked.has(key),
    };
    this.nextRequest += 1;
    this.keysAsked.add(key);
    this.askedAt.push(vm);
    ledger.asked.set(request.request, {
      request,
      answerBy: Math.max(
        request.deadline + answerSlackMilliseconds,
        vm.vm.resumesAt + answerSlackMilliseconds,
      ),
      excused: false,
    });
    vm.accept(request);
  }

  private applyLeave(request: number): void {
    const vm = this.askedAt[request];
    const asked = this.world.ledger.asked.get(request);
    if (!vm || !asked || asked.answer) return;
    asked.excused = true;
    vm.cancel(request);
  }

  private applyPause(index: number, until: Instant): void {
    const vm = this.vms[index % this.vms.length]!;
    vm.vm.stopUntil(until);
    for (const [request, asked] of this.world.ledger.asked) {
      if (this.askedAt[request] !== vm || asked.answer) continue;
      const latest = until + answerSlackMilliseconds;
      asked.answerBy = Math.max(asked.answerBy, latest);
    }
  }

  private swapVm(index: number): void {
    const old = this.vms[index]!;
    old.vm.close();
    for (const [request, asked] of this.world.ledger.asked) {
      if (this.askedAt[request] === old && !asked.answer) asked.excused = true;
    }
    this.vms[index] = this.startVm();
  }

  private startVm(): ActionsVm {
    this.vmsStarted += 1;
    return new ActionsVm(this.world, `vm${this.vmsStarted}`);
  }

  private dropFaults(): void {
    this.world.log.setFault(LogFault.None);
    this.world.maxAppendMilliseconds = 20;
    this.world.service.fault = ServiceFault.None;
  }
}

/** Formats the UUIDv7 of a numbered key, made at its own time in the run. */
function formatKey(number: number): ActionKey {
  const madeAt = startOfRun + number * keyIntervalMilliseconds;
  const time = madeAt.toString(16).padStart(12, '0');
  const tail = number.toString(16).padStart(12, '0');
  return toId(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
}
