import {canSend, recordSend} from '@zinniaspindle/decisions';
import {Result} from 'true-myth';
import {getIncarnation, type EndpointState} from '../fleet/endpoint_state.js';
import type {RequestContext} from './request_context.js';

/** Why there is no endpoint for a request of a plain service. */
export enum PickDenial {
  /** Endpoints ended under such requests. */
  Quarantined = 'quarantined',
  /** Endpoints may have ended under it, and only one is left. */
  LastEndpoint = 'lastEndpoint',
  NoEndpoint = 'noEndpoint',
}

/**
 * Added to the load of a failing endpoint, so that it ranks behind all others.
 */
const failingPenalty = 1000;

/** An endpoint that could take a request. */
interface Candidate {
  readonly state: EndpointState;
  readonly isFailing: boolean;
}

/**
 * Picks the endpoint with the fewest requests for one of a plain service; a
 * failing one only if `canFail`, as a last resort. Each attempt begins with it.
 * @param tried ids of the endpoints that it was sent to
 */
export function pickEndpoint(
  context: RequestContext,
  tried: ReadonlySet<string>,
  canFail: boolean,
): Result<EndpointState, PickDenial> {
  const {server, service, traits, request} = context;
  const {quarantine, getNow} = server;
  if (quarantine.find(service.name, traits) !== undefined) {
    return Result.err(PickDenial.Quarantined);
  }
  const candidates = listCandidates(context, tried);
  const best = findBest(candidates.filter(one => canFail || !one.isFailing));
  if (best === undefined) return Result.err(PickDenial.NoEndpoint);
  if (
    isLast(context, candidates) &&
    quarantine.isSuspect(service.name, traits)
  ) {
    return Result.err(PickDenial.LastEndpoint);
  }
  recordSend(best.breaker, getNow());
  quarantine.recordSent(service.name, traits, request.attemptId);
  return Result.ok(best);
}

function listCandidates(
  {server, service}: RequestContext,
  tried: ReadonlySet<string>,
): Candidate[] {
  const {endpoints, ends, getNow} = server;
  const candidates: Candidate[] = [];
  for (const state of endpoints.list(service.name)) {
    if (tried.has(state.entry.id)) continue;
    if (endpoints.isDraining(state)) continue;
    if (endpoints.findPauseEnd(state) !== undefined) continue;
    const incarnation = getIncarnation(state);
    if (!endpoints.limits.hasCredit(incarnation)) continue;
    const isFailing =
      !canSend(state.breaker, getNow()) || ends.hasEnded(incarnation);
    candidates.push({state, isFailing});
  }
  return candidates;
}

function findBest(candidates: readonly Candidate[]): EndpointState | undefined {
  let best: EndpointState | undefined;
  let lowestRank = Infinity;
  for (const {state, isFailing} of candidates) {
    const penalty = isFailing ? failingPenalty : 0;
    const rank = state.running + Math.random() + penalty;
    if (rank >= lowestRank) continue;
    lowestRank = rank;
    best = state;
  }
  return best;
}

/** Tells whether a service of several endpoints has at most one left. */
function isLast(
  {server, service}: RequestContext,
  candidates: readonly Candidate[],
): boolean {
  const sound = candidates.filter(({isFailing}) => !isFailing);
  return sound.length <= 1 && server.endpoints.list(service.name).length > 1;
}
