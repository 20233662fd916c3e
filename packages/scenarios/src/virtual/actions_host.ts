import {
  ActionCommandKind,
  ActionInputKind,
  CallFailure,
  createActionsState,
  decideActions,
  type ActionCommand,
  type ActionGuard,
  type ActionInput,
  type ActionRequest,
  type ActionsState,
  type ServiceCallRequest,
  type WriterId,
} from '@zinniaspindle/decisions';
import {
  toId,
  type ActionKey,
  type LogEvent,
  type Random,
} from '@zinniaspindle/shared';
import type {LogStore} from '@zinniaspindle/stand-ins';
import type {ActionsLedger} from './actions_ledger.js';
import {FakeJournal, type VmJournal} from './fake_journal.js';
import type {FakeService} from './fake_service.js';
import {HostedJournal} from './hosted_journal.js';
import type {VirtualClock} from './virtual_clock.js';
import {VirtualVm} from './virtual_vm.js';

const tickMilliseconds = 100;
const maxSkewMilliseconds = 100;

/** What every VM of a run shares. */
export interface ActionsWorld {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly log: LogStore;
  readonly service: FakeService;
  readonly ledger: ActionsLedger;
  readonly retentionMilliseconds: number;
  /** Longest time that an append takes to arrive, at the present moment. */
  maxAppendMilliseconds: number;
  readonly guardsOff: ReadonlySet<ActionGuard>;
  /** Makes VMs ready without the window that the log keeps. */
  readonly skipsWindow: boolean;
  /** Runs the router's journal instead of the fake one. */
  readonly usesRealJournal: boolean;
}

/** Hosts the actions machine of one VM in virtual time. */
export class ActionsVm {
  readonly vm: VirtualVm;
  readonly logEvents: LogEvent[] = [];
  private readonly journal: VmJournal;
  private readonly state: ActionsState;
  private readonly requests = new Map<number, ActionRequest>();

  constructor(
    private readonly world: ActionsWorld,
    name: string,
  ) {
    const writer: WriterId = toId(name);
    const skew = (2 * world.random() - 1) * maxSkewMilliseconds;
    this.vm = new VirtualVm(world.clock, skew);
    this.state = createActionsState({
      writer,
      retentionMilliseconds: world.retentionMilliseconds,
      maxKeySkewMilliseconds: 500,
      retryMilliseconds: 300,
      lookupMilliseconds: 300,
      resubmitMilliseconds: 500,
      maxCallsPerService: 4,
      maxAttemptsPerService: 32,
      guardsOff: world.guardsOff,
    });
    this.journal = this.createJournal(writer);
    this.runTicks();
  }

  /** Hands a caller's request to the machine. */
  accept(request: ActionRequest): void {
    this.vm.run(() => {
      this.requests.set(request.request, request);
      this.apply({kind: ActionInputKind.Requested, request});
    });
  }

  /** Tells the machine that a caller is gone. */
  cancel(request: number): void {
    this.vm.run(() => this.apply({kind: ActionInputKind.CallerGone, request}));
  }

  private createJournal(writer: WriterId): VmJournal {
    const {clock, log, random, skipsWindow} = this.world;
    const Journal = this.world.usesRealJournal ? HostedJournal : FakeJournal;
    return new Journal(
      {
        clock,
        log,
        random,
        writer,
        getMaxAppendMilliseconds: () => this.world.maxAppendMilliseconds,
        isCut: () => this.vm.isCut,
        run: call => this.vm.run(call),
        startsAtTail: skipsWindow,
      },
      {
        receiveRecord: record =>
          this.handle({kind: ActionInputKind.Folded, record}),
        receiveOutcome: (token, outcome) =>
          this.handle({kind: ActionInputKind.SubmitResolved, token, outcome}),
        receiveGap: () =>
          this.handle({kind: ActionInputKind.ReadyChanged, ready: false}),
        receiveReady: () =>
          this.handle({kind: ActionInputKind.ReadyChanged, ready: true}),
      },
    );
  }

  private runTicks(): void {
    this.journal.poll();
    this.apply({kind: ActionInputKind.Tick});
    this.vm.runAfter(tickMilliseconds, () => this.runTicks());
  }

  private handle(input: ActionInput): void {
    this.vm.run(() => this.apply(input));
  }

  private apply(input: ActionInput): void {
    const {random} = this.world;
    const step = decideActions(this.state, input, this.vm.now, random);
    if (step.isErr) throw step.error;
    this.logEvents.push(...step.value.logEvents);
    for (const command of step.value.commands) this.runCommand(command);
  }

  private runCommand(command: ActionCommand): void {
    switch (command.kind) {
      case ActionCommandKind.Answer:
        this.world.ledger.recordAnswer(command, this.world.clock.now);
        return;
      case ActionCommandKind.CallService:
        // A pause may fall between the decision and the call.
        this.vm.runAfter(this.world.random() * 5, () => this.sendCall(command));
        return;
      case ActionCommandKind.LookUp:
        this.sendLookup(command.request, command.key);
        return;
      case ActionCommandKind.SubmitRecord:
        this.journal.append(command);
        return;
    }
  }

  private sendCall(call: ServiceCallRequest): void {
    const {attempt, request, key} = call;
    const digest = this.requests.get(request)?.digest ?? '';
    this.world.service.accept(
      {key, request, digest},
      {
        receiveResult: result =>
          this.handle({kind: ActionInputKind.CallAnswered, attempt, result}),
        receiveRefusal: () =>
          this.handle({
            kind: ActionInputKind.CallFailed,
            attempt,
            failure: CallFailure.CertainlyNotSent,
          }),
      },
    );
  }

  private sendLookup(request: number, key: ActionKey): void {
    const lookupMilliseconds = 20;
    const result = this.world.service.find(key);
    this.vm.runAfter(lookupMilliseconds, () =>
      this.apply({
        kind: ActionInputKind.LookupAnswered,
        request,
        ...(result === undefined ? {} : {result}),
      }),
    );
  }
}
