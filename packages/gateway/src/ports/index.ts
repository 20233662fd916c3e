/** What the gateway needs from the platform it runs on. */
export * from './configuration.js';
export * from './endpoints.js';
export * from './errors.js';
export * from './exchange.js';
export * from './settings.js';
export * from './store.js';
