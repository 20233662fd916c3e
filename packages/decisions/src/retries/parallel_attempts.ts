import type {AttemptLimits, Attempts} from './attempts.js';
import {RetryDenial} from './retry_denial.js';

/** Most endpoints that have one request at a time. */
export const maxRunning = 2;

/** Attempts of one request, some of which have not ended. */
export interface ParallelAttempts extends Readonly<Attempts> {
  /** Those that an endpoint has, which may all run the request. */
  readonly running: number;
}

/** How an attempt ended. */
export enum AttemptOutcome {
  /** With an answer for the caller. */
  Answered = 'answered',
  /** With a failure of the endpoint, which may have run the request. */
  Failed = 'failed',
  /** Without a whole answer; the endpoint may have run the request. */
  Broken = 'broken',
  NotRun = 'notRun',
}

/** What follows the end of an attempt. */
export enum AfterAttempt {
  /** Its answer is given, and any other attempt is cancelled. */
  Answer = 'answer',
  /** Another attempt goes on. */
  Wait = 'wait',
  /** A further attempt is made, if one is allowed. */
  Retry = 'retry',
}

/** Finds why a request may have no further attempt now. */
export function findParallelDenial(
  {runs, notRun, running}: ParallelAttempts,
  {canRepeat, maxRuns, maxNotRun}: AttemptLimits,
): RetryDenial | undefined {
  const mayHaveRun = runs + running;
  if (mayHaveRun > 0 && !canRepeat) return RetryDenial.Route;
  const isAllowed =
    running < maxRunning && mayHaveRun < maxRuns && notRun < maxNotRun;
  return isAllowed ? undefined : RetryDenial.Attempts;
}

/** Counts an attempt that has ended. */
export function recordOutcome(
  attempts: Attempts,
  outcome: AttemptOutcome,
): void {
  if (outcome === AttemptOutcome.NotRun) attempts.notRun += 1;
  else attempts.runs += 1;
}

/**
 * Decides what follows the end of an attempt. Only an answer ends the others: an
 * endpoint that refuses, fails or breaks off is no reason to give up one that may
 * still answer.
 * @param running the attempts that have not ended
 */
export function chooseAfterAttempt(
  outcome: AttemptOutcome,
  running: number,
): AfterAttempt {
  if (outcome === AttemptOutcome.Answered) return AfterAttempt.Answer;
  return running > 0 ? AfterAttempt.Wait : AfterAttempt.Retry;
}
