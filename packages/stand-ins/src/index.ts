/** Small fakes of the systems that the router meets. */
export * from './engine/engine_options.js';
export type {
  AttemptReport,
  EngineReport,
  OrderReport,
} from './engine/engine_records.js';
export {computeExpectedTokens, countTokens} from './engine/token_text.js';
export * from './engine_stand_in.js';
export * from './errors.js';
export * from './fleet.js';
export * from './fleet_objects.js';
export * from './hooks.js';
export * from './http/json_client.js';
export type {StandIn} from './http/json_server.js';
export * from './log_stand_in.js';
export * from './log_store.js';
export * from './reserve_port.js';
export * from './service_stand_in.js';
export * from './spawn_stand_in.js';
export * from './start_stand_in.js';
export * from './vm_list_stand_in.js';
export * from './weight_store_stand_in.js';
