import type {FinalAnswer} from '@zinniaspindle/shared';

/** The kinds of step in a scenario. */
export enum StepKind {
  Act = 'act',
  Cut = 'cut',
  Drain = 'drain',
  Expect = 'expect',
  Fault = 'fault',
  Fleet = 'fleet',
  Kill = 'kill',
  Leave = 'leave',
  Pause = 'pause',
  Post = 'post',
  Publish = 'publish',
  Reconnect = 'reconnect',
  Restore = 'restore',
  Resume = 'resume',
  Start = 'start',
}

/** Sets up the fleet; comes first. */
export interface FleetStep {
  readonly kind: StepKind.Fleet;
  readonly entries: number;
  readonly dataCentres: number;
  readonly ranges: number;
  readonly replicas: number;
  readonly layers: number;
  readonly callers: readonly string[];
  readonly services: readonly string[];
  /** Whether the services can tell the fate of a call by its key. */
  readonly lookup: boolean;
  readonly vmListLagMilliseconds: number;
  readonly retentionMilliseconds: number;
  readonly appendsPerSecond: number;
}

/** A caller posts a request. */
export interface PostStep {
  readonly kind: StepKind.Post;
  readonly caller: string;
  readonly pipeline: string;
  readonly tokens: number;
  readonly prompt: string;
  readonly priority: number;
  /** Time that the caller leaves from the post to the deadline. */
  readonly withinMilliseconds: number;
  /** Entry VM to post to; the directory's first choice when absent. */
  readonly via?: string;
  readonly name: string;
}

/** A caller places a protected action. */
export interface ActStep {
  readonly kind: StepKind.Act;
  readonly caller: string;
  readonly service: string;
  /** The scenario's name for the idempotency key. */
  readonly key: string;
  readonly body: string;
  /** Time that the caller leaves from the call to the deadline. */
  readonly withinMilliseconds: number;
  readonly via?: string;
  readonly name: string;
}

/** A caller closes the connection of a request. */
export interface LeaveStep {
  readonly kind: StepKind.Leave;
  readonly caller: string;
  readonly request: string;
}

/** A caller goes on with a request after the last token that it has. */
export interface ReconnectStep {
  readonly kind: StepKind.Reconnect;
  readonly caller: string;
  readonly request: string;
  readonly via?: string;
}

/** Ends, stops or lets go on a process without its help. */
export interface SignalStep {
  readonly kind: StepKind.Kill | StepKind.Pause | StepKind.Resume;
  readonly name: string;
}

/** Cuts an entry VM's links to the log and the VM list, or mends them. */
export interface LinkStep {
  readonly kind: StepKind.Cut | StepKind.Restore;
  readonly name: string;
}

/** Asks an entry VM or an endpoint to leave in an orderly way. */
export interface DrainStep {
  readonly kind: StepKind.Drain;
  readonly name: string;
}

/** Starts a new entry VM, or a killed stand-in again. */
export interface StartStep {
  readonly kind: StepKind.Start;
  readonly name: string;
}

/** One switch of a stand-in's control path. */
export interface FaultSwitch {
  readonly name: string;
  readonly value: boolean | number;
}

/** Switches a fault of a stand-in. */
export interface FaultStep {
  readonly kind: StepKind.Fault;
  /** Name of the stand-in: log, vmList, weightStore, e1, orders and so on. */
  readonly target: string;
  readonly fault: FaultSwitch;
}

/** An operator changes one field of a published object. */
export interface PublishStep {
  readonly kind: StepKind.Publish;
  readonly objectKind: string;
  readonly objectName: string;
  readonly field: string;
  readonly value: unknown;
  readonly via?: string;
  readonly name: string;
}

/** The kinds of expectation. */
export enum ExpectationKind {
  Answer = 'answer',
  Executed = 'executed',
  InForce = 'inForce',
  NothingNew = 'nothingNew',
  Published = 'published',
  Retried = 'retried',
  TokensOnce = 'tokensOnce',
}

/** A request or action has one of some final answers. */
export interface AnswerExpectation {
  readonly kind: ExpectationKind.Answer;
  readonly name: string;
  /** Any final answer when empty. */
  readonly answers: readonly FinalAnswer[];
}

/** A service ran a key a number of times. */
export interface ExecutedExpectation {
  readonly kind: ExpectationKind.Executed;
  readonly service: string;
  readonly key: string;
  readonly least: number;
  readonly most: number;
}

/** Every reachable entry VM has folded an accepted publish. */
export interface InForceExpectation {
  readonly kind: ExpectationKind.InForce;
  readonly publish: string;
}

/** An endpoint began no attempt after an offset. */
export interface NothingNewExpectation {
  readonly kind: ExpectationKind.NothingNew;
  readonly endpoint: string;
  readonly sinceMilliseconds: number;
}

/** A publish was accepted, or was not. */
export interface PublishedExpectation {
  readonly kind: ExpectationKind.Published;
  readonly publish: string;
  readonly accepted: boolean;
}

/** A request took more than one attempt, so that its fault struck. */
export interface RetriedExpectation {
  readonly kind: ExpectationKind.Retried;
  readonly name: string;
}

/** Every token given to any caller is the right one, once and in order. */
export interface TokensOnceExpectation {
  readonly kind: ExpectationKind.TokensOnce;
}

/** Anything that a scenario may expect. */
export type Expectation =
  | AnswerExpectation
  | ExecutedExpectation
  | InForceExpectation
  | NothingNewExpectation
  | PublishedExpectation
  | RetriedExpectation
  | TokensOnceExpectation;

/** States what must be so, at the latest at an offset from the start. */
export interface ExpectStep {
  readonly kind: StepKind.Expect;
  readonly expectation: Expectation;
  /** Milliseconds from the start; the end of the scenario when absent. */
  readonly byMilliseconds?: number;
}

/** What one line of a scenario does. */
export type Step =
  | ActStep
  | DrainStep
  | ExpectStep
  | FaultStep
  | FleetStep
  | LeaveStep
  | LinkStep
  | PostStep
  | PublishStep
  | ReconnectStep
  | SignalStep
  | StartStep;

/** A step with its place in the file and in time. */
export interface PlacedStep {
  readonly line: number;
  readonly text: string;
  /** Milliseconds from the start. */
  readonly atMilliseconds: number;
  readonly step: Step;
}

/** A parsed scenario. */
export interface Scenario {
  readonly name: string;
  /** In order of time. */
  readonly steps: readonly PlacedStep[];
}
