/** Links of a VM to endpoints and to its peers, which may be lost one by one. */
export * from './link_state.js';
export * from './kept_connection.js';
export * from './lost_addresses.js';
export * from './reopening.js';
