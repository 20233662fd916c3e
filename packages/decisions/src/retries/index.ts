/** Retry budgets and circuit breakers of endpoints. */
export * from './attempt_pair.js';
export * from './attempts.js';
export * from './breaker.js';
export * from './move.js';
export * from './parallel_attempts.js';
export * from './retry_budget.js';
export * from './retry_denial.js';
