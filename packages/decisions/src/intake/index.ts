/** How many bytes of what kind a VM takes from outside. */
export * from './decide_intake.js';
export * from './intake_kinds.js';
