import {
  CancelReason,
  createResumedState,
  findPipeline,
  listObjects,
  listPipelineEndpoints,
  RequestEventKind,
} from '@zinniaspindle/decisions';
import type {
  AskChain,
  ChainPlan,
  ConfigurationState,
  FinishRequest,
  CallerPrefix,
  ModelShape,
  Objective,
  ReportEndpoint,
  RequestState,
  WorkItem,
} from '@zinniaspindle/decisions';
import {
  countTextTokens,
  EngineRefusal,
  ObjectKind,
} from '@zinniaspindle/shared';
import type {
  AccountObject,
  EndpointId,
  EndpointObject,
  PipelineObject,
  RequestId,
  StreamRequest,
  VmId,
} from '@zinniaspindle/shared';
import type {EngineClient} from '../endpoints/engine_client.js';
import {makeHopDriver} from '../endpoints/hop_driver.js';
import {makeStreamDriver} from '../endpoints/stream_driver.js';
import type {TokenDriver} from '../endpoints/token_driver.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Metric} from '../metrics/metrics.js';
import type {Metrics} from '../metrics/metrics.js';
import {AdmissionHost} from '../routing/admission_host.js';
import type {FleetHost} from '../routing/fleet_host.js';
import type {RecordHost} from './record_host.js';
import type {RequestRun} from './request_runner.js';
import {RequestTable} from './request_table.js';

/** Milliseconds within which peers must give a request's record. */
const resumeMilliseconds = 2_000;

/** Bytes of memory that a character of a prompt takes. */
const bytesPerCharacter = 2;

/** Milliseconds within which engines must take a cancellation. */
const cancelMilliseconds = 2_000;

/** What requests need from the rest of the VM. */
export interface RequestHostPorts extends LoopPorts {
  readonly engines: EngineClient;
  readonly fleet: FleetHost;
  readonly metrics: Metrics;
  readonly getConfiguration: () => ConfigurationState;
  readonly reconnectMilliseconds: number;
  readonly vm: VmId;
  readonly records: RecordHost;
  readonly objective: Objective;
  readonly maxInFlight: number;
  /** Spreads the word that an endpoint refuses work since it leaves. */
  readonly reportLeaving: (endpoint: EndpointId) => void;
}

/** Gives requests their chains, drivers and endings. */
export class RequestHost {
  readonly table: RequestTable;
  readonly admission: AdmissionHost;
  private readonly selectedNames = new WeakMap<
    readonly EndpointObject[],
    ReadonlySet<EndpointId>
  >();
  private readonly runHops: TokenDriver;
  private readonly runStream: TokenDriver;

  constructor(private readonly ports: RequestHostPorts) {
    const {engines, getNow} = ports;
    this.runHops = makeHopDriver(countTextTokens);
    this.runStream = makeStreamDriver();
    this.table = new RequestTable({
      ...ports,
      driver: (request, listener) =>
        this.isForwarding(request)
          ? this.runStream(request, listener)
          : this.runHops(request, listener),
      cancelChain: (request, attempt, chain) => {
        const deadline = getNow() + cancelMilliseconds;
        engines.cancelChain(request, attempt, chain, deadline);
      },
      askChain: (run, ask) => this.askChain(run, ask),
      saveRecord: state => this.writeRecord(state),
      reportEndpoint: report => this.recordFailure(report),
      recordToken: run => this.recordToken(run),
      recordFinish: (run, finish) => this.recordFinish(run, finish),
    });
    this.admission = new AdmissionHost({
      ...ports,
      maxRunning: ports.maxInFlight,
      listModels: () => listModels(ports.getConfiguration()),
      startWork: (request, plan) => this.startWork(request, plan),
      refuseWork: (request, reason, retryAt) => {
        const kind = RequestEventKind.ChainRefused;
        this.table.find(request)?.send({kind, reason, retryAt});
      },
      cancelWork: (request, reason) => this.cancelWork(request, reason),
    });
  }

  /** Takes over a request that another VM ran; undefined if none knows it. */
  async resumeRequest(
    id: RequestId,
    account: AccountObject,
    held: CallerPrefix | undefined,
  ): Promise<RequestRun | undefined> {
    const {records, getNow} = this.ports;
    const deadline = getNow() + resumeMilliseconds;
    const record = await records.resume(id, deadline);
    if (record === undefined) return undefined;
    const known = this.table.find(id);
    if (known !== undefined) return known;
    const {spec, chain, given} = record;
    if (spec.account !== account.name) return undefined;
    const attempt = record.attempt - 1;
    const prefix = held === undefined ? {} : {callerPrefix: held};
    const state = createResumedState(
      spec,
      {attempt, delivered: given, ...prefix},
      getNow(),
    );
    const run = this.table.add(state);
    if (chain.length === 0) {
      run.start();
      return run;
    }
    this.admission.addResumed(this.makeWork(state));
    this.ports.fleet.recordResumed(id, chain);
    run.resumeChain(chain);
    return run;
  }

  /** Passes time; lateness is what this VM's own loop was late by. */
  runTick(latenessMilliseconds: number): void {
    this.admission.runTick();
    for (const run of this.table.listInFlight()) {
      const {spec, attempt} = run.state;
      const endpoints = this.ports.fleet.findSilent(
        spec.id,
        latenessMilliseconds,
      );
      if (endpoints.length === 0) continue;
      run.send({kind: RequestEventKind.Silent, attempt, endpoints});
    }
  }

  /** Ends a request here that another VM owns now. */
  removeLost(id: RequestId, attempt: number): void {
    const kind = RequestEventKind.Superseded;
    this.table.find(id)?.send({kind, attempt});
  }

  /** Hands on every running request that its caller can resume elsewhere. */
  releaseAll(): void {
    for (const run of this.table.listInFlight()) {
      if (!run.canMove) continue;
      this.writeRecord(run.state, () => this.releaseRun(run));
    }
  }

  /** Answers every running request whose caller waits, since this VM ends. */
  answerAll(): void {
    for (const run of this.table.listInFlight()) {
      if (run.hasCaller) run.send({kind: RequestEventKind.StopReached});
    }
  }

  private releaseRun(run: RequestRun): void {
    run.release();
    this.table.remove(run.state.spec.id);
  }

  private writeRecord(state: RequestState, handleStored?: () => void): void {
    const {spec, attempt, chain, delivered: given} = state;
    const owner = this.ports.vm;
    const record = {spec, attempt, owner, chain, given: [...given]};
    this.ports.records.writeRecord(record, handleStored);
  }

  /** A chain forwards by itself only if each of its engines can. */
  private isForwarding(request: StreamRequest): boolean {
    const {endpoints} = this.ports.fleet.view;
    for (const {endpoint} of request.chain) {
      if (endpoints.get(endpoint)?.object.forwards !== true) return false;
    }
    return true;
  }

  private askChain(run: RequestRun, ask: AskChain): void {
    const {id} = run.state.spec;
    if (this.admission.has(id)) this.admission.resumeWork(id, ask);
    else this.admission.acceptWork(this.makeWork(run.state));
  }

  private makeWork(state: RequestState): WorkItem {
    const {id: request, account, priority, generation} = state.spec;
    const query = this.ports.fleet.buildQuery(state, this.makeAllowed(state));
    const bytes = generation.prompt.length * bytesPerCharacter;
    return {request, account, priority, query, bytes};
  }

  /** Makes the test of which endpoints a request's pipeline selects. */
  private makeAllowed(
    state: RequestState,
  ): (endpoint: EndpointObject) => boolean {
    const configuration = this.ports.getConfiguration();
    const pipeline = findPipeline(configuration, state.spec.pipeline);
    if (pipeline === undefined) return () => false;
    const names = this.listNames(
      listPipelineEndpoints(configuration, pipeline),
    );
    return ({name}) => names.has(name);
  }

  /** The selected list is the same object until the configuration changes. */
  private listNames(
    selected: readonly EndpointObject[],
  ): ReadonlySet<EndpointId> {
    const known = this.selectedNames.get(selected);
    if (known !== undefined) return known;
    const names = new Set(selected.map(({name}) => name));
    this.selectedNames.set(selected, names);
    return names;
  }

  private startWork(request: RequestId, plan: ChainPlan): void {
    const run = this.table.find(request);
    if (run === undefined) return;
    this.ports.fleet.recordPlan(run.state, plan);
    const kind = RequestEventKind.ChainAssigned;
    run.send({kind, chain: plan.stages});
  }

  private cancelWork(request: RequestId, reason: CancelReason): void {
    const run = this.table.find(request);
    switch (reason) {
      case CancelReason.CallerGone:
        run?.send({kind: RequestEventKind.CallerGone});
        return;
      case CancelReason.DeadlinePassed:
        run?.send({kind: RequestEventKind.DeadlineReached});
        return;
    }
  }

  private recordFailure(report: ReportEndpoint): void {
    const {endpoint, reason} = report;
    if (reason === EngineRefusal.Leaving) this.ports.reportLeaving(endpoint);
    else this.ports.fleet.recordFailure(report);
  }

  private recordToken(run: RequestRun): void {
    const {id} = run.state.spec;
    this.ports.fleet.recordToken(id);
    this.admission.recordToken(id);
    this.ports.metrics.count(Metric.TokensDelivered);
    const now = this.ports.getNow();
    run.recordTokenTime(now, milliseconds =>
      this.ports.metrics.record(
        run.state.delivered.length === 1 ? Metric.FirstToken : Metric.TokenGap,
        milliseconds,
      ),
    );
  }

  private recordFinish(run: RequestRun, finish: FinishRequest): void {
    const {id} = run.state.spec;
    this.ports.fleet.recordEnd(id);
    this.ports.records.release(id);
    this.admission.recordFinish(id);
    const tags = {answer: finish.answer};
    this.ports.metrics.count(Metric.RequestsAnswered, 1, tags);
    const {reconnectMilliseconds} = this.ports;
    const remove = () => this.table.remove(id);
    setTimeout(remove, reconnectMilliseconds).unref();
  }
}

/** Lists the models that pipelines use. */
function listModels(configuration: ConfigurationState): ModelShape[] {
  const shapes = new Map<string, ModelShape>();
  for (const {object} of listObjects(configuration, ObjectKind.Pipeline)) {
    const {model: name, layerCount} = object as PipelineObject;
    shapes.set(name, {name, layerCount});
  }
  return [...shapes.values()];
}
