/** Layer ranges of endpoints, paths through them, and failure detection. */
export * from './change_watch.js';
export * from './crossing_budget.js';
export * from './endpoint_health.js';
export * from './endpoint_notices.js';
export {findDisjointChains} from './find_disjoint_chains.js';
export * from './find_paths.js';
export {findGap} from './layer_gaps.js';
export * from './memory.js';
export * from './pick_path.js';
export * from './plan_ranges.js';
export * from './request_credit.js';
export * from './request_limit.js';
export * from './stage_types.js';
export * from './stall_watch.js';
export * from './wait_queue.js';
export * from './wait_times.js';
