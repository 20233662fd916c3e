import type {Instant} from './instant.js';

/** The final answer to a request or an action. */
export enum FinalAnswer {
  Cancelled = 'cancelled',
  Completed = 'completed',
  /** The work has not run and never will. */
  NotRun = 'notRun',
  /** The work may or may not have run. */
  OutcomeUnknown = 'outcomeUnknown',
  /**
   * The caller has received correct tokens, but no further ones will follow.
   */
  Partial = 'partial',
  /** The input is invalid. */
  Rejected = 'rejected',
}

/** A problem document (RFC 9457), extended by the final answer. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly answer: FinalAnswer;
  /** The invalid input field and its value; set with `rejected`. */
  readonly field?: string;
  readonly value?: string;
  /** When the caller should retry; set with `notRun`. */
  readonly retryAt?: Instant;
}

/** The media type of a problem document. */
export const problemMediaType = 'application/problem+json';
