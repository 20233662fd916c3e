/** Plans which layers of which models the endpoints hold. */
export * from './messages.js';
export * from './plan_placement.js';
