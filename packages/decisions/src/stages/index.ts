/** Placing layers on endpoints and choosing paths through them. */
export * from './endpoint_doubt.js';
export * from './find_paths.js';
export {findGap} from './layer_gaps.js';
export * from './memory.js';
export * from './pick_path.js';
export * from './plan_ranges.js';
export * from './stage_types.js';
export * from './stall_watch.js';
export * from './wait_times.js';
