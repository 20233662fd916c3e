import type {Attempts} from '@zinniaspindle/decisions';
import type {ServiceModel} from '../ports/index.js';
import {FailureReason, type LocalAnswer} from './failure.js';
import {PickDenial} from './pick_endpoint.js';
import type {RequestContext} from './request_context.js';
import {
  refuseForParts,
  refuseForPause,
  refuseUnknownOutcome,
  refuseUnserved,
} from './send_answer.js';

const retryAfterMilliseconds = 400;
/** Until then another endpoint may have started. */
const heldBackMilliseconds = 1000;

/**
 * Refuses a plain request that no endpoint has answered.
 * @param denial why there was no endpoint for a further attempt
 */
export function refuseFailed(
  context: RequestContext,
  {runs, notRun}: Readonly<Attempts>,
  denial: PickDenial | undefined,
): void {
  if (runs > 0) return refuseUnknownOutcome(context);
  const {server, service, traits, refuse} = context;
  const quarantine = server.quarantine.find(service.name, traits);
  if (quarantine !== undefined) return refuseForParts(context, quarantine);
  const returnAt = server.endpoints.findReturn(service.name);
  if (returnAt === undefined) return refuse(chooseFailure(notRun, denial));
  refuseForPause(context, returnAt, findPauseReason(context));
}

/** Refuses a stream of which its caller has had no event. */
export function refuseFailedStream(
  context: RequestContext,
  {runs, notRun}: Readonly<Attempts>,
  model: ServiceModel,
): void {
  if (runs > 0) return refuseUnknownOutcome(context);
  const {server, service, traits} = context;
  const quarantine = server.quarantine.find(service.name, traits);
  if (quarantine !== undefined) return refuseForParts(context, quarantine);
  const returnAt = server.paths.findReturn(service.name, model);
  refuseUnserved(context, returnAt, notRun > 0);
}

function findPauseReason({server, service}: RequestContext): FailureReason {
  const {endpoints} = server;
  const isLimited = endpoints
    .list(service.name)
    .some(state => endpoints.findPauseEnd(state) === undefined);
  return isLimited
    ? FailureReason.EndpointsLimited
    : FailureReason.EndpointsPausing;
}

function chooseFailure(
  notRun: number,
  denial: PickDenial | undefined,
): LocalAnswer {
  if (denial === PickDenial.LastEndpoint) {
    const reason = FailureReason.LastEndpoint;
    return {
      ...{status: 503, reason},
      retryAfterMilliseconds: heldBackMilliseconds,
    };
  }
  const reason =
    notRun > 0 ? FailureReason.EndpointsBusy : FailureReason.NoEndpoint;
  return {status: 503, reason, retryAfterMilliseconds};
}
