/** Retry budgets and circuit breakers of endpoints. */
export * from './breaker.js';
export * from './retry_budget.js';
