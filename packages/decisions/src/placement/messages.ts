import type {
  EndpointId,
  EndpointObject,
  EngineState,
  ModelName,
  LogEvent,
} from '@zinniaspindle/shared';

/** A model and what its callers ask for. */
export interface ModelDemand {
  readonly model: ModelName;
  readonly layerCount: number;
  readonly tokensPerSecond: number;
  /** Bytes of the weights of one layer. */
  readonly layerBytes: number;
}

/** An endpoint as placement sees it. */
export interface PlacedEndpoint {
  /** Its rates are those of the layers in the object. */
  readonly object: EndpointObject;
  /** What it holds; absent when empty. */
  readonly held?: EngineState;
  /** What it is loading; it gets no other order before that is done. */
  readonly loading?: EngineState;
  readonly isLeaving: boolean;
  /** Layers that its memory has space for. */
  readonly maxLayers: number;
}

/** Everything that one round of placement is decided from. */
export interface PlacementInput {
  readonly models: readonly ModelDemand[];
  readonly endpoints: readonly PlacedEndpoint[];
  /** Bytes a second that the weight store gives all loads together. */
  readonly storeBytesPerSecond: number;
}

/** How eagerly endpoints are moved. */
export interface PlacementOptions {
  readonly tokenGapMilliseconds: number;
  /** Loads that may run at once. */
  readonly maxLoads: number;
  /** Capacity wanted over the demand. */
  readonly headroom: number;
  /** Milliseconds over which a move has to pay for its load. */
  readonly horizonMilliseconds: number;
  /** What a range's first holder in a data centre counts more. */
  readonly spreadBonus: number;
  /** Tells whether a model keeps a chain; switched off in proofs only. */
  readonly hasChain: (
    endpoints: readonly PlacedEndpoint[],
    demand: ModelDemand,
  ) => boolean;
}

/** The state that an endpoint should get to. */
export interface PlacementMove {
  readonly endpoint: EndpointId;
  readonly wanted: EngineState;
}

/** The moves of one round, and why. */
export interface PlacementPlan {
  readonly moves: readonly PlacementMove[];
  readonly logEvents: readonly LogEvent[];
}
