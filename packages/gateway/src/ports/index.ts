/** The interfaces that the platform adapter implements for the gateway. */
export * from './configuration.js';
export * from './endpoints.js';
export * from './errors.js';
export * from './exchange.js';
export * from './settings.js';
export * from './store.js';
