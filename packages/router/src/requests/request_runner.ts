import {
  decideRequest,
  RequestCommandKind,
  RequestEventKind,
  RequestPhase,
} from '@zinniaspindle/decisions';
import type {
  AskChain,
  FinishRequest,
  OpenStream,
  ReportEndpoint,
  RequestCommand,
  RequestEvent,
  RequestState,
} from '@zinniaspindle/decisions';
import {StreamEventKind} from '@zinniaspindle/shared';
import type {
  Instant,
  LogEvent,
  RequestId,
  StageTarget,
  StreamEvent,
} from '@zinniaspindle/shared';
import {EndpointErrorCode} from '../endpoints/errors.js';
import type {EndpointError} from '../endpoints/errors.js';
import type {StopDriver, TokenDriver} from '../endpoints/token_driver.js';
import type {EventLoop} from '../loop/event_loop.js';
import {Machine} from '../loop/machine.js';

/** What a running request needs from the rest of the VM. */
export interface RequestPorts {
  readonly loop: EventLoop;
  readonly getNow: () => number;
  readonly report: (logEvents: readonly LogEvent[]) => void;
  readonly driver: TokenDriver;
  /** Cancels an attempt at every stage of its chain. */
  readonly cancelChain: (
    request: RequestId,
    attempt: number,
    chain: readonly StageTarget[],
  ) => void;
  /** Asks for a chain; answered by ChainAssigned or ChainRefused. */
  readonly askChain: (run: RequestRun, ask: AskChain) => void;
  readonly saveRecord: (state: RequestState) => void;
  readonly reportEndpoint: (report: ReportEndpoint) => void;
  /** Hears of each verified token, before it is written to the caller. */
  readonly recordToken: (run: RequestRun) => void;
  readonly recordFinish: (run: RequestRun, finish: FinishRequest) => void;
}

/** Hears what a request gives to its caller. */
export interface RequestListener {
  readonly handleToken: () => void;
  readonly handleFinish: (finish: FinishRequest) => void;
  /** Another VM goes on with the request: the caller is to reconnect. */
  readonly handleRelease: () => void;
  /** Whether the caller is still connected. */
  readonly isOpen: () => boolean;
  /** Whether the caller can go on with the answer on another connection. */
  readonly canReconnect: boolean;
}

/** One request of a caller while this VM owns it. */
export class RequestRun {
  private readonly machine: Machine<RequestState, RequestEvent, RequestCommand>;
  private stopDriver: StopDriver | undefined;
  private listener: RequestListener | undefined;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private finish: FinishRequest | undefined;
  /** When the request arrived here, or its latest token came. */
  private lastTokenAt: Instant;

  constructor(
    state: RequestState,
    private readonly ports: RequestPorts,
  ) {
    const {loop, getNow, report} = ports;
    this.lastTokenAt = getNow();
    this.machine = new Machine({
      ...{loop, getNow, report},
      state,
      decide: (state, event, now) => decideRequest(state, event, now),
      execute: command => this.runCommand(command),
    });
    const delay = Math.max(0, state.spec.deadline - getNow());
    const kind = RequestEventKind.DeadlineReached;
    this.deadlineTimer = setTimeout(() => this.send({kind}), delay);
  }

  /** The request's state; read only. */
  get state(): RequestState {
    return this.machine.state;
  }

  /** The final answer, once given. */
  get finished(): FinishRequest | undefined {
    return this.finish;
  }

  /** Whether a caller is connected. */
  get hasCaller(): boolean {
    return this.listener?.isOpen() ?? false;
  }

  /** Whether another VM can go on with the request. */
  get canMove(): boolean {
    return this.listener?.canReconnect ?? true;
  }

  /** Tells the milliseconds since the arrival or the token before. */
  recordTokenTime(now: Instant, record: (milliseconds: number) => void): void {
    record(now - this.lastTokenAt);
    this.lastTokenAt = now;
  }

  /** Asks for the first chain of this VM. */
  start(): void {
    const kind = RequestCommandKind.AskChain;
    const ask = {kind, excluded: [], keep: [], canStay: false} as const;
    this.ports.askChain(this, ask);
  }

  /** Goes on with the chain that another VM's attempt ran on. */
  resumeChain(chain: readonly StageTarget[]): void {
    this.send({kind: RequestEventKind.ChainAssigned, chain});
  }

  /** Hands an event to the request. */
  send(event: RequestEvent): void {
    this.machine.send(event);
  }

  /** Sets who hears of tokens and of the final answer from now on. */
  setListener(listener: RequestListener | undefined): void {
    this.listener = listener;
    if (this.finish !== undefined) listener?.handleFinish(this.finish);
  }

  /** Tells whether a listener is still the one that hears of tokens. */
  hasListener(listener: RequestListener): boolean {
    return this.listener === listener;
  }

  /** Stops here without an answer; another VM goes on with the request. */
  release(): void {
    clearTimeout(this.deadlineTimer);
    this.stopDriver?.();
    this.stopDriver = undefined;
    this.listener?.handleRelease();
    this.listener = undefined;
  }

  private runCommand(command: RequestCommand): void {
    switch (command.kind) {
      case RequestCommandKind.AskChain:
        return this.ports.askChain(this, command);
      case RequestCommandKind.CancelStream:
        return this.cancelStream(command.attempt, command.chain);
      case RequestCommandKind.Deliver:
        this.ports.recordToken(this);
        this.listener?.handleToken();
        return;
      case RequestCommandKind.Finish:
        return this.acceptFinish(command);
      case RequestCommandKind.OpenStream:
        return this.openStream(command);
      case RequestCommandKind.ReportEndpoint:
        return this.ports.reportEndpoint(command);
      case RequestCommandKind.SaveRecord:
        return this.ports.saveRecord(this.state);
    }
  }

  private cancelStream(attempt: number, chain: readonly StageTarget[]): void {
    this.stopDriver?.();
    this.stopDriver = undefined;
    this.ports.cancelChain(this.state.spec.id, attempt, chain);
  }

  private openStream(command: OpenStream): void {
    const {attempt, chain, goesOn} = command;
    const {spec, delivered: given} = this.state;
    const lead = chain[chain.length - 1]!;
    const {id: request, model, generation, priority, deadline} = spec;
    this.stopDriver = this.ports.driver(
      {
        ...{request, attempt, model, generation, priority, deadline, chain},
        given: [...given],
        ...(goesOn ? {goesOn} : {}),
      },
      {
        handleEvent: event => this.handleStreamEvent(event),
        handleError: error => this.handleStreamError(attempt, lead, error),
      },
    );
  }

  private handleStreamEvent(event: StreamEvent): void {
    switch (event.kind) {
      case StreamEventKind.Token:
        return this.send({kind: RequestEventKind.Token, token: event});
      case StreamEventKind.End:
        return this.send({kind: RequestEventKind.Ended, end: event});
      case StreamEventKind.Failed:
        return this.send({kind: RequestEventKind.Failed, failure: event});
    }
  }

  private handleStreamError(
    attempt: number,
    lead: StageTarget,
    error: EndpointError,
  ): void {
    const {endpoint} = lead;
    const detail = error.message;
    if (error.code === EndpointErrorCode.NotAccepted) {
      const reason = error.reason === undefined ? {} : {reason: error.reason};
      const kind = RequestEventKind.NotAccepted;
      this.send({kind, attempt, endpoint, detail, ...reason});
      return;
    }
    const kind = RequestEventKind.StreamBroken;
    this.send({kind, attempt, endpoint, detail});
  }

  private acceptFinish(finish: FinishRequest): void {
    clearTimeout(this.deadlineTimer);
    this.stopDriver = undefined;
    this.finish = finish;
    this.ports.recordFinish(this, finish);
    this.listener?.handleFinish(finish);
  }
}

/** Tells whether a run still has work in flight. */
export function isInFlight(run: RequestRun): boolean {
  return run.state.phase !== RequestPhase.Finished;
}
