import {
  computeReturnDelay,
  computeReturnTime,
  describeDemands,
  type Quarantine,
} from '@zinniaspindle/decisions';
import {
  GatewayEvent,
  isPast,
  millisecondsPerSecond,
  type Deadline,
} from '@zinniaspindle/shared';
import {Counter, Latency} from '../log/metrics.js';
import {
  RouteKind,
  type EndpointAnswer,
  type RawHeaders,
} from '../ports/index.js';
import {FailureReason} from './failure.js';
import type {RequestContext} from './request_context.js';

/** Forwards the status and headers of an endpoint's answer to the caller. */
export function writeHead(
  context: RequestContext,
  answer: EndpointAnswer,
  bodyBytes: number | undefined,
): void {
  const {response, server} = context;
  const headers = dropLength(answer.forwardedHeaders);
  if (bodyBytes !== undefined) {
    headers.push('Content-Length', String(bodyBytes));
  }
  if (server.findStopPlan() !== undefined && context.closeAfter()) {
    headers.push('Connection', 'close');
  }
  response.sendDate = false;
  response.writeHead(answer.status, headers);
}

/** Forwards the complete answer of an endpoint to the caller. */
export function sendAnswer(
  context: RequestContext,
  endpoint: string,
  answer: EndpointAnswer,
  body: Buffer,
): void {
  const {response, server, method} = context;
  const isHead = method === 'HEAD' || answer.status === 304;
  writeHead(context, answer, isHead ? undefined : body.length);
  response.end(body);
  server.metrics.count(Counter.Answered);
  recordAnswered(context, endpoint, answer.status);
}

/**
 * Answers 504 or 502 to a request that may have run but has no usable answer.
 */
export function refuseUnknownOutcome({
  server,
  deadline,
  refuse,
}: RequestContext): void {
  const isLate = isPast(deadline, server.getNow());
  if (isLate) refuse({status: 504, reason: FailureReason.Deadline});
  else refuse({status: 502, reason: FailureReason.OutcomeUnknown});
}

/**
 * Refuses a request that was not run, since the endpoints that could serve it
 * take none until an instant.
 */
export function refuseForPause(
  {server, refuse}: RequestContext,
  returnAt: Deadline,
  reason = FailureReason.EndpointsPausing,
): void {
  const after = computeReturnDelay(returnAt, server.getNow(), Math.random);
  server.metrics.count(Counter.RefusedForPause);
  refuse({
    status: 503,
    reason,
    retryAfterMilliseconds: after,
  });
}

/**
 * Refuses a request that was not run and will not be, since its prompt has parts
 * that ended endpoints. There is no time at which to come back.
 */
export function refuseForParts(
  {server, refuse}: RequestContext,
  {parts}: Quarantine,
): void {
  server.metrics.count(Counter.RefusedForParts);
  const reason = FailureReason.Quarantined;
  refuse({status: 503, reason, parts: parts.join(' ')});
}

/** Refuses a stream that was not run, because no path took it in time. */
export function refuseUnserved(
  context: RequestContext,
  returnAt: Deadline | undefined,
  wasRefused: boolean,
): void {
  if (returnAt !== undefined) {
    refuseForPause(context, returnAt);
    return;
  }
  const reason = wasRefused
    ? FailureReason.EndpointsBusy
    : FailureReason.NoEndpoint;
  const after = computeReturn(context);
  context.refuse({status: 503, reason, retryAfterMilliseconds: after});
}

/**
 * Computes when the caller of a stream without a place should retry, and logs
 * which requests went before it where there are several ranks.
 */
function computeReturn(context: RequestContext): number {
  const {server, service, account, route, deadline, request} = context;
  const {waiters, paths, getNow} = server;
  const {model} = service;
  const {level} = waiters.findRank(account, route);
  // Without paths, the time of a repair counts and not that of a burst.
  const hasPaths = model !== undefined && paths.hasUsable(service.name, model);
  const demands = hasPaths ? waiters.findFleet(service.name) : undefined;
  const left = deadline - getNow();
  const after = computeReturnTime(level, demands, left, Math.random);
  if (demands === undefined) return after;
  const {higher, equal, placed} = describeDemands(demands, level);
  server.writeEvent(GatewayEvent.RequestOutranked, {
    ...{request: request.attemptId, route: route.name, rank: level},
    ...{ranks: waiters.countLevels(), higher, equal, placed},
    waitMs:
      placed === 0
        ? -1
        : Math.round(((higher + equal) * millisecondsPerSecond) / placed),
    waitedMs: Math.round(getNow() - context.receivedAt),
    retryMs: Math.round(after),
  });
  return after;
}

/**
 * Closes the connection before the answer is complete, so that the caller sees
 * that it is not.
 */
export function closeEarly(context: RequestContext, reason: string): void {
  const {open, response, server, receivedAt} = context;
  open.isBrokenOff = true;
  response.destroy();
  server.metrics.count(Counter.Failed);
  server.writeEvent(GatewayEvent.RequestFailed, {
    request: open.attemptId,
    status: 'broken off',
    ms: Math.round(server.getNow() - receivedAt),
    reason,
    ...open.describeProgress(),
  });
}

/** The latency that tells how long requests of a kind take. */
export function getDurationLatency(kind: RouteKind): Latency {
  return kind === RouteKind.Streaming ? Latency.Stream : Latency.Plain;
}

/**
 * Logs a request that was answered and records its latency; how long its kind takes
 * counts until the answer is written out.
 */
export function recordAnswered(
  context: RequestContext,
  endpoint: string,
  status: number,
): void {
  const {server, request, route, receivedAt, account, open} = context;
  const ms = Math.round(server.getNow() - receivedAt);
  server.metrics.record(Latency.Answer, ms);
  open.handleWritten = bytes => {
    const duration = server.getNow() - receivedAt;
    server.metrics.record(getDurationLatency(route.kind), duration);
    server.answersByRoute.record(route.name, bytes, duration);
  };
  server.writeEvent(GatewayEvent.RequestAnswered, {
    request: request.attemptId,
    route: route.name,
    account: account?.name ?? '',
    endpoint,
    status,
    ms,
  });
}

function dropLength(headers: RawHeaders): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === 'content-length') continue;
    kept.push(headers[i]!, headers[i + 1]!);
  }
  return kept;
}

/**
 * Logs that a request is sent again, after a number of earlier attempts. The
 * first attempt has no line of its own: those of answers and of failed attempts
 * name its endpoint.
 */
export function recordRetry(
  {server, request, route}: RequestContext,
  endpoint: string,
  earlierAttempts: number,
): void {
  server.writeEvent(GatewayEvent.RequestSent, {
    request: request.attemptId,
    route: route.name,
    endpoint,
    attempt: earlierAttempts + 1,
  });
}
