import {GatewayEvent, isPast} from '@zinniaspindle/shared';
import {Counter, Latency} from '../log/metrics.js';
import type {EndpointAnswer, RawHeaders} from '../ports/index.js';
import {FailureReason} from './failure.js';
import type {RequestContext} from './request_context.js';

/** Writes the head of an endpoint's answer to the caller. */
export function writeHead(
  context: RequestContext,
  answer: EndpointAnswer,
  bodyBytes: number | undefined,
): void {
  const {response, serving} = context;
  const headers = dropLength(answer.forwardedHeaders);
  if (bodyBytes !== undefined) {
    headers.push('Content-Length', String(bodyBytes));
  }
  if (serving.isStopping()) headers.push('Connection', 'close');
  response.sendDate = false;
  response.writeHead(answer.status, headers);
}

/** Answers a caller with the whole answer of an endpoint. */
export function sendAnswer(
  context: RequestContext,
  endpoint: string,
  answer: EndpointAnswer,
  body: Buffer,
): void {
  const {response, serving, method} = context;
  const isHead = method === 'HEAD' || answer.status === 304;
  writeHead(context, answer, isHead ? undefined : body.length);
  response.end(body);
  serving.metrics.count(Counter.Answered);
  recordDone(context, endpoint, answer.status);
}

/** Answers a caller whose request may have run without an answer. */
export function refuseUnknown({
  serving,
  deadline,
  refuse,
}: RequestContext): void {
  const isLate = isPast(deadline, serving.getNow());
  if (isLate) refuse({status: 504, reason: FailureReason.Deadline});
  else refuse({status: 502, reason: FailureReason.OutcomeUnknown});
}

/** Logs and measures a request that was answered. */
export function recordDone(
  context: RequestContext,
  endpoint: string,
  status: number,
): void {
  const {serving, request, route, receivedAt, account} = context;
  const ms = Math.round(serving.getNow() - receivedAt);
  serving.metrics.record(Latency.Answer, ms);
  serving.writeEvent(GatewayEvent.RequestAnswered, {
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
