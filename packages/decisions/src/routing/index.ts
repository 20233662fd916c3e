/** Routing: choosing chains in the layer graph. */
export * from './chain_policy.js';
export * from './chain_query.js';
export {isSuspected} from './chain_search.js';
export * from './choose_chain.js';
export * from './endpoint_view.js';
export * from './errors.js';
export * from './fleet_view.js';
export * from './layer_graph.js';
export * from './link_table.js';
export * from './predict_stage.js';
