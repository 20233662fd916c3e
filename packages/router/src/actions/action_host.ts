import {
  ActionCommandKind,
  ActionInputKind,
  CallFailure,
  createActionsState,
  decideActions,
  listClaims,
} from '@zinniaspindle/decisions';
import type {
  ActionAnswer,
  ActionCommand,
  ActionInput,
  ActionRequest,
  ActionsState,
  ClaimWindow,
  CommittedRecord,
  ServiceCallRequest,
  WriterId,
} from '@zinniaspindle/decisions';
import type {
  ActionKey,
  Deadline,
  ServiceName,
  ServiceObject,
} from '@zinniaspindle/shared';
import type {AppendRecord} from '../journal/journal_host.js';
import type {LoopPorts} from '../loop/loop_ports.js';
import {Machine} from '../loop/machine.js';
import {Metric} from '../metrics/metrics.js';
import type {Metrics} from '../metrics/metrics.js';
import type {ServiceClient} from './service_client.js';

/** What a caller asks of a service; the number is set by the host. */
export type ActionAsk = Omit<ActionRequest, 'request'> & {
  readonly action: string;
  readonly body: string;
};

/** What the actions need from the rest of the VM. */
export interface ActionPorts extends LoopPorts {
  readonly writer: WriterId;
  readonly retentionMilliseconds: number;
  readonly client: ServiceClient;
  readonly metrics: Metrics;
  readonly findService: (name: ServiceName) => ServiceObject | undefined;
  readonly appendRecord: AppendRecord;
}

/** Hears the final answer to an action. */
export type ActionListener = (answer: ActionAnswer) => void;

interface WaitingAction {
  readonly ask: ActionAsk;
  readonly listener: ActionListener;
}

const maxKeySkewMilliseconds = 5_000;
const retryMilliseconds = 1_000;
const lookupMilliseconds = 500;
const resubmitMilliseconds = 2_000;
const maxCallsPerService = 64;
const expiryMarginMilliseconds = 1_000;
const maxAttemptsPerService = 512;

/** Hosts the protected actions of this VM. */
export class ActionHost {
  private readonly machine: Machine<ActionsState, ActionInput, ActionCommand>;
  private readonly waiting = new Map<number, WaitingAction>();
  /** Bodies of answered requests whose call may still be made. */
  private readonly asks = new Map<number, ActionAsk>();
  private nextRequest = 1;

  constructor(private readonly ports: ActionPorts) {
    const {loop, getNow, report, random, writer} = ports;
    const {retentionMilliseconds} = ports;
    this.machine = new Machine({
      ...{loop, getNow, report},
      state: createActionsState({
        ...{writer, retentionMilliseconds, maxKeySkewMilliseconds},
        ...{retryMilliseconds, lookupMilliseconds, resubmitMilliseconds},
        ...{maxCallsPerService, maxAttemptsPerService},
      }),
      decide: (state, input, now) => decideActions(state, input, now, random),
      execute: command => this.runCommand(command),
    });
  }

  /** Whether the whole window of claims is known. */
  get isReady(): boolean {
    return this.machine.state.ready;
  }

  /** Counts the actions whose callers wait for an answer. */
  countWaiting(): number {
    return this.waiting.size;
  }

  /** Tells whether the whole window of claims is known. */
  setReady(ready: boolean): void {
    if (ready === this.isReady) return;
    this.machine.send({kind: ActionInputKind.ReadyChanged, ready});
  }

  /** Lists every claim in the window, for a peer. */
  listClaims(): ClaimWindow {
    return listClaims(this.machine.state);
  }

  /** Takes a peer's window of claims. */
  acceptWindow(window: ClaimWindow): void {
    this.machine.send({kind: ActionInputKind.WindowLoaded, window});
  }

  /** Folds a record of the log. */
  acceptRecord(record: CommittedRecord): void {
    this.machine.send({kind: ActionInputKind.Folded, record});
  }

  /** Passes time. */
  runTick(): void {
    this.machine.send({kind: ActionInputKind.Tick});
  }

  /** Asks for an action; the listener hears one answer by the deadline. */
  acceptAsk(ask: ActionAsk, listener: ActionListener): () => void {
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.waiting.set(request, {ask, listener});
    this.asks.set(request, ask);
    const kind = ActionInputKind.Requested;
    this.machine.send({kind, request: {...ask, request}});
    return () => this.machine.send({kind: ActionInputKind.CallerGone, request});
  }

  /** Answers every action whose caller waits, since this VM ends. */
  answerAll(): void {
    this.machine.send({kind: ActionInputKind.StopReached});
  }

  private runCommand(command: ActionCommand): void {
    switch (command.kind) {
      case ActionCommandKind.Answer:
        return this.answer(command);
      case ActionCommandKind.CallService:
        void this.sendCall(command);
        return;
      case ActionCommandKind.LookUp:
        void this.fetchFate(command.request, command.service, command.key);
        return;
      case ActionCommandKind.SubmitRecord: {
        const {token, body, giveUpAt} = command;
        const kind = ActionInputKind.SubmitResolved;
        return this.ports.appendRecord(body, giveUpAt, outcome =>
          this.machine.send({kind, token, outcome}),
        );
      }
    }
  }

  private answer(answer: ActionAnswer): void {
    const waiting = this.waiting.get(answer.request);
    this.waiting.delete(answer.request);
    if (waiting === undefined) return;
    this.ports.metrics.count(Metric.ActionsAnswered, 1, {
      answer: answer.answer,
    });
    this.expireAsk(answer.request, waiting.ask.deadline);
    waiting.listener(answer);
  }

  /** A call is never begun after the deadline of the request it is for. */
  private expireAsk(request: number, deadline: Deadline): void {
    const delay = Math.max(0, deadline - this.ports.getNow());
    const remove = () => this.asks.delete(request);
    setTimeout(remove, delay + expiryMarginMilliseconds).unref();
  }

  private async sendCall(order: ServiceCallRequest): Promise<void> {
    const {attempt, request, key} = order;
    const ask = this.asks.get(request);
    const service = this.ports.findService(order.service);
    if (ask === undefined || service === undefined) {
      this.reportFailure(attempt, CallFailure.CertainlyNotSent);
      return;
    }
    const {client, random} = this.ports;
    const pick = Math.floor(random() * service.addresses.length);
    const address = service.addresses[pick]!;
    const call = {key, action: ask.action, body: ask.body};
    const answer = await client.sendCall(address, call, order.expiresAt);
    this.asks.delete(request);
    if (answer.isErr) {
      this.reportFailure(attempt, answer.error.code);
      return;
    }
    const {result} = answer.value;
    this.machine.send({kind: ActionInputKind.CallAnswered, attempt, result});
  }

  private reportFailure(attempt: number, failure: CallFailure): void {
    this.machine.send({kind: ActionInputKind.CallFailed, attempt, failure});
  }

  private async fetchFate(
    request: number,
    name: ServiceName,
    key: ActionKey,
  ): Promise<void> {
    const service = this.ports.findService(name);
    if (service === undefined) return;
    const {client, random, getNow} = this.ports;
    const pick = Math.floor(random() * service.addresses.length);
    const deadline = getNow() + service.callMilliseconds;
    const address = service.addresses[pick]!;
    const result = await client.fetchFate(address, key, deadline);
    const kind = ActionInputKind.LookupAnswered;
    const found = result === undefined ? {} : {result};
    this.machine.send({kind, request, ...found});
  }
}
