import type {
  AccountObject,
  DataCentreId,
  EndpointId,
  EndpointObject,
  Instant,
  LinkObject,
  LoadReport,
  Random,
  RequestId,
  StageTarget,
  VmId,
} from '@zinniaspindle/shared';
import {
  AdmissionCommandKind,
  AdmissionEventKind,
  applyDigestUses,
  applyLoadReport,
  chooseChain,
  computeChainSilentAt,
  createAdmissionState,
  createFleetView,
  createStageHealth,
  FailureCertainty,
  findSilentStages,
  listDemands,
  listFailingStages,
  listOwnUses,
  makeAdmissionTools,
  makeDecideAdmission,
  makeReadCapacity,
  recordChainGap,
  recordChainToken,
  recordEnd,
  recordFirstToken,
  recordPrefixes,
  recordStageLost,
  recordStageSent,
  recordStageWorking,
  recordStart,
  setFleetObjects,
  type AdmissionCommand,
  type AdmissionEvent,
  type AdmissionPolicy,
  type AdmissionState,
  type AdmissionTools,
  type ChainPlan,
  type ChainPolicy,
  type FleetView,
  type VmDigest,
} from '@zinniaspindle/decisions';
import type {VirtualClock} from '../virtual/virtual_clock.js';
import type {EngineAttempt, EngineModel} from './engine_model.js';
import {
  addCount,
  Ending,
  recordMilliseconds,
  windowMilliseconds,
  type Measures,
} from './measures.js';
import {loadModels} from './fleet.js';
import {createServed, type Served} from './served_request.js';
import {prefillTokensPerToken, type LoadRequest} from './workload.js';

/** What one entry VM of a load run is made of. */
export interface EntryOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly clock: VirtualClock;
  readonly engines: EngineModel;
  readonly measures: Measures;
  readonly random: Random;
  readonly chainPolicy: ChainPolicy;
  readonly recordUse: (endpoint: EndpointId) => void;
  readonly admissionPolicy: AdmissionPolicy;
  readonly endpoints: readonly EndpointObject[];
  readonly links: readonly LinkObject[];
  readonly accounts: readonly AccountObject[];
}

const entryDelayMilliseconds = 0.25;
const boundOptions = {tokenGapMilliseconds: 27, prefillTokensPerToken};
const tokenGapMilliseconds = 27;
const firstTokenMilliseconds = 1800;

/** One entry VM: its own view, its own decisions, in virtual time. */
export class EntryModel {
  readonly view: FleetView;
  isAlive = true;
  private readonly admission: AdmissionState = createAdmissionState();
  private readonly decide: ReturnType<typeof makeDecideAdmission>;
  private readonly served = new Map<RequestId, Served>();
  private readonly health = createStageHealth();

  constructor(private readonly options: EntryOptions) {
    this.view = createFleetView(options.dataCentre);
    setFleetObjects(this.view, options.endpoints, options.links);

    this.decide = makeDecideAdmission(this.makeTools());
    const {accounts} = options;
    this.handle({kind: AdmissionEventKind.AccountsSet, accounts});
  }

  /** Takes a caller's request. */
  accept(request: LoadRequest): void {
    const {measures, dataCentre} = this.options;
    if (measures.isCounted(request.sendAt)) {
      addCount(measures.offered, request.account, request.tokens);
    }
    this.served.set(request.id, createServed(request));
    const query = {
      model: request.model.name,
      layerCount: request.model.layerCount,
      isAllowed: () => true,
      promptTokens: request.promptTokens,
      prefixes: request.prefixes,
      tokensLeft: request.tokens,
      deadline: request.deadline,
      targetGapMilliseconds: tokenGapMilliseconds,
      excluded: new Set<EndpointId>(),
      dataCentre,
      keep: [],
    };
    const {id, account} = request;
    const work = {request: id, account, priority: 0, bytes: 4000, query};
    this.handle({kind: AdmissionEventKind.Arrived, work});
  }

  /** Lets the queues and deadlines move on. */
  runTick(): void {
    this.handle({kind: AdmissionEventKind.Tick});
  }

  /** Looks for streams that have gone silent. */
  checkSilence(): void {
    const {now} = this.options.clock;
    for (const served of [...this.served.values()]) {
      if (served.attempt === undefined || served.plan === undefined) continue;
      const stages = served.plan.stages.map(stage => stage.endpoint);
      const {lastTokenAt, attemptHasToken} = served;
      const at = computeChainSilentAt(
        this.health,
        stages,
        lastTokenAt,
        attemptHasToken,
      );
      if (now < at) continue;
      const silent = findSilentStages(this.health, stages, lastTokenAt);
      this.resumeElsewhere(served, silent, FailureCertainty.Suspected);
    }
  }

  /** Takes the engines' load reports. */
  applyReports(reports: readonly LoadReport[]): void {
    for (const report of reports) applyLoadReport(this.view, report);
  }

  /** Takes a peer's digest. */
  applyDigest(digest: VmDigest): void {
    applyDigestUses(this.view, digest);
    this.handle({kind: AdmissionEventKind.DigestReceived, digest});
  }

  /** Takes the news that a peer is dead. */
  removePeer(vm: VmId): void {
    this.handle({kind: AdmissionEventKind.PeerLost, vm});
  }

  /** Tells the peers about this VM. */
  makeDigest(): VmDigest {
    const {vm, clock} = this.options;
    return {
      vm,
      time: clock.now,
      ready: true,
      leaving: false,
      load: 0,
      nextOffset: 0,
      demands: listDemands(this.admission.limits, clock.now),
      uses: listOwnUses(this.view),
      leavingEndpoints: [],
      failingEndpoints: listFailingStages(this.health, clock.now),
    };
  }

  /** Stops the VM: its streams end and its callers' answers are lost. */
  stop(): void {
    this.isAlive = false;
    for (const served of [...this.served.values()]) {
      if (served.attempt !== undefined) {
        this.options.engines.cancelAttempt(served.attempt);
      }
      this.close(served, Ending.Lost);
    }
  }

  private makeTools(): AdmissionTools {
    const {random, chainPolicy, admissionPolicy} = this.options;
    return makeAdmissionTools({
      planChain: (query, now) =>
        chooseChain(this.view, query, now, random, chainPolicy),
      readCapacity: makeReadCapacity(this.view, () => loadModels, boundOptions),
      policy: admissionPolicy,
    });
  }

  private handle(event: AdmissionEvent): void {
    const {clock, random, measures} = this.options;
    measures.decisions += 1;
    const step = this.decide(this.admission, event, clock.now, random);
    if (step.isErr) throw step.error;
    for (const command of step.value.commands) this.apply(command);
  }

  private apply(command: AdmissionCommand): void {
    const served = this.served.get(command.request);
    if (served === undefined) return;
    switch (command.kind) {
      case AdmissionCommandKind.Start:
        this.start(served, command.plan, command.isRetry);
        return;
      case AdmissionCommandKind.Refuse:
        this.refuse(served, command.reason);
        return;
      case AdmissionCommandKind.Cancel:
        this.stopAttempt(served);
        this.close(served, Ending.Cancelled);
    }
  }

  private refuse(served: Served, reason: string): void {
    const {measures, clock} = this.options;
    this.stopAttempt(served);
    if (measures.isCounted(served.request.sendAt)) {
      addCount(measures.refusals, reason);
      const delay = clock.now - served.request.sendAt;
      recordMilliseconds(measures.refusalDelays, delay);
    }
    this.close(served, Ending.Refused);
  }

  private start(served: Served, plan: ChainPlan, isRetry: boolean): void {
    const {measures, clock} = this.options;
    if (isRetry) measures.retries += 1;
    else measures.fresh += 1;
    const before = served.plan?.stages ?? [];
    served.plan = plan;
    served.work = plan.stageLoads;
    served.attemptHasToken = false;
    served.lastTokenAt = Math.max(plan.firstTokenAt, clock.now);
    recordStart(this.view, plan.stageLoads, clock.now);
    const hashes = served.request.prefixes.map(prefix => prefix.hash);
    for (const {endpoint} of plan.stages) {
      recordPrefixes(this.view, endpoint, hashes, clock.now);
      this.options.recordUse(endpoint);
      recordStageSent(this.health, this.view, endpoint, clock.now);
    }
    const attempt = this.makeAttempt(served, plan, before, isRetry);
    served.attempt = attempt;
    clock.runAfter(entryDelayMilliseconds, () =>
      this.options.engines.runAttempt(attempt),
    );
  }

  private makeAttempt(
    served: Served,
    plan: ChainPlan,
    before: readonly StageTarget[],
    isRetry: boolean,
  ): EngineAttempt {
    const {request} = served;
    const chain = plan.stages.map(stage => stage.endpoint);
    const kept = new Set<EndpointId>();
    if (isRetry) {
      for (const {endpoint} of before) {
        if (chain.includes(endpoint)) kept.add(endpoint);
      }
    }
    const attempt: EngineAttempt = {
      chain,
      kept,
      promptTokens: request.promptTokens + served.tokensGiven,
      prefixes: request.prefixes,
      tokensLeft: request.tokens - served.tokensGiven,
      isOver: false,
      held: [],
      onToken: () => this.takeToken(served, attempt),
      onEnd: () => this.closeAttempt(served, attempt),
      onBroken: endpoint => this.takeBroken(served, attempt, endpoint),
    };
    return attempt;
  }

  private takeToken(served: Served, attempt: EngineAttempt): void {
    if (served.attempt !== attempt) return;
    const {measures, clock} = this.options;
    const {now} = clock;
    if (!served.attemptHasToken) this.recordFirst(served);
    else this.recordTokenGap(served, attempt, now);
    if (served.tokensGiven === 0) served.firstTokenAt = now;
    served.tokensGiven += 1;
    served.lastTokenAt = now;
    recordChainToken(this.health, attempt.chain, now);
    const window = Math.floor(now / windowMilliseconds);
    addCount(served.windows, window);
    this.admission.running.get(served.request.id)!.tokensDelivered += 1;
    measures.decisions += 1;
  }

  private recordFirst(served: Served): void {
    served.attemptHasToken = true;
    recordFirstToken(this.view, served.work);
    for (const stage of served.work) {
      recordStageWorking(this.health, this.view, stage.endpoint);
    }
  }

  private recordTokenGap(
    served: Served,
    attempt: EngineAttempt,
    now: Instant,
  ): void {
    const gap = now - served.lastTokenAt;
    const {measures} = this.options;
    if (measures.isCounted(served.request.sendAt)) {
      recordMilliseconds(measures.tokenGaps, gap);
    }
    recordChainGap(this.health, attempt.chain, gap);
  }

  private closeAttempt(served: Served, attempt: EngineAttempt): void {
    if (served.attempt !== attempt) return;
    const {clock} = this.options;
    recordEnd(this.view, served.work, true, clock.now);
    served.attempt = undefined;
    const answeredAt = clock.now + entryDelayMilliseconds;
    const isOnTime = answeredAt <= served.request.deadline;
    this.close(served, isOnTime ? Ending.OnTime : Ending.Late);
    const request = served.request.id;
    this.handle({kind: AdmissionEventKind.Finished, request});
  }

  private takeBroken(
    served: Served,
    attempt: EngineAttempt,
    endpoint: EndpointId,
  ): void {
    this.options.clock.runAfter(entryDelayMilliseconds, () => {
      if (served.attempt !== attempt || !this.isAlive) return;
      this.resumeElsewhere(served, [endpoint], FailureCertainty.Certain);
    });
  }

  private resumeElsewhere(
    served: Served,
    lost: readonly EndpointId[],
    certainty: FailureCertainty,
  ): void {
    const {clock, random} = this.options;
    for (const endpoint of lost) {
      recordStageLost(
        this.health,
        this.view,
        endpoint,
        certainty,
        clock.now,
        random,
      );
    }
    const excluded = new Set(lost);
    const stages = served.plan?.stages ?? [];
    const keep = stages.filter(stage => !excluded.has(stage.endpoint));
    this.stopAttempt(served);
    const request = served.request.id;
    this.handle({kind: AdmissionEventKind.ChainLost, request, excluded, keep});
  }

  private stopAttempt(served: Served): void {
    if (served.attempt === undefined) return;
    const {engines, clock} = this.options;
    engines.cancelAttempt(served.attempt);
    served.attempt = undefined;
    const hadFirst = served.attemptHasToken;
    recordEnd(this.view, served.work, hadFirst, clock.now);
  }

  private close(served: Served, ending: Ending): void {
    const {measures} = this.options;
    const {request} = served;
    this.served.delete(request.id);
    if (ending === Ending.OnTime) measures.addWindows(served.windows);
    if (!measures.isCounted(request.sendAt)) return;
    addCount(measures.endings, ending);
    if (ending === Ending.OnTime) {
      addCount(measures.good, request.account, request.tokens);
    }
    if (served.plan !== undefined) this.recordAdmitted(served);
  }

  private recordAdmitted(served: Served): void {
    const {measures} = this.options;
    measures.admitted += 1;
    if (served.tokensGiven === 0) return;
    const first = served.firstTokenAt - served.request.sendAt;
    recordMilliseconds(measures.firstTokens, first);
    const further = Math.max(1, served.tokensGiven - 1);
    const gap = (served.lastTokenAt - served.firstTokenAt) / further;
    recordMilliseconds(measures.requestGaps, gap);
    const isQuick = first <= firstTokenMilliseconds;
    if (isQuick && gap <= tokenGapMilliseconds) measures.metBoth += 1;
  }
}
