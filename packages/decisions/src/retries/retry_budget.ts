/** Retries that first attempts have earned and that are not used yet. */
export interface RetryBudget {
  available: number;
}

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly retryRatio: number;
  /** Retries available from the start. */
  readonly initialRetries: number;
  /** Most retries that can accumulate. */
  readonly maxAvailable: number;
}

/** Settings of a VM's budget over all accounts. */
export const vmRetryOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  initialRetries: 0,
  maxAvailable: 200,
};

/** Settings of one account's budget at one VM. */
export const accountRetryOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  initialRetries: 3,
  maxAvailable: 100,
};

/** Creates a budget with its initial retries. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return {available: options.initialRetries};
}

/** Records the first attempt of a request, which earns a part of a retry. */
export function recordFirstAttempt(
  budget: RetryBudget,
  options: RetryBudgetOptions,
): void {
  const available = budget.available + options.retryRatio;
  budget.available = Math.min(available, options.maxAvailable);
}

/** Tells whether the budget covers a retry. */
export function canRetry(budget: RetryBudget): boolean {
  return budget.available >= 1;
}

/** Takes one retry from the budget, or the fraction that is left. */
export function takeRetry(budget: RetryBudget): void {
  budget.available = Math.max(0, budget.available - 1);
}
