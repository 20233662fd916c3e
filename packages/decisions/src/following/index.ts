/** How VMs keep their replicas of the store's topics up to date. */
export * from './message_delay.js';
export * from './read_schedule.js';
export * from './store_access.js';
export * from './store_era.js';
