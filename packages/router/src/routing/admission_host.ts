import {
  AdmissionCommandKind,
  AdmissionEventKind,
  CancelReason,
  createAdmissionState,
  defaultAdmissionOptions,
  listDemands,
  makeAdmissionTools,
  makeDecideAdmission,
  makeReadCapacity,
  pickAdmissionPolicy,
} from '@zinniaspindle/decisions';
import type {
  AccountDemand,
  AdmissionCommand,
  AdmissionEvent,
  AdmissionState,
  AskChain,
  ChainPlan,
  ModelShape,
  Objective,
  RefusalReason,
  VmDigest,
  WorkItem,
} from '@zinniaspindle/decisions';
import type {
  AccountObject,
  Instant,
  RequestId,
  VmId,
} from '@zinniaspindle/shared';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';
import {tokenGapMilliseconds} from './fleet_host.js';
import type {FleetHost} from './fleet_host.js';

/** Prompt tokens that are prefilled for each token generated, on average. */
const prefillTokensPerToken = 1;

/** What admission needs from the rest of the VM. */
export interface AdmissionPorts extends LoopPorts {
  readonly fleet: FleetHost;
  readonly objective: Objective;
  readonly maxRunning: number;
  readonly listModels: () => Iterable<ModelShape>;
  readonly startWork: (request: RequestId, plan: ChainPlan) => void;
  readonly refuseWork: (
    request: RequestId,
    reason: RefusalReason,
    retryAt: Instant,
  ) => void;
  readonly cancelWork: (request: RequestId, reason: CancelReason) => void;
}

/** Hosts admission: which requests start, wait or are refused. */
export class AdmissionHost {
  private readonly machine: Machine<
    AdmissionState,
    AdmissionEvent,
    AdmissionCommand
  >;

  constructor(private readonly ports: AdmissionPorts) {
    const {loop, getNow, report, random, fleet} = ports;
    const decide = makeDecideAdmission(
      makeAdmissionTools({
        planChain: fleet.planChain,
        readCapacity: makeReadCapacity(fleet.view, ports.listModels, {
          tokenGapMilliseconds,
          prefillTokensPerToken,
        }),
        policy: pickAdmissionPolicy(ports.objective),
        options: {...defaultAdmissionOptions, maxRunning: ports.maxRunning},
      }),
    );
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createAdmissionState(),
      decide: (state, event, now) => decide(state, event, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** Tells whether a request waits or runs here. */
  has(request: RequestId): boolean {
    const {running, queued} = this.machine.state;
    return running.has(request) || queued.has(request);
  }

  /** Lists what callers of this VM ask for, by account. */
  listDemands(): AccountDemand[] {
    return listDemands(this.machine.state.limits, this.ports.getNow());
  }

  /** Applies the configured accounts. */
  setAccounts(accounts: readonly AccountObject[]): void {
    this.machine.send({kind: AdmissionEventKind.AccountsSet, accounts});
  }

  /** Takes a request; it is started or refused in time. */
  acceptWork(work: WorkItem): void {
    this.machine.send({kind: AdmissionEventKind.Arrived, work});
  }

  /** Takes a request that another VM ran. */
  addResumed(work: WorkItem): void {
    this.machine.send({kind: AdmissionEventKind.Resumed, work});
  }

  /** Asks for a chain in place of one that lost a stage. */
  resumeWork(request: RequestId, ask: AskChain): void {
    const excluded = new Set(ask.excluded);
    const kind = AdmissionEventKind.ChainLost;
    const {keep, canStay} = ask;
    this.machine.send({kind, request, excluded, keep, canStay});
  }

  /** Counts a token that was delivered. */
  recordToken(request: RequestId): void {
    const kind = AdmissionEventKind.TokenDelivered;
    this.machine.send({kind, request, tokens: 1});
  }

  /** Ends a request, whatever its outcome. */
  recordFinish(request: RequestId): void {
    this.machine.send({kind: AdmissionEventKind.Finished, request});
    if (!this.machine.state.queued.has(request)) return;
    this.machine.send({kind: AdmissionEventKind.CallerGone, request});
  }

  /** Hears what callers of a peer ask for. */
  acceptDigest(digest: VmDigest): void {
    this.machine.send({kind: AdmissionEventKind.DigestReceived, digest});
  }

  /** Forgets a peer. */
  removePeer(vm: VmId): void {
    this.machine.send({kind: AdmissionEventKind.PeerLost, vm});
  }

  /** Passes time. */
  runTick(): void {
    this.machine.send({kind: AdmissionEventKind.Tick});
  }

  private runCommand(command: AdmissionCommand): void {
    const {request} = command;
    switch (command.kind) {
      case AdmissionCommandKind.Start:
        return this.ports.startWork(request, command.plan);
      case AdmissionCommandKind.Refuse:
        return this.ports.refuseWork(request, command.reason, command.retryAt);
      case AdmissionCommandKind.Cancel:
        return this.ports.cancelWork(request, command.reason);
    }
  }
}
