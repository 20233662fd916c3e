import type {WorkRecord} from '@zinniaspindle/stand-ins';
import type {
  ActionKey,
  FinalAnswer,
  GenerationParameters,
  RequestId,
} from '@zinniaspindle/shared';

/** One token as a caller got it. */
export interface TokenObservation {
  readonly index: number;
  readonly text: string;
}

/** A final answer as a caller got it. */
export interface AnswerObservation {
  readonly answer: FinalAnswer;
  readonly detail: string;
  /** Milliseconds from the start of the scenario. */
  readonly atMilliseconds: number;
}

/** A request and all that its caller was told. */
export interface RequestObservation {
  /** The scenario's name for it. */
  readonly name: string;
  readonly request: RequestId;
  readonly generation: GenerationParameters;
  readonly layerCount: number;
  readonly tokens: readonly TokenObservation[];
  /** In order; more than one is a fault. */
  readonly answers: readonly AnswerObservation[];
}

/** An action and all that its caller was told. */
export interface ActionObservation {
  readonly name: string;
  readonly service: string;
  /** The scenario's name for the idempotency key. */
  readonly key: string;
  readonly actionKey: ActionKey;
  readonly answers: readonly AnswerObservation[];
}

/** A publish, what its operator was told and where it is in force. */
export interface PublishObservation {
  readonly name: string;
  /** Absent until an operator was told. */
  readonly accepted?: boolean;
  readonly detail: string;
  readonly answeredAtMilliseconds?: number;
  /** When it was first seen in force on every reachable entry VM. */
  readonly inForceAtMilliseconds?: number;
  /** How an entry VM was seen to go back behind it. */
  readonly reverted?: string;
}

/** A piece of work that a stand-in did. */
export interface WorkObservation {
  readonly atMilliseconds: number;
  /** Name of the stand-in. */
  readonly source: string;
  readonly work: WorkRecord;
}

/** All that was seen from outside the system during a scenario. */
export interface Observations {
  readonly requests: readonly RequestObservation[];
  readonly actions: readonly ActionObservation[];
  readonly publishes: readonly PublishObservation[];
  readonly work: readonly WorkObservation[];
}
