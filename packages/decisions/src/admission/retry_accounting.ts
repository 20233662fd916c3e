import {
  accountRetryOptions,
  createRetryBudget,
  recordFirstAttempt,
  vmRetryOptions,
  type RetryBudget,
} from '../retries/retry_budget.js';
import type {WorkItem} from './messages.js';
import type {AdmissionState} from './state.js';

/** Records that a request started: it earns a part of a retry. */
export function recordStartedWork(state: AdmissionState, work: WorkItem): void {
  recordFirstAttempt(state.vmRetryBudget, vmRetryOptions);
  recordFirstAttempt(takeAccountBudget(state, work), accountRetryOptions);
}

/** Returns the retry budget of a request's account, created on first use. */
export function takeAccountBudget(
  state: AdmissionState,
  work: WorkItem,
): RetryBudget {
  const known = state.accountRetryBudgets.get(work.account);
  if (known !== undefined) return known;
  const created = createRetryBudget(accountRetryOptions);
  state.accountRetryBudgets.set(work.account, created);
  return created;
}
