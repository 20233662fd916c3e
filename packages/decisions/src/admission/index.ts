/** Admission control: which requests start, wait, are refused or cancelled. */
export * from './account_limits.js';
export * from './admission_policy.js';
export * from './decide_admission.js';
export * from './errors.js';
export * from './fair_queue.js';
export * from './fair_rates.js';
export * from './messages.js';
export * from './read_capacity.js';
export * from './state.js';
