/** Descriptions of decisions, as data for operators. */
export * from './describe_route.js';
