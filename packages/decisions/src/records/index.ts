/** Replication of request records to peers, and takeover by another VM. */
export * from './decide.js';
export * from './errors.js';
export * from './holders.js';
export * from './messages.js';
export {compareOwnership} from './record.js';
export type {HolderPeer, Ownership, RequestRecord} from './record.js';
export {
  defaultRecordOptions,
  createRecordState,
  RecordCommandKind,
  RecordEventKind,
} from './state.js';
export type {
  RecordCommand,
  RecordGuards,
  RecordInput,
  RecordOptions,
  RecordState,
} from './state.js';
