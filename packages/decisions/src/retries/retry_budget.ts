/** Retries that fresh work has paid for and that are not used yet. */
export interface RetryBudget {
  available: number;
}

/** How retries are bounded. */
export interface RetryBudgetOptions {
  /** Retries for each fresh request. */
  readonly retryRatio: number;
  /** Retries that are there from the start. */
  readonly initialRetries: number;
  /** The most retries that may be saved up. */
  readonly maxAvailable: number;
}

/** The settings of one VM's budget over all accounts. */
export const vmRetryOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  initialRetries: 0,
  maxAvailable: 200,
};

/** The settings of one account's budget at one VM. */
export const accountRetryOptions: RetryBudgetOptions = {
  retryRatio: 0.1,
  initialRetries: 3,
  maxAvailable: 100,
};

/** Creates a budget with its reserve. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return {available: options.initialRetries};
}

/** Records a fresh request. */
export function recordFirstAttempt(
  budget: RetryBudget,
  options: RetryBudgetOptions,
): void {
  const available = budget.available + options.retryRatio;
  budget.available = Math.min(available, options.maxAvailable);
}

/** Tells whether a retry is paid for. */
export function canRetry(budget: RetryBudget): boolean {
  return budget.available >= 1;
}

/** Takes one retry from the budget, or what is left of one. */
export function takeRetry(budget: RetryBudget): void {
  budget.available = Math.max(0, budget.available - 1);
}
