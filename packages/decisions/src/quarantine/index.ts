/** Parts of prompts that end endpoints, and the requests refused for them. */
export {hasAll} from './accusations.js';
export * from './find_culprit.js';
export * from './part_evidence.js';
export * from './request_trait.js';
export * from './quarantine.js';
