/** Upper bound on the throughput of a set of endpoints. */
export * from './max_flow.js';
export * from './model_bound.js';
