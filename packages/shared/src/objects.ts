import type {
  AccountId,
  DataCentreId,
  EndpointId,
  ModelName,
  PipelineName,
  ServiceName,
} from './ids.js';
import type {Labels} from './labels.js';
import type {LayerRange} from './layer_range.js';

/** The kinds of configuration objects that operators publish. */
export enum ObjectKind {
  Account = 'account',
  Endpoint = 'endpoint',
  Link = 'link',
  Pipeline = 'pipeline',
  Service = 'service',
}

/** The phases of inference that an endpoint may serve in a chain. */
export enum EndpointRole {
  Decode = 'decode',
  Mixed = 'mixed',
  Prefill = 'prefill',
}

/** Fields of all configuration objects; names are unique within a kind. */
interface ObjectBase {
  readonly labels: Labels;
}

/** A client account: its credentials, limits and permissions. */
export interface AccountObject extends ObjectBase {
  readonly kind: ObjectKind.Account;
  readonly name: AccountId;
  /** SHA-256 digests, in hexadecimal, of the bearer tokens. */
  readonly tokenDigests: readonly string[];
  /** Share of contended capacity, relative to other accounts. */
  readonly weight: number;
  /** Rate limit over the whole fleet, in generated tokens a second. */
  readonly tokensPerSecond: number;
  /** Whether the account may publish configuration. */
  readonly operator: boolean;
}

/** Performance of an accelerator on the layers that it holds. */
export interface EndpointRates {
  /** Prompt tokens prefilled a second. */
  readonly prefillTokensPerSecond: number;
  /** Duration of a decoding step with one stream in the batch. */
  readonly stepMilliseconds: number;
  /** Duration that each further stream in the batch adds to a step. */
  readonly stepMillisecondsPerStream: number;
  /** Streams that can be decoded concurrently. */
  readonly slots: number;
}

/** An engine that holds a range of layers of a model. */
export interface EndpointObject extends ObjectBase {
  readonly kind: ObjectKind.Endpoint;
  readonly name: EndpointId;
  /** Address of the engine's HTTP API, as host:port. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Name of the accelerator kind. */
  readonly accelerator: string;
  readonly model: ModelName;
  readonly layers: LayerRange;
  readonly role: EndpointRole;
  readonly rates: EndpointRates;
  /** Whether the engine refuses orders with a stale fencing token. */
  readonly checksFencing: boolean;
  /** Whether the engine sends activations to the next stage itself. */
  readonly forwards: boolean;
}

/** A bidirectional link between two data centres. */
export interface LinkObject extends ObjectBase {
  readonly kind: ObjectKind.Link;
  readonly name: string;
  readonly between: readonly [DataCentreId, DataCentreId];
  readonly delayMilliseconds: number;
  readonly bytesPerSecond: number;
}

/** A model pipeline that callers address by name. */
export interface PipelineObject extends ObjectBase {
  readonly kind: ObjectKind.Pipeline;
  readonly name: PipelineName;
  readonly model: ModelName;
  readonly layerCount: number;
  /** Selects the endpoints that may serve the pipeline. */
  readonly endpointSelector: string;
  /** Selects the client accounts that may use the pipeline. */
  readonly accountSelector: string;
  readonly maxTokens: number;
}

/** A plain service; its calls may not be idempotent. */
export interface ServiceObject extends ObjectBase {
  readonly kind: ObjectKind.Service;
  readonly name: ServiceName;
  /** Address of each server of the service, as host:port. */
  readonly addresses: readonly string[];
  readonly accountSelector: string;
  /**
   * Whether the service can report the outcome of a call by its idempotency
   * key.
   */
  readonly hasLookup: boolean;
  /** Call timeout; a call without an answer by then has an unknown outcome. */
  readonly callMilliseconds: number;
}

/** Any configuration object. */
export type ConfigObject =
  AccountObject | EndpointObject | LinkObject | PipelineObject | ServiceObject;

/** Identifies an object among all kinds. */
export interface ObjectKey {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** Formats an object key as "kind/name". */
export function formatObjectKey(key: ObjectKey): string {
  return `${key.kind}/${key.name}`;
}
