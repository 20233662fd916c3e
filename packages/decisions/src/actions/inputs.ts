import type {
  AccountId,
  ActionKey,
  Deadline,
  ServiceName,
} from '@zinniaspindle/shared';
import type {ClaimWindow} from './state.js';
import type {CommittedRecord} from '../log/records.js';
import type {SubmitOutcome, SubmitToken} from '../log/journal_types.js';

/** Identifies one caller's request within this VM. */
export type RequestToken = number;

/** Number of an attempt of this VM: one claim, and at most one call. */
export type AttemptNumber = number;

/** Kinds of inputs of the actions state machine. */
export enum ActionInputKind {
  CallAnswered = 'callAnswered',
  CallFailed = 'callFailed',
  CallerGone = 'callerGone',
  Folded = 'folded',
  LookupAnswered = 'lookupAnswered',
  ReadyChanged = 'readyChanged',
  Requested = 'requested',
  StopReached = 'stopReached',
  SubmitResolved = 'submitResolved',
  Tick = 'tick',
  WindowLoaded = 'windowLoaded',
}

/** A caller's request for an action. */
export interface ActionRequest {
  readonly request: RequestToken;
  readonly account: AccountId;
  /** The caller's idempotency key, a UUIDv7. */
  readonly key: ActionKey;
  readonly service: ServiceName;
  /** SHA-256 digest, in hexadecimal, of the action and its body. */
  readonly digest: string;
  /** The caller receives its final answer by this instant. */
  readonly deadline: Deadline;
  /** Timeout of a call to the service, in milliseconds. */
  readonly callMilliseconds: number;
  /** Whether the service can look up the result of a call by its key. */
  readonly hasLookup: boolean;
  /**
   * Whether the caller has sent this key before. Such a request is never
   * answered with `notRun`, since the earlier one may still run.
   */
  readonly repeats: boolean;
}

/** What is known about a failed call. */
export enum CallFailure {
  /** No byte of the call has left this VM, and none will. */
  CertainlyNotSent = 'certainlyNotSent',
  /** The service may have executed the call. */
  Unknown = 'unknown',
}

/** Any input of the actions state machine. */
export type ActionInput =
  | {
      readonly kind: ActionInputKind.CallAnswered;
      readonly attempt: AttemptNumber;
      readonly result: string;
    }
  | {
      readonly kind: ActionInputKind.CallFailed;
      readonly attempt: AttemptNumber;
      readonly failure: CallFailure;
    }
  | {
      /** The caller closed its connection; a call already sent continues. */
      readonly kind: ActionInputKind.CallerGone;
      readonly request: RequestToken;
    }
  | {
      readonly kind: ActionInputKind.Folded;
      readonly record: CommittedRecord;
    }
  | {
      readonly kind: ActionInputKind.LookupAnswered;
      readonly request: RequestToken;
      /** Result of the executed call; absent if none is known. */
      readonly result?: string;
    }
  | {
      /**
       * True once every retained record of the log was folded. At a gap in the
       * log it turns false, and true again after the records behind the gap.
       */
      readonly kind: ActionInputKind.ReadyChanged;
      readonly ready: boolean;
    }
  | {
      readonly kind: ActionInputKind.Requested;
      readonly request: ActionRequest;
    }
  /** The VM ends: every request gets its answer now. */
  | {readonly kind: ActionInputKind.StopReached}
  | {
      readonly kind: ActionInputKind.SubmitResolved;
      readonly token: SubmitToken;
      readonly outcome: SubmitOutcome;
    }
  | {readonly kind: ActionInputKind.Tick}
  | {
      /** A peer's window; folding continues at the offset where it ends. */
      readonly kind: ActionInputKind.WindowLoaded;
      readonly window: ClaimWindow;
    };
