import type {
  EndpointId,
  EndpointRates,
  EngineState,
  ModelName,
} from '@zinniaspindle/shared';

/** A model that the engine knows the size of. */
export interface EngineModel {
  readonly name: ModelName;
  readonly layerCount: number;
}

/** How an engine is set up. */
export interface EngineOptions {
  readonly port?: number;
  readonly endpoint: EndpointId;
  readonly models: readonly EngineModel[];
  /** What it holds from the start; nothing when absent. */
  readonly held?: EngineState;
  readonly rates: EndpointRates;
  /** host:port of the weight store; loads are instant without one. */
  readonly weightStore?: string;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing: boolean;
  /** Whether work of an older attempt is refused. */
  readonly checksAttempts: boolean;
  /** Whether it passes activations to the next stage by itself. */
  readonly forwards: boolean;
  /** Streams that may wait for a slot; others are refused. */
  readonly queueLimit: number;
  /** Blocks of text that the prefix cache holds. */
  readonly cacheBlocks: number;
  /** Milliseconds until a cache event can be read. */
  readonly cacheEventLagMilliseconds: number;
  /** Every so many cache events one is lost; 0 loses none. */
  readonly cacheEventGapEvery: number;
  /** Milliseconds that a load report is kept before a new one is made. */
  readonly loadLagMilliseconds: number;
  /** Milliseconds without a step after which a stream's slot is freed. */
  readonly idleMilliseconds: number;
}

/** The options that an engine has unless others are given. */
export const defaultEngineOptions: Omit<EngineOptions, 'endpoint'> = {
  models: [],
  rates: {
    prefillTokensPerSecond: 20_000,
    stepMilliseconds: 4,
    stepMillisecondsPerStream: 0.2,
    slots: 16,
  },
  checksFencing: true,
  checksAttempts: true,
  forwards: true,
  queueLimit: 256,
  cacheBlocks: 512,
  cacheEventLagMilliseconds: 500,
  cacheEventGapEvery: 0,
  loadLagMilliseconds: 200,
  idleMilliseconds: 30_000,
};
