import type {StageEndpoint} from '@zinniaspindle/decisions';
import type {LayerRange} from '@zinniaspindle/shared';
import type {ServiceModel} from '../ports/index.js';
import type {EndpointState} from './endpoint_state.js';

/** Builds a stage of a model; undefined for a kind that the model does not know. */
export function buildStage(
  state: EndpointState,
  model: ServiceModel,
  held: LayerRange | undefined,
): StageEndpoint | undefined {
  const kind = model.kinds.get(state.entry.kind ?? '');
  if (kind === undefined) return undefined;
  const {id, address, dataCentre, slots} = state.entry;
  const {sizeMegabytes, pace} = kind;
  const isReachable = true;
  return {
    ...{id, address, dataCentre, slots, sizeMegabytes, pace},
    ...{isReachable, held},
  };
}
