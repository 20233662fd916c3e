import type {StageEndpoint} from '@zinniaspindle/decisions';
import {
  formatLayerRange,
  GatewayEvent,
  type Instant,
  type LayerRange,
} from '@zinniaspindle/shared';
import {Result} from 'true-myth';
import type {WriteEvent} from '../log/event_log.js';
import {RefusalLog} from '../log/refusal_log.js';
import type {ServiceModel} from '../ports/index.js';
import type {EndpointState} from './endpoint_state.js';

/** Finds what endpoints can do for a model. */
export class StageFinder {
  private readonly refusals: RefusalLog;

  constructor(writeEvent: WriteEvent, getNow: () => Instant) {
    this.refusals = new RefusalLog(writeEvent, getNow);
  }

  /** Finds the stage that an endpoint is with some layers; undefined for none. */
  find(
    state: EndpointState,
    model: ServiceModel,
    held: LayerRange | undefined,
  ): StageEndpoint | undefined {
    const stage = buildStage(state, model, held);
    if (stage.isOk) return stage.value;
    const endpoint = state.entry.id;
    const event = GatewayEvent.EndpointMisfit;
    this.refusals.record(event, endpoint, stage.error, {endpoint});
    return undefined;
  }
}

/** Builds a stage; the error tells why the endpoint can be none of the model. */
function buildStage(
  state: EndpointState,
  model: ServiceModel,
  held: LayerRange | undefined,
): Result<StageEndpoint, string> {
  const kind = model.kinds.get(state.entry.kind ?? '');
  if (kind === undefined) return Result.err('its kind is not of the model');
  const {layerCount} = model.shape;
  if (held !== undefined && held.end > layerCount) {
    const layers = formatLayerRange(held);
    return Result.err(`it holds layers ${layers} of a model of ${layerCount}`);
  }
  const {id, address, dataCentre, slots} = state.entry;
  const {sizeMegabytes, pace, readFactor} = kind;
  const isReachable = true;
  return Result.ok({
    ...{id, address, dataCentre, slots, sizeMegabytes, pace, readFactor},
    ...{isReachable, held},
  });
}
