import type {
  EndpointId,
  EndpointObject,
  EngineState,
  ModelName,
  LogEvent,
} from '@zinniaspindle/shared';

/** A model and the demand for it. */
export interface ModelDemand {
  readonly model: ModelName;
  readonly layerCount: number;
  readonly tokensPerSecond: number;
  /** Bytes of the weights of one layer. */
  readonly layerBytes: number;
}

/** An endpoint as input of the placement planner. */
export interface PlacedEndpoint {
  /** The published object; its rates apply to the layers named in it. */
  readonly object: EndpointObject;
  /** What it holds; absent when empty. */
  readonly held?: EngineState;
  /** What it is loading; it is not moved again before the load completes. */
  readonly loading?: EngineState;
  readonly isLeaving: boolean;
  /** Most layers that fit into its memory. */
  readonly maxLayers: number;
}

/** The input of one placement round. */
export interface PlacementInput {
  readonly models: readonly ModelDemand[];
  readonly endpoints: readonly PlacedEndpoint[];
  /** Bandwidth of the weight store, shared by all loads, in bytes a second. */
  readonly storeBytesPerSecond: number;
}

/** Limits and weights of the placement planner. */
export interface PlacementOptions {
  readonly tokenGapMilliseconds: number;
  /** Most loads that may run at once. */
  readonly maxLoads: number;
  /** Wanted capacity as a multiple of the demand. */
  readonly headroom: number;
  /** Milliseconds within which the gain of a move must outweigh its load time. */
  readonly horizonMilliseconds: number;
  /** Additional weight of the first holder of a range in a data centre. */
  readonly spreadBonus: number;
  /** Tells whether endpoints form a chain of a model; tests replace it to disable the guard. */
  readonly hasChain: (
    endpoints: readonly PlacedEndpoint[],
    demand: ModelDemand,
  ) => boolean;
}

/** The state that an endpoint should reach. */
export interface PlacementMove {
  readonly endpoint: EndpointId;
  readonly wanted: EngineState;
}

/** The moves of one round, and events that explain them. */
export interface PlacementPlan {
  readonly moves: readonly PlacementMove[];
  readonly logEvents: readonly LogEvent[];
}
