import type {LayerRange} from '@zinniaspindle/shared';

/** Dimensions of a model whose layers are divided among endpoints. */
export interface StageModel {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  /** Cache memory of one request token in one layer. */
  readonly tokenMegabytesPerLayer: number;
  /** One token's pass through all layers on an endpoint of pace 1. */
  readonly stepMilliseconds: number;
  /** Ranges that load at full speed in parallel; more slow each other down. */
  readonly loadsAtOnce: number;
  /**
   * Streams a second that can cross between data centres once, over the link
   * that all share; undefined if unknown.
   */
  readonly crossingsPerSecond?: number | undefined;
}

/** An endpoint that can hold a range of a model's layers. */
export interface StageEndpoint {
  readonly id: string;
  /** Where requests are sent, as host:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Accelerator memory for layers and requests. */
  readonly sizeMegabytes: number;
  /** Time of a token's pass relative to a reference endpoint; lower is faster. */
  readonly pace: number;
  /** The same for a prefill; undefined if unknown. */
  readonly readFactor?: number | undefined;
  /** Concurrent requests it accepts as the first endpoint of a path. */
  readonly slots: number;
  /** Whether this VM reaches it; paths cannot begin at an unreachable one. */
  readonly isReachable: boolean;
  /**
   * Whether it wants no requests from this VM for now; paths cannot begin there,
   * but lead through it, since their first endpoint passes the requests on.
   */
  readonly isPausing?: boolean;
  /** The layers it holds now; undefined when it is empty. */
  readonly held: LayerRange | undefined;
}

/** The load of an endpoint from all VMs. */
export interface EndpointLoad {
  /** Streams whose path begins there. */
  readonly streams: number;
  /** Sum over requests of their tokens times the layers they use there. */
  readonly layerTokens: number;
}

/** One endpoint's part of a path: the layers it runs. */
export interface PathPart {
  readonly endpoint: StageEndpoint;
  readonly layers: LayerRange;
  /** Request tokens times layers that fit into the endpoint's memory. */
  readonly capacityLayerTokens: number;
}

/** A sequence of endpoints that runs every layer once, in order. */
export interface StagePath {
  /** Endpoint ids and ranges in order; identifies the path on all VMs. */
  readonly key: string;
  readonly parts: readonly PathPart[];
  /** Predicted time of one token's pass on idle endpoints. */
  readonly passMilliseconds: number;
  /** Request tokens that fit into the part with the least memory. */
  readonly capacityTokens: number;
  readonly slots: number;
  /** Hops between data centres. */
  readonly crossings: number;
}
