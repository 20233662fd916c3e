import type {ActionKey, EndpointId, RequestId} from '@zinniaspindle/shared';

/** The kinds of work that a stand-in tells of at once. */
export enum WorkKind {
  /** A leaving engine refused an attempt. */
  AttemptRefused = 'attemptRefused',
  /** An engine ran the first step of an attempt. */
  AttemptRan = 'attemptRan',
  /** A plain service ran an action. */
  Executed = 'executed',
}

/** An engine ran the first step of an attempt, or refused it. */
export interface AttemptWork {
  readonly kind: WorkKind.AttemptRan | WorkKind.AttemptRefused;
  readonly endpoint: EndpointId;
  readonly request: RequestId;
  readonly attempt: number;
}

/** A plain service ran an action. */
export interface Executed {
  readonly kind: WorkKind.Executed;
  readonly key: ActionKey;
}

/** Work that was done; told before its answer, so that a kill hides none. */
export type WorkRecord = AttemptWork | Executed;

/** What a stand-in calls on whoever hosts it. */
export interface StandInHooks {
  /** Ends the process for the crash fault; closes the port when absent. */
  readonly handleCrash?: () => void;
  readonly recordWork?: (work: WorkRecord) => void;
}

/** Records nothing. */
export function dropWork(): void {
  return undefined;
}
