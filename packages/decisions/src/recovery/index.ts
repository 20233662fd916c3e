/** Detection and replacement of failed stages. */
export * from './plan_replacement.js';
export * from './gap_estimator.js';
export * from './stage_health.js';
