/**
 * A branded string: ids of different kinds cannot be assigned to one another.
 */
export type Id<Name extends string> = string & {readonly idOf: Name};

/** Identifies an entry VM, or any entry of the platform's VM list. */
export type VmId = Id<'vm'>;
/** Identifies a data centre. */
export type DataCentreId = Id<'dataCentre'>;
/** Identifies a client account. */
export type AccountId = Id<'account'>;
/** Identifies an endpoint: an engine that holds a range of layers. */
export type EndpointId = Id<'endpoint'>;
/** The name of a pipeline. */
export type PipelineName = Id<'pipeline'>;
/** The name of a model. */
export type ModelName = Id<'model'>;
/** The name of a plain service. */
export type ServiceName = Id<'service'>;
/** Identifies a request uniquely among all callers. */
export type RequestId = Id<'request'>;
/** The caller's idempotency key of an action, a UUIDv7. */
export type ActionKey = Id<'action'>;
/** Identifies one publish by an operator. */
export type PublishId = Id<'publish'>;

/** Brands a string as an id of kind T; the text is not checked. */
export function toId<T extends Id<string>>(text: string): T {
  return text as T;
}
