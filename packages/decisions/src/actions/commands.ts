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

/** What the actions machine asks of its host. */
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
  /** The service's answer, with `completed`. */
  readonly result?: string;
  /** When to ask again with the same key. */
  readonly retryAt?: Instant;
  /** The input field at fault and its value, with `rejected`. */
  readonly field?: string;
  readonly value?: string;
}

/** A call that is made once, or never. */
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

/** Anything that the actions machine asks of its host. */
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
