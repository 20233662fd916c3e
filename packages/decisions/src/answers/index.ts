/** What the answers of endpoints prove. */
export * from './answer_proof.js';
export * from './answerer.js';
export * from './event_text.js';
export * from './stream_end.js';
export * from './unframed_end.js';
