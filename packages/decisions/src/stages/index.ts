/** Layer ranges of endpoints, paths through them, and failure detection. */
export * from './endpoint_health.js';
export * from './find_paths.js';
export {findGap} from './layer_gaps.js';
export * from './memory.js';
export * from './pick_path.js';
export * from './plan_ranges.js';
export * from './stage_types.js';
export * from './stall_watch.js';
export * from './wait_times.js';
