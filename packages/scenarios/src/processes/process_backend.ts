import {createHash} from 'node:crypto';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {toId} from '@zinniaspindle/shared';
import {
  listDataCentres,
  operatorName,
  sendControl,
} from '@zinniaspindle/stand-ins';
import {v7 as makeUuidV7} from 'uuid';
import type {Observations, WorkObservation} from '../ledger/observations.js';
import {
  type ActStep,
  type FaultStep,
  type FleetStep,
  type PostStep,
  type PublishStep,
  type Scenario,
  type SignalStep,
  StepKind,
} from '../language/steps.js';
import type {ActiveStep, ScenarioBackend} from '../runner/run_scenario.js';
import {ActionCaller} from './action_caller.js';
import {Directory} from './directory.js';
import {fetchReply} from './entry_calls.js';
import {EntryFleet} from './entry_fleet.js';
import {makeNotReadyError, makeUnknownError} from './errors.js';
import {PublishCaller} from './publish_caller.js';
import {RequestCaller} from './request_caller.js';
import {StandInFleet} from './stand_in_fleet.js';

const askMilliseconds = 20_000;
const statusOk = 200;

const signals: Readonly<Record<SignalStep['kind'], NodeJS.Signals>> = {
  [StepKind.Kill]: 'SIGKILL',
  [StepKind.Pause]: 'SIGSTOP',
  [StepKind.Resume]: 'SIGCONT',
};

/** Runs scenarios on entry VMs and stand-ins as processes. */
export function makeProcessBackend(scenario: Scenario): ScenarioBackend {
  const run = new ProcessRun(listSignalled(scenario));
  return {
    startFleet: step => run.startFleet(step),
    getElapsed: () => run.getElapsed(),
    waitUntil: elapsed => run.waitUntil(elapsed),
    runStep: step => run.runStep(step),
    observe: () => run.describe(),
    stop: () => run.stop(),
  };
}

/** Lists the names of processes that the scenario sends signals to. */
function listSignalled(scenario: Scenario): Set<string> {
  const names = new Set<string>();
  for (const {step} of scenario.steps) {
    switch (step.kind) {
      case StepKind.Kill:
      case StepKind.Pause:
      case StepKind.Resume:
        names.add(step.name);
        break;
      default:
    }
  }
  return names;
}

class ProcessRun {
  private standIns!: StandInFleet;
  private entries!: EntryFleet;
  private step!: FleetStep;
  private startedAt = 0;
  private readonly requests = new Map<string, RequestCaller>();
  private readonly actions: ActionCaller[] = [];
  private readonly publishes: PublishCaller[] = [];
  private readonly work: WorkObservation[] = [];
  private readonly directories = new Map<string, Directory>();
  private readonly actionKeys = new Map<string, string>();

  constructor(private readonly separate: ReadonlySet<string>) {}

  readonly getElapsed = (): number =>
    this.startedAt === 0 ? 0 : Date.now() - this.startedAt;

  async waitUntil(elapsed: number): Promise<void> {
    const milliseconds = elapsed - this.getElapsed();
    if (milliseconds > 0) await waitMilliseconds(milliseconds);
  }

  async startFleet(step: FleetStep): Promise<void> {
    this.step = step;
    this.standIns = await StandInFleet.start(
      step,
      this.separate,
      (source, work) => {
        const atMilliseconds = this.getElapsed();
        this.work.push({atMilliseconds, source, work});
      },
    );
    const {fleet} = this.standIns;
    const operatorToken = this.standIns.getToken(operatorName);
    this.entries = new EntryFleet({
      log: fleet.log,
      vmList: fleet.vmList,
      retentionMilliseconds: step.retentionMilliseconds,
      operatorDigest: createHash('sha256').update(operatorToken).digest('hex'),
    });
    for (let number = 1; number <= step.entries; number += 1) {
      await this.startEntry(number);
    }
    await this.publishObjects();
    this.startedAt = Date.now();
  }

  describe(): Observations {
    return {
      requests: [...this.requests.values()].map(caller => caller.describe()),
      actions: this.actions.map(caller => caller.describe()),
      publishes: this.publishes.map(caller => caller.describe()),
      work: this.work,
    };
  }

  async stop(): Promise<void> {
    for (const publish of this.publishes) publish.stop();
    for (const request of this.requests.values()) request.cancel();
    // Either may be missing when the start failed.
    await (this.entries as EntryFleet | undefined)?.stop();
    await (this.standIns as StandInFleet | undefined)?.fleet.stop();
  }

  async runStep(step: ActiveStep): Promise<void> {
    switch (step.kind) {
      case StepKind.Act:
        return this.startAction(step);
      case StepKind.Drain:
        return this.startDrain(step.name);
      case StepKind.Fault:
        return this.setFault(step);
      case StepKind.Kill:
      case StepKind.Pause:
      case StepKind.Resume:
        return this.sendSignal(step);
      case StepKind.Cut:
      case StepKind.Restore:
        return this.entries.setCut(step.name, step.kind === StepKind.Cut);
      case StepKind.Leave:
        return this.getRequest(step.request).cancel();
      case StepKind.Post:
        return this.startRequest(step);
      case StepKind.Publish:
        return this.startPublish(step);
      case StepKind.Reconnect: {
        const via = this.resolveVia(step.via);
        void this.getRequest(step.request).runResume(via);
        return;
      }
      case StepKind.Start:
        await this.startEntry(this.entries.list().length + 1, step.name);
    }
  }

  private startRequest(step: PostStep): void {
    const caller = new RequestCaller(
      {
        name: step.name,
        request: toId(makeUuidV7()),
        pipeline: step.pipeline,
        generation: {
          prompt: step.prompt,
          maxTokens: step.tokens,
          sampling: {},
        },
        layerCount: this.step.layers,
        priority: step.priority,
        deadline: Date.now() + step.withinMilliseconds,
        token: this.standIns.getToken(step.caller),
      },
      this.getDirectory(step.caller),
      this.getElapsed,
    );
    this.requests.set(step.name, caller);
    void caller.runPost(this.resolveVia(step.via));
  }

  private startAction(step: ActStep): void {
    const caller = new ActionCaller(
      {
        name: step.name,
        service: step.service,
        key: step.key,
        actionKey: toId(this.makeKey(step.key)),
        body: step.body,
        token: this.standIns.getToken(step.caller),
        deadline: Date.now() + step.withinMilliseconds,
      },
      this.getDirectory(step.caller),
      this.getElapsed,
    );
    this.actions.push(caller);
    void caller.runPost(this.resolveVia(step.via));
  }

  private startPublish(step: PublishStep): void {
    const caller = new PublishCaller(
      {
        name: step.name,
        publish: makeUuidV7(),
        objectKind: step.objectKind,
        objectName: step.objectName,
        field: step.field,
        value: step.value,
        token: this.standIns.getToken(operatorName),
        deadline: Date.now() + askMilliseconds,
      },
      () => this.entries.list(),
      this.getElapsed,
    );
    this.publishes.push(caller);
    const via = this.resolveVia(step.via) ?? this.entries.list()[0]!.address;
    void caller.runPublish(via);
  }

  private async startDrain(name: string): Promise<void> {
    const {vmList} = this.standIns.fleet;
    await sendControl(vmList, {leave: name});
    if (this.entries.has(name)) {
      this.entries.get(name).child.kill('SIGTERM');
      return;
    }
    const fault = {name: 'leaving', value: true};
    await this.setFault({kind: StepKind.Fault, target: name, fault});
  }

  private async setFault({target, fault}: FaultStep): Promise<void> {
    const address = this.standIns.getAddress(target);
    // A killed process has every fault that it could be given.
    if (this.standIns.isKilled(target)) return;
    await sendControl(address, {[fault.name]: fault.value});
  }

  private async sendSignal(step: SignalStep): Promise<void> {
    const {name, kind} = step;
    const child = this.entries.has(name)
      ? this.entries.get(name).child
      : this.standIns.getChild(name);
    child.kill(signals[kind]);
    if (kind !== StepKind.Kill) return;
    await sendControl(this.standIns.fleet.vmList, {remove: name});
  }

  private async startEntry(number: number, name = `a${number}`): Promise<void> {
    const dataCentres = listDataCentres(this.step.dataCentres);
    const place = (number - 1) % dataCentres.length;
    await this.entries.start(name, dataCentres[place]!);
  }

  /** Publishes the fleet's objects and waits until all entry VMs hold them. */
  private async publishObjects(): Promise<void> {
    const {objects} = this.standIns.fleet;
    const [first] = this.entries.list();
    await this.entries.waitUntilReady(first!, 0, 0);
    const changes = objects.map(object => {
      const key = {kind: object.kind, name: object.name};
      return {key, base: -1, object};
    });
    const {status, body} = await fetchReply({
      address: first!.address,
      method: 'POST',
      path: '/v1/publishes',
      token: this.standIns.getToken(operatorName),
      body: {changes},
    });
    if (status !== statusOk) {
      throw makeNotReadyError(`publish refused: ${JSON.stringify(body)}`);
    }
    const entries = this.entries.list();
    for (const entry of entries) {
      const peers = entries.length - 1;
      await this.entries.waitUntilReady(entry, objects.length, peers);
    }
  }

  private getDirectory(caller: string): Directory {
    const known = this.directories.get(caller);
    if (known !== undefined) return known;
    const token = this.standIns.getToken(caller);
    const made = new Directory(() => this.entries.list(), token);
    this.directories.set(caller, made);
    return made;
  }

  private getRequest(name: string): RequestCaller {
    const caller = this.requests.get(name);
    if (caller === undefined) throw makeUnknownError('request', name);
    return caller;
  }

  private resolveVia(via: string | undefined): string | undefined {
    return via === undefined ? undefined : this.entries.get(via).address;
  }

  /** Makes the idempotency key that a name stands for in this run. */
  private makeKey(name: string): string {
    const made = this.actionKeys.get(name) ?? makeUuidV7();
    this.actionKeys.set(name, made);
    return made;
  }
}
