/**
 * CBOR messages with a length prefix, for TCP connections between entry VMs.
 */
export * from './errors.js';
export * from './frames.js';
export * from './pending_bytes.js';
