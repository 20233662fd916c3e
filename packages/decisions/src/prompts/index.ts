/** What endpoints hold of prompts, and what that saves. */
export * from './prompt_cache.js';
export * from './prompt_prefix.js';
export * from './weigh_prompt.js';
