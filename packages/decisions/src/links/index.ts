/** Links of a VM to endpoints, which may be lost while peers keep theirs. */
export * from './link_state.js';
export * from './kept_connection.js';
