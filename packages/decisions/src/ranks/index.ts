/** Ranks of requests, and the demand of the fleet by rank. */
export * from './rank_demand.js';
export * from './request_rank.js';
export * from './reserve_room.js';
export * from './return_time.js';
