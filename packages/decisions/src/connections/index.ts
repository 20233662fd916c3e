/** Which connections and requests of callers a VM takes at once. */
export * from './choose_closed.js';
export * from './choose_unread.js';
export * from './client_memory.js';
export * from './connection_limits.js';
export * from './decide_reading.js';
