/** Parts of prompts that end endpoints, and the requests refused for them. */
export * from './find_culprit.js';
export * from './part_evidence.js';
export * from './request_trait.js';
export * from './quarantine.js';
