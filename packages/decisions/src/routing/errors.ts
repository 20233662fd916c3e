import {
  CodedError,
  type EndpointId,
  type ModelName,
} from '@zinniaspindle/shared';

/** What can go wrong when a chain is chosen. */
export enum RoutingErrorCode {
  NoChain = 'noChain',
  UnknownEndpoint = 'unknownEndpoint',
  UnknownModel = 'unknownModel',
}

/** An error of the routing layer. */
export type RoutingError = CodedError<RoutingErrorCode>;

/** The model is held by no endpoint at all. */
export function makeUnknownModelError(model: ModelName): RoutingError {
  return new CodedError(
    RoutingErrorCode.UnknownModel,
    `no endpoint holds layers of model "${model}"`,
  );
}

/** The usable endpoints leave a gap; reached is the first uncovered layer. */
export function makeNoChainError(
  model: ModelName,
  reached: number,
  layerCount: number,
): RoutingError {
  return new CodedError(
    RoutingErrorCode.NoChain,
    `no usable chain for model "${model}": layers 0 to ${reached} of ${layerCount} are covered`,
  );
}

/** A report or an update names an endpoint that is not configured. */
export function makeUnknownEndpointError(endpoint: EndpointId): RoutingError {
  return new CodedError(
    RoutingErrorCode.UnknownEndpoint,
    `endpoint "${endpoint}" is not configured`,
  );
}
