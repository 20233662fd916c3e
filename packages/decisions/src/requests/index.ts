/** The state machine of one request over its attempts. */
export * from './decide_request.js';
export * from './errors.js';
export * from './hash_tokens.js';
export * from './messages.js';
export * from './state.js';
export * from './verify_token.js';
