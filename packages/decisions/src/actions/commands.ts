import type {
  AccountId,
  ActionKey,
  Deadline,
  FinalAnswer,
  Instant,
  ServiceName,
} from '@zinniaspindle/shared';
import type {RecordSubmission} from '../log/submission.js';
import type {AttemptNumber, RequestToken} from './inputs.js';

/** Kinds of commands that the actions state machine issues. */
export enum ActionCommandKind {
  Answer = 'answer',
  CallService = 'callService',
  LookUp = 'lookUp',
  SubmitRecord = 'submitRecord',
}

/** The final answer to one request. */
export interface ActionAnswer {
  readonly request: RequestToken;
  readonly answer: FinalAnswer;
  readonly detail: string;
  /** The service's answer, present with `completed`. */
  readonly result?: string;
  /** When the caller may retry with the same key. */
  readonly retryAt?: Instant;
  /** The invalid input field and its value, present with `rejected`. */
  readonly field?: string;
  readonly value?: string;
}

/** A call to a service; the host makes it at most once. */
export interface ServiceCallRequest {
  readonly attempt: AttemptNumber;
  /** The request whose body is sent. */
  readonly request: RequestToken;
  readonly account: AccountId;
  readonly key: ActionKey;
  readonly service: ServiceName;
  /** After this instant the outcome of the call counts as unknown. */
  readonly expiresAt: Deadline;
}

/** Any command that the actions state machine issues. */
export type ActionCommand =
  | ({readonly kind: ActionCommandKind.Answer} & ActionAnswer)
  | ({readonly kind: ActionCommandKind.CallService} & ServiceCallRequest)
  | {
      readonly kind: ActionCommandKind.LookUp;
      readonly request: RequestToken;
      readonly service: ServiceName;
      readonly key: ActionKey;
    }
  | ({readonly kind: ActionCommandKind.SubmitRecord} & RecordSubmission);
