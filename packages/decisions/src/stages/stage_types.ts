import type {LayerRange} from '@zinniaspindle/shared';

/** What a model asks of the endpoints that share its layers. */
export interface StageModel {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  /** Memory that one token of a request takes for each layer it passes. */
  readonly tokenMegabytesPerLayer: number;
  /** One token's pass through all layers on an endpoint of pace 1. */
  readonly stepMilliseconds: number;
  /** Ranges that load at full speed side by side; more slow each other. */
  readonly loadsAtOnce: number;
}

/** An endpoint that can hold a range of a model's layers. */
export interface StageEndpoint {
  readonly id: string;
  /** Where requests are sent, as host:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Accelerator memory for layers and requests. */
  readonly sizeMegabytes: number;
  /** Factor on the time of a token's pass; lower is faster. */
  readonly pace: number;
  /** Requests it runs at once when it is the first of a path. */
  readonly slots: number;
  /** Whether this VM reaches it; where not, paths cannot begin there. */
  readonly isReachable: boolean;
  /** The layers it holds now; undefined when it is empty. */
  readonly held: LayerRange | undefined;
}

/** One endpoint's part of a path: the layers it runs. */
export interface PathPart {
  readonly endpoint: StageEndpoint;
  readonly layers: LayerRange;
  /** Tokens times layers of requests that fit the endpoint's memory. */
  readonly roomLayerTokens: number;
}

/** A chain of endpoints that runs every layer once, in order. */
export interface StagePath {
  /** The ids and ranges in order; equal for equal paths. */
  readonly key: string;
  readonly parts: readonly PathPart[];
  /** Predicted time of one token's pass on idle endpoints. */
  readonly passMilliseconds: number;
  /** Tokens of requests that fit the part with the least memory. */
  readonly capacityTokens: number;
  readonly slots: number;
}
