/** Frames of cbor-x messages on TCP connections between entry VMs. */
export * from './errors.js';
export * from './frames.js';
