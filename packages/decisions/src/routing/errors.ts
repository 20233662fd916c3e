import {
  CodedError,
  type EndpointId,
  type ModelName,
} from '@zinniaspindle/shared';

/** Errors of choosing a chain. */
export enum RoutingErrorCode {
  NoChain = 'noChain',
  UnknownEndpoint = 'unknownEndpoint',
  UnknownModel = 'unknownModel',
}

/** An error of the routing layer. */
export type RoutingError = CodedError<RoutingErrorCode>;

/** Makes the error for a model that no endpoint holds layers of. */
export function makeUnknownModelError(model: ModelName): RoutingError {
  return new CodedError(
    RoutingErrorCode.UnknownModel,
    `no endpoint holds layers of model "${model}"`,
  );
}

/** Makes the error for a gap; coveredLayers is the first uncovered layer. */
export function makeNoChainError(
  model: ModelName,
  coveredLayers: number,
  layerCount: number,
): RoutingError {
  return new CodedError(
    RoutingErrorCode.NoChain,
    `no usable chain for model "${model}": layers 0 to ${coveredLayers} of ${layerCount} are covered`,
  );
}

/** Makes the error for an endpoint that is not configured. */
export function makeUnknownEndpointError(endpoint: EndpointId): RoutingError {
  return new CodedError(
    RoutingErrorCode.UnknownEndpoint,
    `endpoint "${endpoint}" is not configured`,
  );
}
